//! A configuration made ready for looking requests up.

use crate::configuration::{Backend, Limits, Route, Tenant};
use crate::edge_update::{EdgeUpdate, SectionUpdate};
use std::collections::HashMap;
use std::sync::Arc;

/// Routes by host and prefix, keys by tenant. Items are shared with the tables of earlier configurations.
#[derive(Clone, Debug, Default)]
pub struct RouteTable {
    /// The log's entry that brought this configuration.
    pub index: u64,
    /// The configuration's version.
    pub version: u64,
    /// What a client may send, and how long it may take.
    pub limits: Limits,
    /// By name, which several may share.
    routes: HashMap<Arc<str>, Vec<Arc<Route>>>,
    /// By host, in lower case, and prefix.
    by_host: HashMap<Arc<str>, HashMap<Arc<str>, Arc<Route>>>,
    /// By name, which several may share.
    tenants: HashMap<Arc<str>, Vec<Arc<Tenant>>>,
    by_key: HashMap<Arc<str>, Arc<Tenant>>,
    backends: HashMap<Arc<str>, Arc<Backend>>,
}

impl RouteTable {
    /// Whether an update leads on from this table: it is newer, and whole or one of what stands here. Nothing leads back.
    pub fn leads_to(&self, index: u64, base_index: u64) -> bool {
        index > self.index && (base_index == 0 || base_index == self.index)
    }

    /// The table that an update makes of this one. `index`: the log's entry that brought it.
    pub fn changed(&self, index: u64, update: EdgeUpdate) -> RouteTable {
        let mut table = if update.is_whole { RouteTable::default() } else { self.clone() };
        (table.index, table.version) = (index, update.version);
        if let Some(limits) = update.limits {
            table.limits = limits;
        }
        table.change_routes(update.routes);
        table.change_tenants(update.tenants);
        let SectionUpdate { upsert, delete } = update.backends;
        delete.iter().for_each(|name| drop(table.backends.remove(name.as_str())));
        let named = upsert.into_iter().map(|backend| (Arc::from(backend.name.as_str()), Arc::new(backend)));
        table.backends.extend(named);
        table
    }

    fn change_routes(&mut self, update: SectionUpdate<Route>) {
        let SectionUpdate { upsert, delete } = update;
        delete.iter().for_each(|name| self.remove_routes(name));
        // Two routes may have changed places: all go before any comes.
        upsert.iter().for_each(|route| self.remove_routes(&route.name));
        for route in upsert {
            let host: Arc<str> = route.hostname.to_ascii_lowercase().into();
            let (name, prefix) = (Arc::from(route.name.as_str()), Arc::from(route.path_prefix.as_str()));
            let route = Arc::new(route);
            self.routes.entry(name).or_default().push(route.clone());
            self.by_host.entry(host).or_default().insert(prefix, route);
        }
    }

    fn remove_routes(&mut self, name: &str) {
        for route in self.routes.remove(name).unwrap_or_default() {
            if let Some(of_host) = self.by_host.get_mut(route.hostname.to_ascii_lowercase().as_str()) {
                of_host.remove(route.path_prefix.as_str());
            }
        }
    }

    fn change_tenants(&mut self, update: SectionUpdate<Tenant>) {
        let SectionUpdate { upsert, delete } = update;
        delete.iter().for_each(|name| self.remove_tenants(name));
        // A key may have gone from one tenant to another.
        upsert.iter().for_each(|tenant| self.remove_tenants(&tenant.name));
        for tenant in upsert {
            let tenant = Arc::new(tenant);
            let keys = tenant.api_keys.iter().map(|key| (Arc::from(key.as_str()), tenant.clone()));
            self.by_key.extend(keys);
            self.tenants.entry(Arc::from(tenant.name.as_str())).or_default().push(tenant);
        }
    }

    fn remove_tenants(&mut self, name: &str) {
        for tenant in self.tenants.remove(name).unwrap_or_default() {
            tenant.api_keys.iter().for_each(|key| drop(self.by_key.remove(key.as_str())));
        }
    }

    /// The route of a request: the longest prefix among those of the host, without its port.
    pub fn route(&self, host: &str, path: &str) -> Option<&Arc<Route>> {
        let name = host.split(':').next().unwrap_or(host).to_ascii_lowercase();
        let of_host = self.by_host.get(name.as_str())?;
        // Prefixes end with a slash.
        let ends = path.match_indices('/').map(|(slash, _)| slash + 1).rev();
        ends.filter_map(|end| of_host.get(&path[..end])).next()
    }

    /// The tenant that holds a key.
    pub fn tenant(&self, key: &str) -> Option<&Arc<Tenant>> {
        self.by_key.get(key)
    }

    /// Whether requests need a key at all.
    pub fn has_tenants(&self) -> bool {
        !self.tenants.is_empty()
    }

    /// A service by its name.
    pub fn backend(&self, name: &str) -> Option<&Arc<Backend>> {
        self.backends.get(name)
    }
}
