//! Compares the checks of touched items with a check of the full document, which is implemented here for this
//! test alone. A change must be accepted exactly if the resulting full document is valid, and must result in
//! that document. An edge that receives the difference must have the same routing table as an edge that
//! receives the full configuration.

#![allow(clippy::unwrap_used, clippy::expect_used, reason = "a test fails by a panic")]

use facet::Facet;
use pathbank_control::checked_document::CheckedDocument;
use pathbank_control::configuration::{Backend, Limits, Route, Tenant};
use pathbank_control::document::Document;
use pathbank_control::edge_document;
use pathbank_control::edge_update::EdgeUpdate;
use pathbank_control::routes::RouteTable;
use pathbank_control::state::{Change, ChangeKind, Command, ControlState};
use serde_json::{Map, Value, json};
use std::collections::{BTreeMap, BTreeSet};

const SEQUENCES: u64 = 1_500;
const CHANGES_PER_SEQUENCE: u64 = 12;

#[derive(Facet)]
struct Configuration {
    version: u64,
    #[facet(default)]
    routes: Vec<Route>,
    #[facet(default)]
    backends: Vec<Backend>,
    #[facet(default)]
    limits: Limits,
    #[facet(default)]
    tenants: Vec<Tenant>,
}

// ---- reference: the check of full documents ----

fn name_of_item(item: &Value) -> Option<&str> {
    item.get("name")?.as_str()
}

fn apply_to_full_document(current: &Value, update: &Value, kind: ChangeKind) -> Option<Value> {
    let mut document = current.as_object().cloned().unwrap_or_default();
    document.insert("version".into(), update.get("version")?.clone());
    for (section, names) in update.get("delete").and_then(Value::as_object).into_iter().flatten() {
        let names = names.as_array()?;
        if kind == ChangeKind::UpdateItems && !document.contains_key(section) {
            continue;
        }
        let list = document.entry(section.clone()).or_insert_with(|| json!([]));
        if let Some(items) = list.as_array_mut() {
            items.retain(|item| {
                !names.iter().any(|name| name.is_string() && name.as_str() == name_of_item(item))
            });
        }
    }
    for (section, value) in update.get("upsert").and_then(Value::as_object).into_iter().flatten() {
        let Some(changed) = value.as_array() else {
            document.insert(section.clone(), value.clone());
            continue;
        };
        if kind == ChangeKind::UpdateItems && changed.is_empty() && !document.contains_key(section) {
            continue;
        }
        let list = document.entry(section.clone()).or_insert_with(|| json!([]));
        let Some(items) = list.as_array_mut() else { continue };
        for item in changed {
            let position = name_of_item(item)
                .and_then(|name| items.iter().position(|known| name_of_item(known) == Some(name)));
            match position {
                Some(position) => items[position] = item.clone(),
                None => items.push(item.clone()),
            }
        }
    }
    Some(Value::Object(document))
}

fn is_valid_route(route: &Route, backends: &BTreeSet<&str>) -> bool {
    let parts = || route.traffic_split.iter();
    let known =
        parts().map(|part| &part.backend).chain(&route.backend).all(|name| backends.contains(name.as_str()));
    let weight: f64 = parts().map(|part| part.weight).sum();
    let is_split = !route.traffic_split.is_empty();
    let weighs =
        (weight > 0.0 || (!is_split && route.backend.is_some())) && parts().all(|part| part.weight >= 0.0);
    let path = &route.path_prefix;
    known && weighs && route.timeout_ms > 0.0 && path.starts_with('/') && path.ends_with('/')
}

fn is_valid(document: &Value, above: u64) -> bool {
    let Ok(read) = facet_json::from_str::<Configuration>(&document.to_string()) else { return false };
    let backends: BTreeSet<&str> = read.backends.iter().map(|backend| backend.name.as_str()).collect();
    let mut places = BTreeSet::new();
    let mut holders: BTreeMap<&str, &str> = BTreeMap::new();
    let apart = read
        .routes
        .iter()
        .all(|route| places.insert((route.hostname.to_ascii_lowercase(), &route.path_prefix)));
    let own_keys = read.tenants.iter().all(|tenant| {
        tenant.api_keys.iter().all(|key| *holders.entry(key).or_insert(&tenant.name) == tenant.name)
    });
    read.version > above
        && apart
        && own_keys
        && read.routes.iter().all(|route| is_valid_route(route, &backends))
}

