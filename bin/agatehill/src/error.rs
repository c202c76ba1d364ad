//! Errors of commands and their exit codes.

use agatehill_config::SettingsError;
use agatehill_operator::client::ClientError;
use std::{fmt, process::ExitCode};

/// Why a command failed, with the message to print.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(crate) enum CommandError {
    /// A keeper refused the request.
    Refused(String),
    /// A file or argument is invalid.
    Invalid(String),
    /// No process gave a final answer, or the output can't be written.
    Unreachable(String),
}

impl CommandError {
    /// Prints the error to standard error and returns the exit code.
    pub(crate) fn print(self) -> ExitCode {
        eprintln!("agatehill: {self}");
        self.exit_code().into()
    }

    /// Returns the exit code.
    pub(crate) fn exit_code(&self) -> u8 {
        match self {
            CommandError::Refused(_) => 1,
            CommandError::Invalid(_) => 2,
            CommandError::Unreachable(_) => 3,
        }
    }
}

impl fmt::Display for CommandError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            CommandError::Refused(reason)
            | CommandError::Invalid(reason)
            | CommandError::Unreachable(reason) => f.write_str(reason),
        }
    }
}

impl From<ClientError> for CommandError {
    fn from(error: ClientError) -> CommandError {
        let reason = error.to_string();
        match error {
            ClientError::Refused { .. } | ClientError::Conflict(_) => CommandError::Refused(reason),
            ClientError::Unavailable(_) => CommandError::Unreachable(reason),
        }
    }
}

impl From<SettingsError> for CommandError {
    fn from(error: SettingsError) -> CommandError {
        CommandError::Invalid(error.to_string())
    }
}
