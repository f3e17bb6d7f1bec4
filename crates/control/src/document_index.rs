//! An index of a document's items, against which a change is checked: hosts and prefixes of routes, services
//! that routes name, keys of tenants. Versions of the index share their unchanged parts.

use crate::configuration::{Rejection, Route, Tenant};
use crate::result_code::ResultCode;
use rpds::{RedBlackTreeMapSync, RedBlackTreeSetSync};

/// The facts that items are checked against.
#[derive(Clone, Debug, Default)]
pub(crate) struct DocumentIndex {
    /// Host, in lower case, and prefix of each route.
    route_keys: RedBlackTreeSetSync<(String, String)>,
    /// How many times routes name each service.
    named_backends: RedBlackTreeMapSync<String, usize>,
    /// Each key with its tenant, and how many times the tenant lists it.
    keys: RedBlackTreeMapSync<(String, String), usize>,
}

/// The pair by which a route is unique: its host, in lower case, and its prefix.
fn route_key(route: &Route) -> (String, String) {
    (route.hostname.to_ascii_lowercase(), route.path_prefix.clone())
}

fn increment<K: Ord + Clone>(counts: &mut RedBlackTreeMapSync<K, usize>, key: K) {
    let times = counts.get(&key).copied().unwrap_or(0);
    counts.insert_mut(key, times + 1);
}

fn decrement<K: Ord + Clone>(counts: &mut RedBlackTreeMapSync<K, usize>, key: K) {
    match counts.get(&key).copied() {
        Some(times) if times > 1 => counts.insert_mut(key, times - 1),
        _ => drop(counts.remove_mut(&key)),
    }
}

impl DocumentIndex {
    /// Adds a route. No other route may have the same host and prefix.
    pub(crate) fn add_route(&mut self, route: &Route) -> Result<(), Rejection> {
        let key = route_key(route);
        if self.route_keys.contains(&key) {
            let message = format!("route {}: host and prefix are another route's as well", route.name);
            return Err(Rejection::new(ResultCode::DuplicateRoute, message));
        }
        self.route_keys.insert_mut(key);
        for backend in route.named_backends() {
            increment(&mut self.named_backends, backend.to_owned());
        }
        Ok(())
    }

    /// Removes a route.
    pub(crate) fn remove_route(&mut self, route: &Route) {
        self.route_keys.remove_mut(&route_key(route));
        for backend in route.named_backends() {
            decrement(&mut self.named_backends, backend.to_owned());
        }
    }

    /// Whether a route names a service.
    pub(crate) fn is_named_by_a_route(&self, backend: &str) -> bool {
        self.named_backends.contains_key(backend)
    }

    /// Adds a tenant. No other tenant may have one of its keys.
    pub(crate) fn add_tenant(&mut self, tenant: &Tenant) -> Result<(), Rejection> {
        for key in &tenant.api_keys {
            let first = (key.clone(), String::new());
            let mut owners = self.keys.range(first..).take_while(|((owned, _), _)| owned == key);
            if owners.any(|((_, owner), _)| *owner != tenant.name) {
                let message = format!("tenant {}: a key is another tenant's as well", tenant.name);
                return Err(Rejection::new(ResultCode::SharedKey, message));
            }
            increment(&mut self.keys, (key.clone(), tenant.name.clone()));
        }
        Ok(())
    }

    /// Removes a tenant.
    pub(crate) fn remove_tenant(&mut self, tenant: &Tenant) {
        for key in &tenant.api_keys {
            decrement(&mut self.keys, (key.clone(), tenant.name.clone()));
        }
    }
}
