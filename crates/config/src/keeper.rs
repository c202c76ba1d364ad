//! Settings of a keeper.

use crate::{
    LogSettings, SettingsCheck, SettingsFault,
    daemon::{DEFAULT_CLIENT_MEMORY_MB, DEFAULT_CONNECTIONS_MAX, check_above_zero},
    listen::{KeyedAddress, check_distinct, check_ports, check_reachable},
};
use agatehill_decide::name::{KeeperName, RegionName, ZoneName};
use serde::{Deserialize, Serialize};
use std::{collections::HashSet, net::SocketAddr, path::PathBuf};

/// Largest number of voting keepers.
pub const VOTERS_MAX: usize = 5;

/// Largest number of claim groups.
pub const CLAIM_GROUPS_MAX: u32 = 1024;

/// Settings of `agatehill-keeper`.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct KeeperSettings {
    /// Name of the keeper, unique in the installation.
    pub name: KeeperName,
    /// Region of its host.
    pub region: RegionName,
    /// Availability zone of its host.
    pub availability_zone: ZoneName,
    /// Folder for durable state.
    pub data_dir: PathBuf,
    /// Number of groups over which claims are distributed; the same at every keeper.
    pub claim_groups: u32,
    /// Addresses that it listens on.
    pub listen: KeeperListen,
    /// All keepers of the installation, including this one.
    #[serde(rename = "keeper")]
    pub keepers: Vec<KeeperPeer>,
    /// Limits on what others hold.
    #[serde(default)]
    pub limits: KeeperLimits,
    /// Its log.
    #[serde(default)]
    pub log: LogSettings,
}

/// Limits on what operators, daemons and other keepers hold at a keeper.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct KeeperLimits {
    /// Largest number of open connections of daemons and other keepers.
    pub connections_max: usize,
    /// Memory for all that they and operators hold together, in MB.
    pub client_memory_mb: u64,
}

impl Default for KeeperLimits {
    fn default() -> KeeperLimits {
        KeeperLimits {
            connections_max: DEFAULT_CONNECTIONS_MAX,
            client_memory_mb: DEFAULT_CLIENT_MEMORY_MB,
        }
    }
}

impl KeeperLimits {
    fn check(&self) -> Result<(), SettingsFault> {
        check_above_zero("limits.connections_max", self.connections_max as u64)?;
        check_above_zero("limits.client_memory_mb", self.client_memory_mb)
    }
}

/// Addresses that a keeper listens on; port 0 selects any free port.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct KeeperListen {
    /// Contracts, dump, metrics, drain and health checks, HTTP.
    pub operator: SocketAddr,
    /// Messages from daemons and other keepers, tarpc.
    pub peer: SocketAddr,
}

/// One keeper of the installation.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct KeeperPeer {
    /// Its name.
    pub name: KeeperName,
    /// Region of its host.
    pub region: RegionName,
    /// Availability zone of its host.
    pub availability_zone: ZoneName,
    /// Address at which daemons and other keepers reach it.
    pub peer: SocketAddr,
    /// Whether it votes; a non-voting keeper receives the log and serves the daemons in its zone.
    pub voter: bool,
}

impl SettingsCheck for KeeperSettings {
    fn check(&self) -> Result<(), SettingsFault> {
        if self.data_dir.as_os_str().is_empty() {
            return Err(SettingsFault::new("data_dir", "is empty"));
        }
        if !(1..=CLAIM_GROUPS_MAX).contains(&self.claim_groups) {
            let reason = format!("must be 1 to {CLAIM_GROUPS_MAX}");
            return Err(SettingsFault::new("claim_groups", reason));
        }
        self.listen.check()?;
        self.check_names()?;
        self.check_voters()?;
        self.check_self()?;
        self.check_peers()?;
        self.limits.check()?;
        self.log.check()
    }
}

impl KeeperSettings {
    fn check_names(&self) -> Result<(), SettingsFault> {
        let mut seen = HashSet::new();
        for (idx, keeper) in self.keepers.iter().enumerate() {
            if !seen.insert(&keeper.name) {
                let reason = format!("keeper \"{}\" is listed twice", keeper.name);
                return Err(SettingsFault::new(format!("keeper[{idx}].name"), reason));
            }
        }
        Ok(())
    }

    fn check_voters(&self) -> Result<(), SettingsFault> {
        let voters = self.keepers.iter().filter(|keeper| keeper.voter).count();
        if (1..=VOTERS_MAX).contains(&voters) {
            return Ok(());
        }
        let reason = format!("{voters} keepers vote, there must be 1 to {VOTERS_MAX}");
        Err(SettingsFault::new("keeper", reason))
    }

    fn check_self(&self) -> Result<(), SettingsFault> {
        let Some(idx) = self
            .keepers
            .iter()
            .position(|keeper| keeper.name == self.name)
        else {
            let reason = format!("\"{}\" is not in the list of keepers", self.name);
            return Err(SettingsFault::new("name", reason));
        };
        let listed = &self.keepers[idx];
        let fault = |key: &str, reason: String| {
            Err(SettingsFault::new(format!("keeper[{idx}].{key}"), reason))
        };
        if listed.region != self.region {
            let reason = format!("differs from the keeper's region \"{}\"", self.region);
            return fault("region", reason);
        }
        if listed.availability_zone != self.availability_zone {
            let zone = &self.availability_zone;
            let reason = format!("differs from the keeper's availability zone \"{zone}\"");
            return fault("availability_zone", reason);
        }
        let port = self.listen.peer.port();
        if port != 0 && listed.peer.port() != port {
            let reason = format!("differs from \"listen.peer\" {}", self.listen.peer);
            return fault("peer", reason);
        }
        Ok(())
    }

    fn check_peers(&self) -> Result<(), SettingsFault> {
        let keyed = |(idx, keeper): (usize, &KeeperPeer)| {
            KeyedAddress::new(format!("keeper[{idx}].peer"), keeper.peer)
        };
        let peers: Vec<_> = self.keepers.iter().enumerate().map(keyed).collect();
        check_ports(&peers)?;
        check_reachable(&peers)?;
        check_distinct(&peers)
    }
}

impl KeeperListen {
    fn check(&self) -> Result<(), SettingsFault> {
        check_distinct(&[
            KeyedAddress::new("listen.operator", self.operator),
            KeyedAddress::new("listen.peer", self.peer),
        ])
    }
}
