//! A configuration made ready for looking requests up.

use crate::configuration::{Backend, Configuration, Route, Tenant};
use std::collections::BTreeMap;
use std::sync::Arc;

/// Routes by host, keys by tenant.
#[derive(Clone, Debug, Default)]
pub struct RouteTable {
    /// The log's entry that brought this configuration.
    pub index: u64,
    /// The configuration's version.
    pub version: u64,
    /// The configuration itself.
    pub configuration: Configuration,
    by_host: BTreeMap<String, Vec<Arc<Route>>>,
    by_key: BTreeMap<String, Arc<Tenant>>,
    backends: BTreeMap<String, Arc<Backend>>,
}

impl RouteTable {
    /// Builds the table of a checked configuration.
    pub fn new(index: u64, configuration: Configuration) -> RouteTable {
        let mut by_host: BTreeMap<String, Vec<Arc<Route>>> = BTreeMap::new();
        for route in &configuration.routes {
            let host = route.hostname.to_ascii_lowercase();
            by_host.entry(host).or_default().push(Arc::new(route.clone()));
        }
        for routes in by_host.values_mut() {
            routes.sort_by_key(|route| std::cmp::Reverse(route.path_prefix.len()));
        }
        let mut by_key = BTreeMap::new();
        for tenant in &configuration.tenants {
            let shared = Arc::new(tenant.clone());
            by_key.extend(tenant.api_keys.iter().map(|key| (key.clone(), shared.clone())));
        }
        let backends = configuration.backends.iter().map(|b| (b.name.clone(), Arc::new(b.clone()))).collect();
        RouteTable { index, version: configuration.version, configuration, by_host, by_key, backends }
    }

    /// The route of a request: the longest prefix among those of the host, without its port.
    pub fn route(&self, host: &str, path: &str) -> Option<&Arc<Route>> {
        let name = host.split(':').next().unwrap_or(host).to_ascii_lowercase();
        self.by_host.get(&name)?.iter().find(|route| path.starts_with(&route.path_prefix))
    }

    /// The tenant that holds a key.
    pub fn tenant(&self, key: &str) -> Option<&Arc<Tenant>> {
        self.by_key.get(key)
    }

    /// Whether requests need a key at all.
    pub fn has_tenants(&self) -> bool {
        !self.configuration.tenants.is_empty()
    }

    /// A service by its name.
    pub fn backend(&self, name: &str) -> Option<&Arc<Backend>> {
        self.backends.get(name)
    }
}
