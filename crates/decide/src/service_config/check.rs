//! Validation of a configuration.

use super::{ClientAccount, RouteRule, ServiceConfig};
use std::{collections::HashSet, fmt};

/// Why a configuration is refused.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum ConfigFault {
    /// A route uses a service that the configuration doesn't list.
    UnknownService {
        /// The route.
        route: String,
        /// The service.
        service: String,
    },
    /// All weights of a route are 0.
    NoWeight {
        /// The route.
        route: String,
    },
    /// A route's timeout is 0.
    NoTimeout {
        /// The route.
        route: String,
    },
    /// A route allows no backend server.
    NoServers {
        /// The route.
        route: String,
    },
    /// A route's prefix doesn't begin and end with a slash.
    BadPrefix {
        /// The route.
        route: String,
        /// The prefix.
        prefix: String,
    },
    /// Two accounts have the same name.
    DuplicateAccount {
        /// The account.
        account: String,
    },
    /// An account has an empty key.
    EmptyKey {
        /// The account.
        account: String,
    },
    /// An account has a key that is listed before, mostly for another account.
    SharedKey {
        /// The account.
        account: String,
    },
    /// The rate or burst of an account is negative or not finite.
    BadLimit {
        /// The account.
        account: String,
    },
}

impl fmt::Display for ConfigFault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            ConfigFault::UnknownService { route, service } => {
                write!(f, "route \"{route}\": service \"{service}\" is not listed")
            }
            ConfigFault::NoWeight { route } => {
                write!(f, "route \"{route}\": the weights add up to 0")
            }
            ConfigFault::NoTimeout { route } => write!(f, "route \"{route}\": the timeout is 0"),
            ConfigFault::NoServers { route } => {
                write!(f, "route \"{route}\": no backend server may be tried")
            }
            ConfigFault::BadPrefix { route, prefix } => write!(
                f,
                "route \"{route}\": prefix \"{prefix}\" doesn't begin and end with a slash"
            ),
            ConfigFault::DuplicateAccount { account } => {
                write!(f, "account \"{account}\": the name is listed twice")
            }
            ConfigFault::EmptyKey { account } => {
                write!(f, "account \"{account}\": a key is empty")
            }
            ConfigFault::SharedKey { account } => {
                write!(f, "account \"{account}\": a key is listed twice")
            }
            ConfigFault::BadLimit { account } => {
                write!(f, "account \"{account}\": rate and burst must be 0 or more")
            }
        }
    }
}

impl std::error::Error for ConfigFault {}

impl ServiceConfig {
    /// Checks everything that doesn't depend on the current version.
    ///
    /// # Errors
    ///
    /// Returns the first fault.
    pub fn check(&self) -> Result<(), ConfigFault> {
        let routes = self.hosts.iter().flat_map(|host| &host.routes);
        for route in routes {
            self.check_route(route)?;
        }
        self.check_accounts()
    }

    fn check_accounts(&self) -> Result<(), ConfigFault> {
        let mut names = HashSet::new();
        let mut keys = HashSet::new();
        let empty_key = super::KeyDigest::of("");
        for account in &self.accounts {
            let name = || account.name.to_string();
            if !names.insert(&account.name) {
                return Err(ConfigFault::DuplicateAccount { account: name() });
            }
            if account.keys.contains(&empty_key) {
                return Err(ConfigFault::EmptyKey { account: name() });
            }
            if !account.keys.iter().all(|key| keys.insert(key)) {
                return Err(ConfigFault::SharedKey { account: name() });
            }
            check_limit(account)?;
        }
        Ok(())
    }

    fn check_route(&self, route: &RouteRule) -> Result<(), ConfigFault> {
        let name = || route.name.clone();
        let prefix = &route.path_prefix;
        if !prefix.starts_with('/') || !prefix.ends_with('/') {
            return Err(ConfigFault::BadPrefix {
                route: name(),
                prefix: prefix.clone(),
            });
        }
        if route.timeout.is_zero() {
            return Err(ConfigFault::NoTimeout { route: name() });
        }
        if route.servers_max == 0 {
            return Err(ConfigFault::NoServers { route: name() });
        }
        let is_listed = |weighted: &super::WeightedService| {
            let mut services = self.services.iter();
            services.any(|service| service.name == weighted.service)
        };
        if let Some(weighted) = route
            .weighted_services
            .iter()
            .find(|weighted| !is_listed(weighted))
        {
            return Err(ConfigFault::UnknownService {
                route: name(),
                service: weighted.service.to_string(),
            });
        }
        if route
            .weighted_services
            .iter()
            .all(|weighted| weighted.weight == 0)
        {
            return Err(ConfigFault::NoWeight { route: name() });
        }
        Ok(())
    }
}

fn check_limit(account: &ClientAccount) -> Result<(), ConfigFault> {
    match account.limit.is_none_or(super::RateLimit::is_valid) {
        true => Ok(()),
        false => Err(ConfigFault::BadLimit {
            account: account.name.to_string(),
        }),
    }
}
