//! Settings of a daemon.

use crate::{
    LogSettings, SettingsCheck, SettingsFault,
    listen::{KeyedAddress, check_distinct, check_ports, check_reachable},
};
use agatehill_decide::name::{DaemonName, RegionName, ZoneName};
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// Default of [`CallLimits::body_bytes_max`], in bytes.
pub const DEFAULT_BODY_BYTES_MAX: u64 = 1 << 30;

/// Default of [`CallLimits::connections_max`].
pub const DEFAULT_CONNECTIONS_MAX: usize = 4096;

/// Default of [`CallLimits::client_memory_mb`], in MB.
pub const DEFAULT_CLIENT_MEMORY_MB: u64 = 256;

/// Settings of `agatehill-daemon`.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct DaemonSettings {
    /// Name of the daemon, unique in the installation.
    pub name: DaemonName,
    /// Region of its host.
    pub region: RegionName,
    /// Availability zone of its host.
    pub availability_zone: ZoneName,
    /// Peer addresses of the keepers, those in its own zone first.
    pub keepers: Vec<SocketAddr>,
    /// Addresses that it listens on.
    pub listen: DaemonListen,
    /// Daemons through which it joins the membership; none for the first daemon.
    #[serde(default, rename = "seed")]
    pub seeds: Vec<SeedAddress>,
    /// Limits on callers.
    #[serde(default)]
    pub limits: CallLimits,
    /// Its log.
    #[serde(default)]
    pub log: LogSettings,
}

/// Addresses that a daemon listens on; port 0 selects any free port.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct DaemonListen {
    /// Calls from callers and from the backend server on its host, HTTP.
    pub caller: SocketAddr,
    /// Calls that other daemons forward, HTTP.
    pub forward: SocketAddr,
    /// Announcements of the backend servers on its host, HTTP.
    pub announce: SocketAddr,
    /// Dump, metrics, drain and health checks, HTTP.
    pub operator: SocketAddr,
    /// Membership gossip, UDP.
    pub gossip: SocketAddr,
    /// Control messages from other daemons, tarpc.
    pub control: SocketAddr,
}

/// Addresses of a daemon to join.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct SeedAddress {
    /// Address for gossip, UDP.
    pub gossip: SocketAddr,
    /// Address for control messages, tarpc.
    pub control: SocketAddr,
}

/// Limits on what a daemon accepts from callers.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct CallLimits {
    /// Largest request body, in bytes.
    pub body_bytes_max: u64,
    /// Largest number of open connections from callers.
    pub connections_max: usize,
    /// Memory for all that callers, servers, operators and other daemons hold together, in MB.
    pub client_memory_mb: u64,
}

impl Default for CallLimits {
    fn default() -> CallLimits {
        CallLimits {
            body_bytes_max: DEFAULT_BODY_BYTES_MAX,
            connections_max: DEFAULT_CONNECTIONS_MAX,
            client_memory_mb: DEFAULT_CLIENT_MEMORY_MB,
        }
    }
}

impl SettingsCheck for DaemonSettings {
    fn check(&self) -> Result<(), SettingsFault> {
        if self.keepers.is_empty() {
            return Err(SettingsFault::new("keepers", "names no keeper"));
        }
        self.listen.check()?;
        self.check_keepers()?;
        self.check_seeds()?;
        self.limits.check()?;
        self.log.check()
    }
}

impl DaemonSettings {
    fn check_keepers(&self) -> Result<(), SettingsFault> {
        let keyed = |(idx, address): (usize, &SocketAddr)| {
            KeyedAddress::new(format!("keepers[{idx}]"), *address)
        };
        let keepers: Vec<_> = self.keepers.iter().enumerate().map(keyed).collect();
        check_ports(&keepers)?;
        check_reachable(&keepers)?;
        check_distinct(&keepers)
    }

    fn check_seeds(&self) -> Result<(), SettingsFault> {
        let mut gossip = Vec::new();
        let mut control = Vec::new();
        for (idx, seed) in self.seeds.iter().enumerate() {
            gossip.push(KeyedAddress::new(
                format!("seed[{idx}].gossip"),
                seed.gossip,
            ));
            control.push(KeyedAddress::new(
                format!("seed[{idx}].control"),
                seed.control,
            ));
        }
        for addresses in [gossip, control] {
            check_ports(&addresses)?;
            check_reachable(&addresses)?;
            check_distinct(&addresses)?;
        }
        Ok(())
    }
}

impl DaemonListen {
    fn check(&self) -> Result<(), SettingsFault> {
        let keyed = |name: &str, address| KeyedAddress::new(format!("listen.{name}"), address);
        check_distinct(&[
            keyed("caller", self.caller),
            keyed("forward", self.forward),
            keyed("announce", self.announce),
            keyed("operator", self.operator),
            keyed("control", self.control),
        ])?;
        check_reachable(&[
            keyed("forward", self.forward),
            keyed("gossip", self.gossip),
            keyed("control", self.control),
        ])
    }
}

impl CallLimits {
    fn check(&self) -> Result<(), SettingsFault> {
        check_above_zero("limits.body_bytes_max", self.body_bytes_max)?;
        check_above_zero("limits.connections_max", self.connections_max as u64)?;
        check_above_zero("limits.client_memory_mb", self.client_memory_mb)
    }
}

/// Checks that the value of `key` is above 0.
pub(crate) fn check_above_zero(key: &str, value: u64) -> Result<(), SettingsFault> {
    match value {
        0 => Err(SettingsFault::new(key, "must be above 0")),
        _ => Ok(()),
    }
}
