//! A valid configuration document. Only the items that a change touches are parsed and checked. An index
//! beside the document holds the facts that they are checked against: hosts and prefixes of routes, services
//! that routes name, keys.

use crate::configuration::{Backend, Limits, Rejection, Route, Tenant};
use crate::document::{AbsentLists, Document, Field, Touched};
use crate::document_index::DocumentIndex;
use crate::result_code::ResultCode;
use facet::Facet;
use serde::{Deserialize, Serialize};
use serde_json::{Map, Value};
use std::sync::Arc;

const ROUTES: &str = "routes";
const BACKENDS: &str = "backends";
const TENANTS: &str = "tenants";
const LIMITS: &str = "limits";
const VERSION: &str = "version";

/// A document that passed all checks, with its parsed services.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
#[serde(into = "Document", try_from = "Map<String, Value>")]
pub struct CheckedDocument {
    document: Document,
    version: u64,
    backends: Arc<[Backend]>,
    index: DocumentIndex,
}

impl From<CheckedDocument> for Document {
    fn from(checked: CheckedDocument) -> Document {
        checked.document
    }
}

impl TryFrom<Map<String, Value>> for CheckedDocument {
    type Error = Rejection;

    fn try_from(object: Map<String, Value>) -> Result<CheckedDocument, Rejection> {
        CheckedDocument::replaced(object, 0)
    }
}

impl CheckedDocument {
    /// Checks a complete configuration.
    ///
    /// # Errors
    ///
    /// The configuration is invalid, or its version is not greater than `above`.
    pub fn replaced(object: Map<String, Value>, above: u64) -> Result<CheckedDocument, Rejection> {
        let document = Document::from(object);
        let touched = document.all_items();
        CheckedDocument::default().changed(document, &touched, above)
    }

    /// Applies an update to this configuration, and checks what it touches.
    ///
    /// # Errors
    ///
    /// The result is invalid, or its version is not greater than `above`.
    pub fn updated(
        &self,
        update: &Value,
        absent_lists: AbsentLists,
        above: u64,
    ) -> Result<CheckedDocument, Rejection> {
        let (document, touched) = self.document.updated(update, absent_lists)?;
        self.changed(document, &touched, above)
    }

    /// The document.
    pub fn document(&self) -> &Document {
        &self.document
    }

    /// Its version.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// Its services.
    pub fn backends(&self) -> &Arc<[Backend]> {
        &self.backends
    }

    fn changed(&self, after: Document, touched: &Touched, above: u64) -> Result<CheckedDocument, Rejection> {
        let version = read_version(&after)?;
        check_fields(&after)?;
        let routes: TouchedItems<Route> = TouchedItems::read(&self.document, &after, touched, ROUTES)?;
        let tenants: TouchedItems<Tenant> = TouchedItems::read(&self.document, &after, touched, TENANTS)?;
        let backends: TouchedItems<Backend> = TouchedItems::read(&self.document, &after, touched, BACKENDS)?;
        if version <= above {
            let message = format!("version {version} is not above {above}");
            return Err(Rejection::new(ResultCode::VersionNotAbove, message));
        }
        let mut index = self.index.clone();
        routes.removed.iter().for_each(|route| index.remove_route(route));
        tenants.removed.iter().for_each(|tenant| index.remove_tenant(tenant));
        let typed_backends: Arc<[Backend]> = match backends.is_untouched() {
            true => self.backends.clone(),
            false => read_list(&after, BACKENDS)?.into(),
        };
        // Parsed names are compared: a name that is written as a number is parsed as its text.
        let has_backend = |name: &str| typed_backends.iter().any(|backend| backend.name == name);
        for route in &routes.added {
            check_route(route, has_backend)?;
            index.add_route(route)?;
        }
        for tenant in &tenants.added {
            index.add_tenant(tenant)?;
        }
        for backend in &backends.removed {
            if !has_backend(&backend.name) && index.is_named_by_a_route(&backend.name) {
                let message = format!("service {}: a route names it still", backend.name);
                return Err(Rejection::new(ResultCode::UnknownBackend, message));
            }
        }
        Ok(CheckedDocument { document: after, version, backends: typed_backends, index })
    }
}

