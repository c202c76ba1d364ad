//! Lookup of the route that applies to a request, and of the account that a key belongs to.

use super::{ClientAccount, KeyDigest, RouteRule, ServiceConfig};
use crate::name::{AccountName, ServiceName};
use std::{
    collections::{HashMap, HashSet, hash_map::Entry},
    sync::Arc,
};

/// The routes of one configuration, indexed for lookups.
#[derive(Clone, Debug)]
pub struct RouteTable {
    config: ServiceConfig,
    /// Routes by host in lower case, the longest prefix first.
    hosts: HashMap<String, Vec<Arc<RouteRule>>>,
    /// Accounts by key; `None` for a key that several accounts list, which identifies none of them.
    keys: HashMap<KeyDigest, Option<Arc<ClientAccount>>>,
    accounts: HashMap<AccountName, Arc<ClientAccount>>,
    /// The accounts with the largest limits, which have counters of their own.
    counted: HashSet<AccountName>,
}

/// Most accounts with counters of their own.
const COUNTED_ACCOUNTS_MAX: usize = 15;
/// Label of all other accounts.
const OTHER_ACCOUNTS: &str = "other";

/// Whose key a request carries.
#[derive(Clone, Debug, PartialEq)]
pub enum KeyCheck {
    /// The key belongs to this account.
    Known(Arc<ClientAccount>),
    /// No account has the key, or several have.
    Unknown,
}

impl From<ServiceConfig> for RouteTable {
    fn from(config: ServiceConfig) -> RouteTable {
        let mut hosts: HashMap<String, Vec<Arc<RouteRule>>> = HashMap::new();
        for host in &config.hosts {
            let routes = host.routes.iter().cloned().map(Arc::new);
            let name = host.host.to_ascii_lowercase();
            hosts.entry(name).or_default().extend(routes);
        }
        for routes in hosts.values_mut() {
            routes.sort_by_key(|route| std::cmp::Reverse(route.path_prefix.len()));
        }
        let mut table = RouteTable {
            hosts,
            keys: HashMap::new(),
            accounts: HashMap::new(),
            counted: HashSet::new(),
            config,
        };
        table.index_accounts();
        table
    }
}

impl RouteTable {
    /// Returns the configuration that the table was built from.
    pub fn config(&self) -> &ServiceConfig {
        &self.config
    }

    /// Returns whether the configuration names `service`.
    pub fn has_service(&self, service: &ServiceName) -> bool {
        let services = &self.config.services;
        services.iter().any(|known| known.name == *service)
    }

    /// Returns whether requests need a key, but for those on public routes.
    pub fn requires_keys(&self) -> bool {
        !self.config.accounts.is_empty()
    }

    /// Returns whose key `key` is. Costs one hash of the key, whatever the number of keys.
    pub fn check_key(&self, key: &str) -> KeyCheck {
        match self.keys.get(&KeyDigest::of(key)) {
            Some(Some(account)) => KeyCheck::Known(account.clone()),
            Some(None) | None => KeyCheck::Unknown,
        }
    }

    /// Returns the account `name`.
    pub fn account(&self, name: &str) -> Option<&Arc<ClientAccount>> {
        self.accounts.get(name)
    }

    /// Returns the label of the counters of `account`: its name if it is among the largest.
    pub fn account_label<'a>(&self, account: &'a AccountName) -> &'a str {
        match self.counted.contains(account) {
            true => account.as_str(),
            false => OTHER_ACCOUNTS,
        }
    }

    fn index_accounts(&mut self) {
        for account in self.config.accounts.iter().cloned().map(Arc::new) {
            for key in &account.keys {
                match self.keys.entry(*key) {
                    Entry::Vacant(entry) => drop(entry.insert(Some(account.clone()))),
                    Entry::Occupied(mut entry) => drop(entry.insert(None)),
                }
            }
            self.accounts.insert(account.name.clone(), account);
        }
        self.counted = self.largest_accounts();
    }

    fn largest_accounts(&self) -> HashSet<AccountName> {
        let rate = |account: &&ClientAccount| account.limit.map_or(f64::INFINITY, |l| l.rate);
        let mut accounts: Vec<_> = self.config.accounts.iter().collect();
        accounts.sort_by(|a, b| rate(b).total_cmp(&rate(a)));
        let largest = accounts.into_iter().take(COUNTED_ACCOUNTS_MAX);
        largest.map(|account| account.name.clone()).collect()
    }

    /// Returns the route with the longest prefix of `path` at `host`, which may have a port.
    ///
    /// Costs up to one comparison per route of the host.
    pub fn find(&self, host: &str, path: &str) -> Option<&Arc<RouteRule>> {
        let name = match host.rsplit_once(':') {
            // The colon belongs to an IPv6 address in brackets, without a port.
            Some((_, rest)) if rest.ends_with(']') => host,
            Some((name, _)) => name,
            None => host,
        };
        let routes = match self.hosts.get(name) {
            Some(routes) => routes,
            None => self.hosts.get(&name.to_ascii_lowercase())?,
        };
        routes
            .iter()
            .find(|route| path.starts_with(&route.path_prefix))
    }
}
