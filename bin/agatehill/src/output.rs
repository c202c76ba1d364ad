//! What a command prints.

use crate::error::CommandError;
use serde::Serialize;
use std::{
    io::{self, Write},
    process::ExitCode,
};

/// The text of a command and its exit code.
#[derive(Clone, Debug, Default)]
pub(crate) struct CommandOutput {
    text: String,
    code: u8,
}

impl CommandOutput {
    /// Returns an output of `lines` with exit code 0.
    pub(crate) fn lines(lines: impl IntoIterator<Item = String>) -> CommandOutput {
        let mut text = String::new();
        for line in lines {
            text.push_str(&line);
            text.push('\n');
        }
        CommandOutput { text, code: 0 }
    }

    /// Returns an output of `value` as JSON with exit code 0.
    pub(crate) fn json(value: &impl Serialize) -> CommandOutput {
        let text = serde_json::to_string_pretty(value).expect("reports are serialisable");
        CommandOutput::lines([text])
    }

    /// Replaces the exit code.
    pub(crate) fn with_code(mut self, code: u8) -> CommandOutput {
        self.code = code;
        self
    }

    /// Prints the text and returns the exit code.
    pub(crate) fn print(self) -> Result<ExitCode, CommandError> {
        match io::stdout().write_all(self.text.as_bytes()) {
            // The reader has seen enough.
            Err(e) if e.kind() != io::ErrorKind::BrokenPipe => {
                Err(CommandError::Unreachable(format!("cannot print: {e}")))
            }
            _ => Ok(self.code.into()),
        }
    }
}
