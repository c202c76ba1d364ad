//! Checks of listen and peer addresses.

use crate::SettingsFault;
use std::{collections::HashMap, net::SocketAddr};

/// An address and the path of its key.
pub(crate) struct KeyedAddress {
    pub(crate) key: String,
    pub(crate) address: SocketAddr,
}

impl KeyedAddress {
    pub(crate) fn new(key: impl Into<String>, address: SocketAddr) -> KeyedAddress {
        KeyedAddress {
            key: key.into(),
            address,
        }
    }
}

/// Refuses an address that occurs twice. Port 0 selects any free port and never conflicts.
pub(crate) fn check_distinct(addresses: &[KeyedAddress]) -> Result<(), SettingsFault> {
    let mut seen = HashMap::new();
    for KeyedAddress { key, address } in addresses {
        if address.port() == 0 {
            continue;
        }
        if let Some(first) = seen.insert(*address, key) {
            let reason = format!("{address} is already the value of \"{first}\"");
            return Err(SettingsFault::new(key, reason));
        }
    }
    Ok(())
}

/// Refuses an unspecified address such as 0.0.0.0, which other processes can't connect to.
pub(crate) fn check_reachable(addresses: &[KeyedAddress]) -> Result<(), SettingsFault> {
    for KeyedAddress { key, address } in addresses {
        if address.ip().is_unspecified() {
            let reason = format!("{address} must be an address that peers can connect to");
            return Err(SettingsFault::new(key, reason));
        }
    }
    Ok(())
}

/// Refuses port 0 in the address of another process.
pub(crate) fn check_ports(addresses: &[KeyedAddress]) -> Result<(), SettingsFault> {
    for KeyedAddress { key, address } in addresses {
        if address.port() == 0 {
            let reason = format!("{address} must have the port that the peer listens on");
            return Err(SettingsFault::new(key, reason));
        }
    }
    Ok(())
}