// ---- random changes ----

struct Draw(fastrand::Rng);

impl Draw {
    fn one(&mut self, of: &[Value]) -> Value {
        of[self.0.usize(..of.len())].clone()
    }

    fn rarely(&mut self) -> bool {
        self.0.u32(..40) == 0
    }

    fn name(&mut self) -> Value {
        if self.rarely() { json!(7) } else { json!(format!("n{}", self.0.u32(..5))) }
    }

    fn backend_name(&mut self) -> Value {
        if self.rarely() { json!("7") } else { json!(format!("b{}", self.0.u32(..3))) }
    }

    fn route(&mut self) -> Value {
        let mut route = json!({ "name": self.name(), "hostname": self.one(&[json!("Host"), json!("host"), json!("other")]),
            "path_prefix": format!("/p{}/", self.0.u32(..6)), "type": "idempotent", "timeout_ms": 900 });
        match self.0.u32(..3) {
            0 => route["backend"] = self.backend_name(),
            1 => {
                route["traffic_split"] = json!([{ "backend": self.backend_name(), "weight": 3 },
                                                 { "backend": self.backend_name(), "weight": 1 }])
            }
            _ => (route["backend"], route["traffic_split"]) = (self.backend_name(), json!([])),
        }
        if self.rarely() {
            let (key, value) = [
                ("timeout_ms", json!(0)),
                ("path_prefix", json!("/x")),
                ("type", json!("none")),
                ("traffic_split", json!([{ "backend": "b0", "weight": 0 }])),
                ("hostname", Value::Null),
            ][self.0.usize(..5)]
            .clone();
            route[key] = value;
        }
        route
    }

    fn item(&mut self, section: &str) -> Value {
        match section {
            "routes" => self.route(),
            "tenants" => {
                let keys: Vec<String> =
                    (0..self.0.u32(..3)).map(|_| format!("k{}", self.0.u32(..6))).collect();
                json!({ "name": self.name(), "api_keys": keys })
            }
            "backends" => {
                let name = if self.rarely() { json!(7) } else { self.backend_name() };
                json!({ "name": name, "kept": self.0.u32(..9) })
            }
            _ => self.one(&[json!(1), json!({ "name": "n1", "x": 2 }), json!({ "y": 1 })]),
        }
    }

    fn items(&mut self, section: &str, max: usize) -> Value {
        if self.rarely() {
            return self.one(&[json!(3), json!({}), Value::Null]);
        }
        (0..self.0.usize(..=max)).map(|_| self.item(section)).collect()
    }

    fn sections(&mut self, max: usize) -> Map<String, Value> {
        let mut sections = Map::new();
        for section in ["routes", "tenants", "backends", "labels"] {
            if self.0.u32(..3) > 0 {
                sections.insert(section.into(), self.items(section, max));
            }
        }
        if self.0.u32(..4) == 0 {
            let limits = [json!({ "max_body_bytes": 9 }), json!({}), Value::Null, json!([]), json!(4)];
            sections.insert("limits".into(), self.one(&limits));
        }
        sections
    }

    fn update_kind(&mut self) -> ChangeKind {
        if self.0.bool() { ChangeKind::Update } else { ChangeKind::UpdateItems }
    }

    fn update(&mut self, version: u64) -> Value {
        let mut delete = Map::new();
        for section in ["routes", "tenants", "backends"] {
            if self.0.u32(..4) == 0 {
                let names = (0..self.0.u32(..3))
                    .map(|_| if section == "backends" { self.backend_name() } else { self.name() });
                delete.insert(section.into(), names.collect());
            }
        }
        json!({ "version": version, "upsert": self.sections(2), "delete": delete })
    }
}

