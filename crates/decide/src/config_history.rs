//! The accepted versions of a service configuration, as a replicated state.

use crate::{
    contract_history::{TextDigest, text_digest},
    replicated_state::ReplicatedState,
};
use serde::{Deserialize, Serialize};
use std::{collections::BTreeMap, sync::Arc};

/// A command of the book.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum ConfigCommand {
    /// Proposes a version.
    Put(ConfigPut),
    /// Reads the current version. As an entry of the log it sees every change that was acknowledged
    /// before, wherever it is asked.
    Read,
}

/// A version that an operator proposes.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ConfigPut {
    /// The version that it builds on, 0 for none.
    pub base_version: u64,
    /// Its own version.
    pub version: u64,
    /// The whole document, already checked.
    pub text: Arc<str>,
}

/// The answer to a command.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum ConfigReply {
    /// The version is accepted; a resend of the same document gets the same answer.
    Accepted,
    /// Another version is current.
    Stale {
        /// The current version.
        current: u64,
    },
    /// The version isn't above the current one.
    NotAbove {
        /// The current version.
        current: u64,
    },
    /// The current document, `None` before the first one.
    Current(Option<AcceptedConfig>),
}

/// An accepted document.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct AcceptedConfig {
    /// Its version.
    pub version: u64,
    /// The whole document, as it was proposed.
    pub text: Arc<str>,
}

/// The accepted versions.
///
/// The digest of every accepted document is kept, so that a resend is acknowledged however many
/// changes lie between; the text is kept for the current one only.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct ConfigHistory {
    current: Option<AcceptedConfig>,
    accepted: BTreeMap<u64, TextDigest>,
}

impl ConfigHistory {
    /// Returns the current document.
    pub fn current(&self) -> Option<&AcceptedConfig> {
        self.current.as_ref()
    }

    /// Returns the current version, 0 before the first one.
    pub fn version(&self) -> u64 {
        self.current.as_ref().map_or(0, |text| text.version)
    }

    fn put(&mut self, put: ConfigPut) -> ConfigReply {
        let digest = text_digest(&put.text);
        if self.accepted.get(&put.version) == Some(&digest) {
            return ConfigReply::Accepted;
        }
        let current = self.version();
        if put.base_version != current {
            return ConfigReply::Stale { current };
        }
        if put.version <= current {
            return ConfigReply::NotAbove { current };
        }
        self.accepted.insert(put.version, digest);
        self.current = Some(AcceptedConfig {
            version: put.version,
            text: put.text,
        });
        ConfigReply::Accepted
    }
}

impl ReplicatedState for ConfigHistory {
    type Command = ConfigCommand;
    type Reply = ConfigReply;

    fn apply(&mut self, _position: u64, command: ConfigCommand) -> ConfigReply {
        match command {
            ConfigCommand::Put(put) => self.put(put),
            ConfigCommand::Read => ConfigReply::Current(self.current.clone()),
        }
    }
}
