//! The routing table of an edge: a configuration, indexed for the look-ups of requests.

use crate::configuration::{Backend, Limits, Route, Tenant};
use crate::edge_update::{EdgeUpdate, SectionUpdate};
use rpds::HashTrieMapSync;
use std::sync::Arc;

/// Routes by host and prefix, tenants by key. Unchanged parts are shared with the tables of earlier
/// configurations, so the cost of an update grows with the update only.
#[derive(Clone, Debug, Default)]
pub struct RouteTable {
    /// The index of the log entry that brought this configuration.
    pub index: u64,
    /// The configuration's version.
    pub version: u64,
    /// The limits of clients' requests and connections.
    pub limits: Limits,
    /// Whether the configuration has a list of tenants, be it empty.
    requires_keys: bool,
    routes: ByName<Route>,
    /// By host, in lower case, and prefix.
    by_host: HashTrieMapSync<Arc<str>, HashTrieMapSync<Arc<str>, Arc<Route>>>,
    tenants: ByName<Tenant>,
    by_key: HashTrieMapSync<Arc<str>, Arc<Tenant>>,
    backends: HashTrieMapSync<Arc<str>, Arc<Backend>>,
}

/// Items by name; several items may have the same name.
type ByName<T> = HashTrieMapSync<Arc<str>, Vec<Arc<T>>>;

fn add_named<T>(items: &mut ByName<T>, name: Arc<str>, item: Arc<T>) {
    let mut of_name = items.get(&name).cloned().unwrap_or_default();
    of_name.push(item);
    items.insert_mut(name, of_name);
}

fn take_named<T>(items: &mut ByName<T>, name: &str) -> Vec<Arc<T>> {
    let of_name = items.get(name).cloned().unwrap_or_default();
    items.remove_mut(name);
    of_name
}

impl RouteTable {
    /// Whether an update may be applied to this table: it is newer, and either full (`base_index` 0) or a
    /// difference to this configuration. A table never returns to an older configuration.
    pub fn accepts(&self, index: u64, base_index: u64) -> bool {
        index > self.index && (base_index == 0 || base_index == self.index)
    }

    /// This table with an update applied, which the log entry `index` brought.
    pub fn with_update(&self, index: u64, update: EdgeUpdate) -> RouteTable {
        let mut table = if update.is_full { RouteTable::default() } else { self.clone() };
        (table.index, table.version) = (index, update.version);
        if let Some(limits) = update.limits {
            table.limits = limits;
        }
        table.change_routes(update.routes);
        table.change_tenants(update.tenants);
        let SectionUpdate { upsert, delete, .. } = update.backends;
        delete.iter().for_each(|name| _ = table.backends.remove_mut(name.as_str()));
        for backend in upsert {
            table.backends.insert_mut(Arc::from(backend.name.as_str()), Arc::new(backend));
        }
        table
    }

    fn change_routes(&mut self, update: SectionUpdate<Route>) {
        let SectionUpdate { upsert, delete, .. } = update;
        delete.iter().for_each(|name| self.remove_routes(name));
        // Two routes may have swapped prefixes: all are removed before any is added.
        upsert.iter().for_each(|route| self.remove_routes(&route.name));
        for route in upsert {
            let host: Arc<str> = route.hostname.to_ascii_lowercase().into();
            let (name, prefix) = (Arc::from(route.name.as_str()), Arc::from(route.path_prefix.as_str()));
            let route = Arc::new(route);
            let of_host = self.by_host.get(&host).cloned().unwrap_or_default();
            self.by_host.insert_mut(host, of_host.insert(prefix, route.clone()));
            add_named(&mut self.routes, name, route);
        }
    }

    fn remove_routes(&mut self, name: &str) {
        for route in take_named(&mut self.routes, name) {
            let host = route.hostname.to_ascii_lowercase();
            if let Some(of_host) = self.by_host.get(host.as_str()) {
                let left = of_host.remove(route.path_prefix.as_str());
                self.by_host.insert_mut(host.into(), left);
            }
        }
    }

    /// A list of tenants whose last one is taken away stays a list, by which no key is known. A difference cannot
    /// take the list itself away.
    fn change_tenants(&mut self, update: SectionUpdate<Tenant>) {
        let SectionUpdate { is_listed, upsert, delete } = update;
        self.requires_keys |= is_listed;
        delete.iter().for_each(|name| self.remove_tenants(name));
        // A key may have moved from one tenant to another.
        upsert.iter().for_each(|tenant| self.remove_tenants(&tenant.name));
        for tenant in upsert {
            let tenant = Arc::new(tenant);
            for key in &tenant.api_keys {
                self.by_key.insert_mut(Arc::from(key.as_str()), tenant.clone());
            }
            add_named(&mut self.tenants, Arc::from(tenant.name.as_str()), tenant);
        }
    }

    fn remove_tenants(&mut self, name: &str) {
        for key in take_named(&mut self.tenants, name).iter().flat_map(|tenant| &tenant.api_keys) {
            self.by_key.remove_mut(key.as_str());
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

    /// The tenant to which a key belongs.
    pub fn tenant(&self, key: &str) -> Option<&Arc<Tenant>> {
        self.by_key.get(key)
    }

    /// Whether requests need a key, except on public routes: the configuration has a list of tenants. With an empty
    /// list no key is known, and none passes.
    pub fn requires_keys(&self) -> bool {
        self.requires_keys
    }

    /// A service by its name.
    pub fn backend(&self, name: &str) -> Option<&Arc<Backend>> {
        self.backends.get(name)
    }
}
