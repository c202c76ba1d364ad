//! Lookup of the route that applies to a request.

use super::{RouteRule, ServiceConfig};
use std::{collections::HashMap, sync::Arc};

/// The routes of one configuration, indexed for lookups.
#[derive(Clone, Debug)]
pub struct RouteTable {
    config: ServiceConfig,
    /// Routes by host in lower case, the longest prefix first.
    hosts: HashMap<String, Vec<Arc<RouteRule>>>,
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
        RouteTable { config, hosts }
    }
}

impl RouteTable {
    /// Returns the configuration that the table was built from.
    pub fn config(&self) -> &ServiceConfig {
        &self.config
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
