//! What edge heads are told of a document: the whole of what they work with, or what changed of it.

use crate::document::Document;
use crate::item_list::{ItemList, name_of};
use serde_json::{Map, Value, json};
use std::sync::Arc;

/// Lists that edges work with. Their items have names.
const SECTIONS: [&str; 3] = ["routes", "backends", "tenants"];
const BACKENDS: &str = "backends";
const LIMITS: &str = "limits";

/// All that edges work with.
pub fn whole(document: &Document) -> Value {
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

/// What makes `after` of `before` at an edge, in the form of an update.
pub fn difference(before: &Document, after: &Document) -> Value {
    let (mut upsert, mut delete) = (Map::new(), Map::new());
    let empty = ItemList::default();
    for section in SECTIONS {
        let lists = [before, after].map(|document| document.list(section).unwrap_or(&empty));
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
    json!({ "version": version, "upsert": upsert, "delete": delete })
}

/// The items of the later list that the earlier one has not, as edges are told, and the names that are gone.
fn changed_items(section: &str, [before, after]: [&ItemList; 2]) -> (Vec<Value>, Vec<Value>) {
    let mut changed = Vec::new();
    for item in after.iter() {
        let known = name_of(item).and_then(|name| before.first_named(name));
        // Versions of a document share the items that did not change.
        if known.is_some_and(|known| Arc::ptr_eq(known, item)) {
            continue;
        }
        let told = for_edges(section, item);
        if known.is_none_or(|known| for_edges(section, known) != told) {
            changed.push(told);
        }
    }
    let names = before.iter().filter_map(|item| name_of(item));
    let gone = names.filter(|name| after.first_named(name).is_none()).map(Value::from);
    (changed, gone.collect())
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
