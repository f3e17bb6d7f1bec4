//! What edges are told of a document: the whole of what they work with, or what changed of it.

use crate::document::Document;
use crate::item_list::{ItemList, Position, name_of};
use serde_json::{Map, Value, json};
use std::collections::BTreeSet;
use std::sync::Arc;

/// Lists that edges work with. Their items have names.
const SECTIONS: [&str; 3] = ["routes", "backends", "tenants"];
const BACKENDS: &str = "backends";
const LIMITS: &str = "limits";

/// All that edges work with.
pub fn full(document: &Document) -> Value {
    let mut told = Map::new();
    for section in SECTIONS {
        if let Some(list) = document.list(section) {
            told.insert(section.to_owned(), list.iter().map(|item| for_edges(section, item)).collect());
        }
    }
    for field in [LIMITS, "version"] {
        told.extend(document.plain(field).map(|value| (field.to_owned(), value.clone())));
    }
    Value::Object(told)
}

/// What makes `after` of `before` at an edge, in the form of an update. `None`: an item has no name by which
/// it could be told.
pub fn difference(before: &Document, after: &Document) -> Option<Value> {
    let (mut upsert, mut delete) = (Map::new(), Map::new());
    let empty = ItemList::default();
    for section in SECTIONS {
        let lists = [before, after].map(|document| document.list(section).unwrap_or(&empty));
        if !lists.iter().all(|list| list.is_named()) {
            return None;
        }
        let (changed, gone) = changed_items(section, lists);
        if !changed.is_empty() {
            upsert.insert(section.to_owned(), changed.into());
        }
        if !gone.is_empty() {
            delete.insert(section.to_owned(), gone.into());
        }
    }
    if before.plain(LIMITS) != after.plain(LIMITS) {
        // Limits that are gone are told as empty ones.
        upsert.insert(LIMITS.to_owned(), after.plain(LIMITS).cloned().unwrap_or_else(|| json!({})));
    }
    let version = after.plain("version").cloned().unwrap_or(Value::Null);
    Some(json!({ "version": version, "upsert": upsert, "delete": delete }))
}

/// The items that edges have to be told of, and the names that are gone. All items of a name go together: a
/// change by that name may have touched any of them.
fn changed_items(section: &str, [before, after]: [&ItemList; 2]) -> (Vec<Value>, Vec<Value>) {
    let (mut changed, mut gone) = (Vec::new(), Vec::new());
    for name in touched_names(before, after) {
        let told = |list: &ItemList| -> Vec<Value> {
            let items = list.named(name).filter_map(|position| list.get(position));
            items.map(|item| for_edges(section, item)).collect()
        };
        let (was, is) = (told(before), told(after));
        if is.is_empty() {
            gone.push(Value::from(name));
        } else if is != was {
            changed.extend(is);
        }
    }
    (changed, gone)
}

/// Names of items that are not the same in both lists. Versions of a document share those that did not
/// change.
fn touched_names<'a>(before: &'a ItemList, after: &'a ItemList) -> BTreeSet<&'a str> {
    let differs = |position: &Position| match (before.get(*position), after.get(*position)) {
        (Some(was), Some(is)) => !Arc::ptr_eq(was, is),
        _ => true,
    };
    let names_in = |list: &'a ItemList| {
        list.positions().filter(differs).filter_map(|position| name_of(list.get(position)?))
    };
    names_in(before).chain(names_in(after)).collect()
}

/// Of services edges are told the names, and of models how long a load takes.
fn for_edges(section: &str, item: &Value) -> Value {
    if section != BACKENDS {
        return item.clone();
    }
    let part = |value: &Value, key: &str| value.get(key).cloned().unwrap_or(Value::Null);
    let name = part(item, "name");
    let models = item.pointer("/runtime/models").and_then(Value::as_array);
    let reduced = |model: &Value| json!({ "name": part(model, "name"), "weights_mb": 0, "load_s": part(model, "load_s") });
    match models {
        Some(models) => {
            let models: Vec<Value> = models.iter().map(reduced).collect();
            json!({ "name": name, "runtime": { "models": models } })
        }
        None => json!({ "name": name }),
    }
}
