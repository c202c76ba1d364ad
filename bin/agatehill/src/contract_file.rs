//! Reads contracts from files.

use crate::error::CommandError;
use agatehill_decide::contract::ContractSpec;
use std::{
    collections::BTreeMap,
    fs, io,
    path::{Path, PathBuf},
};

/// Extension of contract files in a folder.
const CONTRACT_EXTENSION: &str = "toml";

/// A contract and the file it was read from.
#[derive(Clone, Debug)]
pub(crate) struct ContractFile {
    pub(crate) path: PathBuf,
    pub(crate) text: String,
    pub(crate) spec: ContractSpec,
}

/// Reads the contracts at `paths`, which are files or folders of `.toml` files.
///
/// The files are in the order of `paths`, those of a folder sorted by path.
///
/// # Errors
///
/// A file can't be read, a contract is invalid, or a customer has two contracts. The message has
/// one line per invalid contract.
pub(crate) fn read_contracts(paths: &[PathBuf]) -> Result<Vec<ContractFile>, CommandError> {
    let mut files = Vec::new();
    let mut errors = Vec::new();
    for path in expand_folders(paths)? {
        match read_file(path) {
            Ok(file) => files.push(file),
            Err(error) => errors.push(error),
        }
    }
    if errors.is_empty() {
        errors = duplicate_customers(&files);
    }
    if errors.is_empty() {
        Ok(files)
    } else {
        Err(CommandError::Invalid(errors.join("\n")))
    }
}

fn expand_folders(paths: &[PathBuf]) -> Result<Vec<PathBuf>, CommandError> {
    let mut files = Vec::new();
    for path in paths {
        if path.is_dir() {
            files.extend(list_folder(path).map_err(|e| read_error(path, &e))?);
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

fn list_folder(path: &Path) -> io::Result<Vec<PathBuf>> {
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
    let text = fs::read_to_string(&path).map_err(|e| read_error(&path, &e).to_string())?;
    match ContractSpec::parse(&text) {
        Ok(spec) => Ok(ContractFile { path, text, spec }),
        Err(e) => Err(format!("contract \"{}\": {e}", path.display())),
    }
}

fn duplicate_customers(files: &[ContractFile]) -> Vec<String> {
    let mut first = BTreeMap::new();
    let mut errors = Vec::new();
    for ContractFile { path, spec, .. } in files {
        if let Some(other) = first.insert(&spec.customer, path) {
            errors.push(format!(
                "contract \"{}\": customer \"{}\" is already declared in \"{}\"",
                path.display(),
                spec.customer,
                other.display()
            ));
        }
    }
    errors
}

fn read_error(path: &Path, error: &io::Error) -> CommandError {
    CommandError::Invalid(format!("cannot read \"{}\": {error}", path.display()))
}