fn unreadable(what: impl std::fmt::Display) -> Rejection {
    Rejection::new(ResultCode::UnreadableDocument, what.to_string())
}

fn read_item<T: for<'f> Facet<'f>>(item: &Value) -> Result<T, Rejection> {
    facet_json::from_str(&item.to_string()).map_err(unreadable)
}

fn read_list<T: for<'f> Facet<'f>>(document: &Document, section: &str) -> Result<Vec<T>, Rejection> {
    let items = document.list(section).into_iter().flat_map(super::item_list::ItemList::iter);
    items.map(|item| read_item(item)).collect()
}

fn read_version(document: &Document) -> Result<u64, Rejection> {
    let version = document.plain(VERSION).and_then(Value::as_u64);
    version.ok_or_else(|| unreadable("version is missing or no whole number"))
}

/// Checks the JSON types of the fields that the system reads.
fn check_fields(document: &Document) -> Result<(), Rejection> {
    for section in [ROUTES, BACKENDS, TENANTS] {
        if let Some(Field::Plain(_)) = document.field(section) {
            return Err(unreadable(format!("{section} is no list")));
        }
    }
    match document.field(LIMITS) {
        None => Ok(()),
        Some(Field::Plain(limits)) => read_item::<Limits>(limits).map(drop),
        Some(Field::List(_)) => Err(unreadable("limits is a list")),
    }
}

/// The items of one section that a change touches.
struct TouchedItems<T> {
    /// The items as they were before the change.
    removed: Vec<T>,
    /// The items as they are after the change. A replaced item is in both lists.
    added: Vec<T>,
}

impl<T: for<'f> Facet<'f>> TouchedItems<T> {
    fn read(
        before: &Document,
        after: &Document,
        touched: &Touched,
        section: &str,
    ) -> Result<TouchedItems<T>, Rejection> {
        let mut items = TouchedItems { removed: Vec::new(), added: Vec::new() };
        let first = (section.to_owned(), 0);
        for (_, position) in touched.range(first..).take_while(|(name, _)| name == section) {
            let item_of = |document: &Document| document.list(section)?.get(*position).cloned();
            if let Some(item) = item_of(before) {
                items.removed.push(read_item(&item)?);
            }
            if let Some(item) = item_of(after) {
                items.added.push(read_item(&item)?);
            }
        }
        Ok(items)
    }

    fn is_untouched(&self) -> bool {
        self.removed.is_empty() && self.added.is_empty()
    }
}

/// Checks a route on its own, without the other routes.
fn check_route(route: &Route, has_backend: impl Fn(&str) -> bool) -> Result<(), Rejection> {
    let reject = |code, what: &str| Err(Rejection::new(code, format!("route {}: {what}", route.name)));
    if let Some(backend) = route.named_backends().find(|backend| !has_backend(backend)) {
        return reject(ResultCode::UnknownBackend, &format!("unknown service {backend}"));
    }
    let weight: f64 = route.traffic_split.iter().map(|split| split.weight).sum();
    if route.traffic_split.iter().any(|split| split.weight < 0.0) {
        return reject(ResultCode::NoWeight, "a weight is negative");
    }
    if weight <= 0.0 && (route.backend.is_none() || !route.traffic_split.is_empty()) {
        return reject(ResultCode::NoWeight, "the weights sum to 0");
    }
    if route.timeout_ms <= 0.0 {
        return reject(ResultCode::NoTimeout, "timeout_ms is 0");
    }
    let slashes = route.path_prefix.starts_with('/') && route.path_prefix.ends_with('/');
    match slashes {
        true => Ok(()),
        false => reject(ResultCode::UnreadableDocument, "path_prefix does not begin and end with a slash"),
    }
}
