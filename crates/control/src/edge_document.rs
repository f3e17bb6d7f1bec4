//! The part of a document that is sent to edges: everything that they use, or the changes to it.

use crate::document::Document;
use crate::item_list::{ItemList, Position, name_of};
use serde_json::{Map, Value, json};
use std::collections::BTreeSet;
use std::sync::Arc;

/// Lists that edges use. Their items have names.
const SECTIONS: [&str; 3] = ["routes", "backends", "tenants"];
const BACKENDS: &str = "backends";
const LIMITS: &str = "limits";
const VERSION: &str = "version";

/// All parts of a document that edges use.
pub fn full(document: &Document) -> Value {
    let mut fields = Map::new();
    for section in SECTIONS {
        if let Some(list) = document.list(section) {
            fields.insert(section.to_owned(), list.iter().map(|item| for_edges(section, item)).collect());
        }
    }
    fields.extend(document.plain(LIMITS).map(|_| (LIMITS.to_owned(), limits_for_edges(document))));
    fields.extend(document.plain(VERSION).map(|version| (VERSION.to_owned(), version.clone())));
    Value::Object(fields)
}

/// The update that turns `before` into `after` at an edge. `None`: no update can do that, because an item has no
/// name by which to address it, or because a whole list is absent from `after`, which an update cannot tell from
/// a list whose items were removed.
pub fn difference(before: &Document, after: &Document) -> Option<Value> {
    let (mut upsert, mut delete) = (Map::new(), Map::new());
    let empty = ItemList::default();
    for section in SECTIONS {
        let (had_list, has_list) = (before.list(section).is_some(), after.list(section).is_some());
        if had_list && !has_list {
            return None;
        }
        let lists = [before, after].map(|document| document.list(section).unwrap_or(&empty));
        if !lists.iter().all(|list| list.is_named()) {
            return None;
        }
        let (changed, removed) = changed_items(section, lists);
        let is_new = has_list && !had_list;
        if is_new || !changed.is_empty() {
            upsert.insert(section.to_owned(), changed.into());
        }
        if !removed.is_empty() {
            delete.insert(section.to_owned(), removed.into());
        }
    }
    if limits_for_edges(before) != limits_for_edges(after) {
        upsert.insert(LIMITS.to_owned(), limits_for_edges(after));
    }
    let version = after.plain(VERSION).cloned().unwrap_or(Value::Null);
    Some(json!({ VERSION: version, "upsert": upsert, "delete": delete }))
}

/// The limits of a document. Absent limits and `null` are sent as empty ones: an edge takes an update without
/// limits as one that leaves them as they are.
fn limits_for_edges(document: &Document) -> Value {
    document.plain(LIMITS).filter(|limits| !limits.is_null()).cloned().unwrap_or_else(|| json!({}))
}

/// The items that changed, and the names that were removed. All items of a name are sent together: a change
/// by that name may have touched any of them.
fn changed_items(section: &str, [before, after]: [&ItemList; 2]) -> (Vec<Value>, Vec<Value>) {
    let (mut changed, mut removed) = (Vec::new(), Vec::new());
    for name in touched_names(before, after) {
        let items_for_edges = |list: &ItemList| -> Vec<Value> {
            let items = list.named(name).filter_map(|position| list.get(position));
            items.map(|item| for_edges(section, item)).collect()
        };
        let (was, is) = (items_for_edges(before), items_for_edges(after));
        if is.is_empty() {
            removed.push(Value::from(name));
        } else if is != was {
            changed.extend(is);
        }
    }
    (changed, removed)
}

/// The names of items that differ between the lists. Versions of a document share the items that did not
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

/// The part of an item that edges use: of services the names, and of their models how long a load takes.
fn for_edges(section: &str, item: &Value) -> Value {
    if section != BACKENDS {
        return item.clone();
    }
    let field = |value: &Value, key: &str| value.get(key).cloned().unwrap_or(Value::Null);
    let name = field(item, "name");
    let models = item.pointer("/runtime/models").and_then(Value::as_array);
    let reduced = |model: &Value| json!({ "name": field(model, "name"), "weights_mb": 0, "load_s": field(model, "load_s") });
    match models {
        Some(models) => {
            let models: Vec<Value> = models.iter().map(reduced).collect();
            json!({ "name": name, "runtime": { "models": models } })
        }
        None => json!({ "name": name }),
    }
}
