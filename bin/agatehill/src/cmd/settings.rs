//! `agatehill settings`.

use crate::{error::CommandError, output::CommandOutput};
use agatehill_config::{DaemonSettings, KeeperSettings, SettingsKind};
use clap::{Subcommand, ValueEnum};
use std::path::{Path, PathBuf};

#[derive(Debug, Subcommand)]
pub(crate) enum Command {
    /// Checks settings files of daemons and keepers.
    Check(CheckArgs),
}

#[derive(clap::Args, Debug)]
pub(crate) struct CheckArgs {
    /// Settings files.
    #[arg(required = true)]
    files: Vec<PathBuf>,
    /// Program the settings are for; detected from each file by default.
    #[arg(long)]
    kind: Option<Kind>,
}

#[derive(Clone, Copy, Debug, Eq, PartialEq, ValueEnum)]
enum Kind {
    Daemon,
    Keeper,
}

/// Runs the subcommand; the error has one line per invalid file.
pub(crate) fn run(command: Command) -> Result<CommandOutput, CommandError> {
    let Command::Check(args) = command;
    let mut lines = Vec::new();
    let mut errors = Vec::new();
    for file in &args.files {
        match check(file, args.kind) {
            Ok(line) => lines.push(line),
            Err(error) => errors.push(error.to_string()),
        }
    }
    if errors.is_empty() {
        return Ok(CommandOutput::lines(lines));
    }
    Err(CommandError::Invalid(errors.join("\n")))
}

fn check(file: &Path, kind: Option<Kind>) -> Result<String, CommandError> {
    let kind = match kind {
        Some(kind) => kind.into(),
        None => SettingsKind::detect(file)?,
    };
    let path = file.display();
    match kind {
        SettingsKind::Daemon => {
            let settings: DaemonSettings = agatehill_config::load(file)?;
            let zone = &settings.availability_zone;
            Ok(format!("{path}: daemon={} zone={zone}", settings.name))
        }
        SettingsKind::Keeper => {
            let settings: KeeperSettings = agatehill_config::load(file)?;
            let zone = &settings.availability_zone;
            Ok(format!("{path}: keeper={} zone={zone}", settings.name))
        }
    }
}

impl From<Kind> for SettingsKind {
    fn from(kind: Kind) -> SettingsKind {
        match kind {
            Kind::Daemon => SettingsKind::Daemon,
            Kind::Keeper => SettingsKind::Keeper,
        }
    }
}
