//! The claims that the keepers hold.

use super::{ClaimStore, ClaimStoreError};
use agatehill_decide::claim::{ClaimCommand, ClaimReply};
use agatehill_peer::{keeper::KeeperError, keeper_client::KeeperClient};
use std::time::Duration;

/// Time limit of one command, after which the next keeper is asked.
const COMMAND_SPAN: Duration = Duration::from_millis(500);

/// The claims that the keepers hold, over their client.
#[derive(Clone, Debug)]
pub struct KeeperClaims {
    client: KeeperClient,
}

impl KeeperClaims {
    /// Returns the claims that the keepers of `client` hold.
    pub fn open(client: KeeperClient) -> KeeperClaims {
        KeeperClaims { client }
    }
}

impl ClaimStore for KeeperClaims {
    async fn submit(&self, command: ClaimCommand) -> Result<ClaimReply, ClaimStoreError> {
        let replied = self.client.claim(&command, COMMAND_SPAN).await;
        replied.map_err(|e| match e {
            KeeperError::Unreachable | KeeperError::NotLeader { .. } | KeeperError::Invalid(_) => {
                ClaimStoreError::NotSent
            }
            KeeperError::Unknown => ClaimStoreError::Lost,
        })
    }
}
