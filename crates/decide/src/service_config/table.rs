//! Lookup of the route of a request.

use super::{RouteRule, ServiceConfig};
use std::{collections::HashMap, sync::Arc};

/// The routes of one configuration, ready for lookups.
#[derive(Clone, Debug)]
pub struct RouteTable {
    config: ServiceConfig,
    /// Per host, the longest prefix first.
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
    /// Returns the configuration that the table was made from.
    pub fn config(&self) -> &ServiceConfig {
        &self.config
    }

    /// Returns the route of the longest prefix of `path` at `host`, which may have a port.
    ///
    /// Costs one comparison a route of the host.
    pub fn find(&self, host: &str, path: &str) -> Option<&Arc<RouteRule>> {
        let name = host.rsplit_once(':').map_or(host, |(name, _)| name);
        let routes = match self.hosts.get(name) {
            Some(routes) => routes,
            None => self.hosts.get(&name.to_ascii_lowercase())?,
        };
        routes
            .iter()
            .find(|route| path.starts_with(&route.path_prefix))
    }
}
