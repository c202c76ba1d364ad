//! Contracts declared in files.

use crate::error::CommandError;
use agatehill_decide::contract::ContractSpec;
use std::{
    collections::BTreeMap,
    fs, io,
    path::{Path, PathBuf},
};

/// Extension of the files in a folder of contracts.
const CONTRACT_EXTENSION: &str = "toml";

/// A contract and the file that declares it.
#[derive(Clone, Debug)]
pub(crate) struct ContractFile {
    pub(crate) path: PathBuf,
    pub(crate) text: String,
    pub(crate) spec: ContractSpec,
}

/// Reads the contracts at `paths`, files or folders of `.toml` files, in the order of their paths.
///
/// # Errors
///
/// Files that can't be read, faulty contracts (all of them, a line each), and two contracts of one
/// customer.
pub(crate) fn read_contracts(paths: &[PathBuf]) -> Result<Vec<ContractFile>, CommandError> {
    let mut files = Vec::new();
    let mut faults = Vec::new();
    for path in expand(paths)? {
        match read_file(path) {
            Ok(file) => files.push(file),
            Err(fault) => faults.push(fault),
        }
    }
    if faults.is_empty() {
        faults = repeated_customers(&files);
    }
    if faults.is_empty() {
        Ok(files)
    } else {
        Err(CommandError::Invalid(faults.join("\n")))
    }
}

fn expand(paths: &[PathBuf]) -> Result<Vec<PathBuf>, CommandError> {
    let mut files = Vec::new();
    for path in paths {
        if path.is_dir() {
            files.extend(folder(path).map_err(|e| unreadable(path, &e))?);
        } else {
            files.push(path.clone());
        }
    }
    if files.is_empty() {
        let reason = format!("no file ends in \".{CONTRACT_EXTENSION}\"");
        return Err(CommandError::Invalid(reason));
    }
    Ok(files)
}

fn folder(path: &Path) -> io::Result<Vec<PathBuf>> {
    let mut files = Vec::new();
    for entry in fs::read_dir(path)? {
        let file = entry?.path();
        let is_contract = file.extension().is_some_and(|e| e == CONTRACT_EXTENSION);
        if is_contract {
            files.push(file);
        }
    }
    files.sort();
    Ok(files)
}

fn read_file(path: PathBuf) -> Result<ContractFile, String> {
    let text = fs::read_to_string(&path).map_err(|e| unreadable(&path, &e).to_string())?;
    match ContractSpec::parse(&text) {
        Ok(spec) => Ok(ContractFile { path, text, spec }),
        Err(e) => Err(format!("contract \"{}\": {e}", path.display())),
    }
}

fn repeated_customers(files: &[ContractFile]) -> Vec<String> {
    let mut first = BTreeMap::new();
    let mut faults = Vec::new();
    for ContractFile { path, spec, .. } in files {
        if let Some(other) = first.insert(&spec.customer, path) {
            faults.push(format!(
                "contract \"{}\": customer \"{}\" is already declared in \"{}\"",
                path.display(),
                spec.customer,
                other.display()
            ));
        }
    }
    faults
}

fn unreadable(path: &Path, error: &io::Error) -> CommandError {
    CommandError::Invalid(format!("cannot read \"{}\": {error}", path.display()))
}
