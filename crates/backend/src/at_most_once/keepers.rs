//! The claim store of the keepers.

use super::{ClaimStore, ClaimStoreError};
use agatehill_decide::claim::{ClaimCommand, ClaimReply};
use agatehill_peer::{keeper::KeeperError, keeper_client::KeeperClient};
use std::time::Duration;

/// Time limit of a command at one keeper, after which the next one is tried.
const COMMAND_TIMEOUT: Duration = Duration::from_millis(500);

/// Submits claim commands to the keepers.
#[derive(Clone, Debug)]
pub struct KeeperClaims {
    client: KeeperClient,
}

impl KeeperClaims {
    /// Opens the claim store of the keepers that `client` reaches.
    pub fn open(client: KeeperClient) -> KeeperClaims {
        KeeperClaims { client }
    }
}

impl ClaimStore for KeeperClaims {
    async fn submit(&self, command: ClaimCommand) -> Result<ClaimReply, ClaimStoreError> {
        let replied = self.client.claim(&command, COMMAND_TIMEOUT).await;
        replied.map_err(|e| match e {
            KeeperError::Unreachable | KeeperError::NotLeader { .. } | KeeperError::Invalid(_) => {
                ClaimStoreError::NotSent
            }
            KeeperError::Unknown => ClaimStoreError::Lost,
        })
    }
}
