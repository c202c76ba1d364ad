//! The accepted versions of the service configuration, as a replicated state.

use crate::{
    contract_history::{TextDigest, text_digest},
    replicated_state::ReplicatedState,
};
use serde::{Deserialize, Serialize};
use std::{collections::BTreeMap, sync::Arc};

/// A command of [`ConfigHistory`].
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum ConfigCommand {
    /// Proposes a version.
    Put(ConfigPut),
    /// Reads the current version. The read is a log entry, so it reflects every change that was
    /// acknowledged before it, whichever keeper receives it.
    Read,
}

/// A version that an operator proposes.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ConfigPut {
    /// The version that it is based on, 0 for none.
    pub base_version: u64,
    /// The proposed version.
    pub version: u64,
    /// The whole document, already checked.
    pub text: Arc<str>,
}

/// The reply to a command.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum ConfigReply {
    /// The version is accepted; a retry with the same document gets the same reply.
    Accepted,
    /// The proposal is based on a version that isn't current.
    Stale {
        /// The current version.
        current: u64,
    },
    /// The proposed version isn't above the current one.
    NotAbove {
        /// The current version.
        current: u64,
    },
    /// The current document; `None` before the first one.
    Current(Option<AcceptedConfig>),
}

impl ConfigReply {
    /// Returns the name for log lines.
    pub fn as_str(&self) -> &'static str {
        match self {
            ConfigReply::Accepted => "accepted",
            ConfigReply::Stale { .. } => "stale",
            ConfigReply::NotAbove { .. } => "not-above",
            ConfigReply::Current(_) => "current",
        }
    }
}

/// An accepted document.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct AcceptedConfig {
    /// Its version.
    pub version: u64,
    /// The whole document as proposed.
    pub text: Arc<str>,
}

/// The accepted versions of the service configuration.
///
/// The digest of every accepted document is kept, so that a retry is acknowledged after any number
/// of later changes. The text is kept for the current document only.
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
        self.current.as_ref().map_or(0, |config| config.version)
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