/// Asserts that an edge that has `before` and receives the difference to the document of `state` has the same
/// table as an edge that receives the full document. Returns the table.
fn assert_edge_has_the_same(table: &RouteTable, before: &Document, state: &ControlState) -> RouteTable {
    let (after, index) = state.document().expect("a document");
    let read =
        |sent: Value, is_full| EdgeUpdate::read(sent.to_string().as_bytes(), is_full).expect("readable");
    let full = RouteTable::default().with_update(index, read(edge_document::full(after), true));
    let changed = match edge_document::difference(before, after) {
        Some(difference) => table.with_update(index, read(difference, false)),
        None => full.clone(),
    };
    for (host, position) in
        ["host", "other"].into_iter().flat_map(|host| (0..6).map(move |position| (host, position)))
    {
        let name = |table: &RouteTable| {
            table.route(host, &format!("/p{position}/x")).map(|route| route.name.clone())
        };
        assert_eq!(name(&changed), name(&full), "{host}, place {position}: {}", after.to_value());
    }
    for key in 0..6 {
        let owner = |table: &RouteTable| table.tenant(&format!("k{key}")).map(|tenant| tenant.name.clone());
        assert_eq!(owner(&changed), owner(&full), "key {key}: {}", after.to_value());
    }
    assert_eq!(changed.requires_keys(), full.requires_keys(), "{}", after.to_value());
    assert_eq!(full.requires_keys(), after.list("tenants").is_some(), "{}", after.to_value());
    assert_eq!(changed.limits.max_body_bytes, full.limits.max_body_bytes);
    changed
}

/// The document of a state, as JSON.
fn read_back(state: &ControlState) -> Value {
    state.document().map_or(Value::Null, |(document, _)| document.to_value())
}

#[test]
fn a_change_is_accepted_exactly_when_the_full_document_is_valid() {
    let (mut accepted, mut refused) = (0, 0);
    for seed in 0..SEQUENCES {
        let mut draw = Draw(fastrand::Rng::with_seed(seed));
        let mut state = ControlState::default();
        let mut table = RouteTable::default();
        for number in 1..=CHANGES_PER_SEQUENCE {
            let before = read_back(&state);
            let known = state.document().map(|(document, _)| document.clone()).unwrap_or_default();
            let base = state.version();
            let version = base + draw.0.u64(..4);
            let (kind, body) = match draw.0.u32(..6) == 0 || base == 0 {
                true => {
                    let mut body = draw.sections(4);
                    body.insert("version".into(), version.into());
                    (ChangeKind::Replace, Value::Object(body))
                }
                false => (draw.update_kind(), draw.update(version)),
            };
            let full = match kind {
                ChangeKind::Replace => Some(body.clone()),
                ChangeKind::Update | ChangeKind::UpdateItems => apply_to_full_document(&before, &body, kind),
            };
            let change = Change { kind, base, body: body.to_string() };
            let result = state.apply(number, &Command::Change(change));
            match full.filter(|full| is_valid(full, base)) {
                Some(full) => {
                    assert!(result.is_ok(), "seed {seed}, change {number}: {result:?}, {body}\non {before}");
                    assert_eq!(read_back(&state), full, "seed {seed}, change {number}: {body}\non {before}");
                    table = assert_edge_has_the_same(&table, &known, &state);
                    accepted += 1;
                }
                None => {
                    assert!(result.is_err(), "seed {seed}, change {number}: taken: {body}\non {before}");
                    assert_eq!(read_back(&state), before, "seed {seed}, change {number}");
                    refused += 1;
                }
            }
        }
        let again = ControlState::decode(&state.encode()).expect("a snapshot");
        assert_eq!(again.encode(), state.encode());
    }
    assert!(accepted > 2_000 && refused > 2_000, "{accepted} taken, {refused} refused");
}

#[test]
fn a_full_document_and_its_snapshot_are_the_same() {
    let body = json!({ "version": 4, "routes": [], "labels": [1, { "name": "x" }], "limits": { "max_body_bytes": 3 } });
    let checked = CheckedDocument::try_from(body.as_object().unwrap().clone()).unwrap();
    assert_eq!(serde_json::to_value(&checked).unwrap(), body);
    let read: CheckedDocument = serde_json::from_value(body.clone()).unwrap();
    assert_eq!(read.document().to_value(), body);
}
