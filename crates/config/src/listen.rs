//! Checks that listen and peer addresses have in common.

use crate::SettingsFault;
use std::{collections::HashMap, net::SocketAddr};

/// An address and the key that holds it.
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

/// Refuses an address that stands twice; port 0 means any free port and never clashes.
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

/// Refuses an address that another process can't connect to.
pub(crate) fn check_reachable(addresses: &[KeyedAddress]) -> Result<(), SettingsFault> {
    for KeyedAddress { key, address } in addresses {
        if address.ip().is_unspecified() {
            let reason = format!("{address} must be an address that peers can connect to");
            return Err(SettingsFault::new(key, reason));
        }
    }
    Ok(())
}

/// Refuses the address of another process if it has no port.
pub(crate) fn check_ports(addresses: &[KeyedAddress]) -> Result<(), SettingsFault> {
    for KeyedAddress { key, address } in addresses {
        if address.port() == 0 {
            let reason = format!("{address} must have the port that the peer listens on");
            return Err(SettingsFault::new(key, reason));
        }
    }
    Ok(())
}
