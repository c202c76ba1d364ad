//! Output of a command.

use crate::error::CommandError;
use serde::Serialize;
use std::{
    io::{self, Write},
    process::ExitCode,
};

/// The text that a command prints and its exit code.
#[derive(Clone, Debug, Default)]
pub(crate) struct CommandOutput {
    text: String,
    code: u8,
}

impl CommandOutput {
    /// Returns `lines` as an output with exit code 0.
    pub(crate) fn lines(lines: impl IntoIterator<Item = String>) -> CommandOutput {
        let mut text = String::new();
        for line in lines {
            text.push_str(&line);
            text.push('\n');
        }
        CommandOutput { text, code: 0 }
    }

    /// Returns `value` in JSON as an output with exit code 0.
    pub(crate) fn json(value: &impl Serialize) -> CommandOutput {
        let text = serde_json::to_string_pretty(value).expect("reports are serialisable");
        CommandOutput::lines([text])
    }

    /// Replaces the exit code.
    pub(crate) fn with_code(mut self, code: u8) -> CommandOutput {
        self.code = code;
        self
    }

    /// Prints the text to standard output and returns the exit code.
    ///
    /// # Errors
    ///
    /// Standard output can't be written, other than because its reader has closed it.
    pub(crate) fn print(self) -> Result<ExitCode, CommandError> {
        match io::stdout().write_all(self.text.as_bytes()) {
            // A closed pipe is no error: the reader stopped early.
            Err(e) if e.kind() != io::ErrorKind::BrokenPipe => {
                Err(CommandError::Unreachable(format!("cannot print: {e}")))
            }
            _ => Ok(self.code.into()),
        }
    }
}
