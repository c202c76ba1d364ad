//! Commands to the replica group: run here, or forwarded to the keeper that leads.

use super::FleetKeeper;
use agatehill_decide::config_history::{ConfigCommand, ConfigReply};
use agatehill_peer::{
    fleet::CommandError,
    link::{LinkError, RetryLimits},
};
use agatehill_replica::group::ProposeError;
use std::time::{Duration, Instant};

/// Timeouts of a command that is forwarded to the leader. A try over a connection that has gone silent leaves time for another
/// one within the second for which operators wait.
const FORWARD_LIMITS: RetryLimits = RetryLimits {
    total: Duration::from_millis(1_600),
    attempt: Duration::from_millis(500),
};
/// Longest wait of a command for a leader; below the second for which operators wait for a response.
const LEADER_WAIT: Duration = Duration::from_millis(800);
/// Time between two tries of a command while there is no leader.
const LEADER_CHECK_INTERVAL: Duration = Duration::from_millis(50);

impl FleetKeeper {
    /// Proposes `command` to the group, or forwards it to the keeper that leads. During an election it
    /// waits for the new leader, for [`LEADER_WAIT`] at most: an operator who is turned away comes back
    /// later than the election ends. A command whose outcome is unknown is run again, as operators send
    /// theirs again: the history gives a change that it has accepted the same reply.
    ///
    /// # Errors
    ///
    /// No leader accepts the command, or its outcome is unknown.
    pub async fn run_command(&self, command: ConfigCommand) -> Result<ConfigReply, CommandError> {
        let end = Instant::now() + LEADER_WAIT;
        loop {
            match self.try_command(&command).await {
                Err(_) if Instant::now() < end => {
                    tokio::time::sleep(LEADER_CHECK_INTERVAL).await;
                }
                result => return result,
            }
        }
    }

    async fn try_command(&self, command: &ConfigCommand) -> Result<ConfigReply, CommandError> {
        let status = self.status();
        // Elsewhere the group's thread need not be asked, which waits while the disk hangs.
        let leader = match status.role {
            "leader" => match self.propose(command).await {
                Ok(reply) => return Ok(reply),
                Err(ProposeError::Unknown) => return Err(CommandError::Unknown),
                Err(ProposeError::NotLeader(leader)) => leader,
            },
            _ => status.leader,
        };
        let leader = leader.ok_or(CommandError::NotLeader)?;
        if leader == self.shared.own_record.name {
            return Err(CommandError::NotLeader);
        }
        let keeper = self.shared.keepers.get(&leader);
        let link = keeper.ok_or(CommandError::NotLeader)?.link;
        let command = command.clone();
        let sent = link.call_idempotent(FORWARD_LIMITS, |client, ctx| async move {
            client.run_command(ctx, command).await
        });
        sent.await.unwrap_or_else(|error| match error {
            LinkError::Unreachable => Err(CommandError::NotLeader),
            LinkError::NoResponse => Err(CommandError::Unknown),
        })
    }

    /// Proposes `command` to the group here.
    ///
    /// # Errors
    ///
    /// This keeper doesn't lead, or the outcome is unknown.
    pub(super) async fn propose(
        &self,
        command: &ConfigCommand,
    ) -> Result<ConfigReply, ProposeError> {
        let status = self.status();
        let has_too_few_voters = status.voters.len() < self.shared.voters_min;
        if status.role == "leader" && has_too_few_voters && matches!(command, ConfigCommand::Put(_))
        {
            // With fewer voters, the tolerated loss of disks could lose the change.
            return Err(ProposeError::NotLeader(None));
        }
        self.shared.group.propose(command).await
    }
}
