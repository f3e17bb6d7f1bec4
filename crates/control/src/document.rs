//! The operators' configuration as the document that they sent, and changes to it.
//!
//! A document shares unchanged items with the one before it. After a start, a log of thousands of changes is
//! applied again, so the cost of a change has to grow with the change and not with the document.

use crate::configuration::Rejection;
use crate::item_list::{ItemList, Position};
use crate::result_code::ResultCode;
use rpds::RedBlackTreeMapSync;
use serde::ser::{Serialize, SerializeMap, Serializer};
use serde_json::{Map, Value};
use std::collections::BTreeSet;
use std::sync::Arc;

/// Parses a body that has to be a JSON object.
pub fn parse_object(body: &[u8]) -> Result<Value, Rejection> {
    let value: Value = serde_json::from_slice(body).map_err(|error| unreadable(error.to_string()))?;
    match value.is_object() {
        true => Ok(value),
        false => Err(unreadable("the document is no JSON object")),
    }
}

fn unreadable(what: impl Into<String>) -> Rejection {
    Rejection::new(ResultCode::UnreadableDocument, what)
}

/// A field of a document.
#[derive(Clone, Debug)]
pub enum Field {
    /// A list, whose items can be changed by name.
    List(ItemList),
    /// Any other value, which is replaced as a whole.
    Plain(Arc<Value>),
}

impl Field {
    fn of(value: Value) -> Field {
        match value {
            Value::Array(items) => Field::List(ItemList::of(items)),
            other => Field::Plain(Arc::new(other)),
        }
    }

    fn to_value(&self) -> Value {
        match self {
            Field::List(list) => list.iter().map(|item| Value::clone(item)).collect(),
            Field::Plain(value) => Value::clone(value),
        }
    }
}

impl Serialize for Field {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        match self {
            Field::List(list) => serializer.collect_seq(list.iter().map(|item| &**item)),
            Field::Plain(value) => value.serialize(serializer),
        }
    }
}

/// The items that a change added, removed or replaced, by section and position.
pub type Touched = BTreeSet<(String, Position)>;

/// What an update makes of a list that the document does not have, if it adds no item to it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AbsentLists {
    /// The list stays absent.
    StayAbsent,
    /// The list appears, and is empty.
    Appear,
}

/// A document.
#[derive(Clone, Debug, Default)]
pub struct Document {
    fields: RedBlackTreeMapSync<String, Field>,
}

impl From<Map<String, Value>> for Document {
    fn from(object: Map<String, Value>) -> Document {
        let fields = object.into_iter().map(|(name, value)| (name, Field::of(value)));
        Document { fields: fields.collect() }
    }
}

impl Serialize for Document {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        let mut map = serializer.serialize_map(Some(self.fields.size()))?;
        for (name, field) in &self.fields {
            map.serialize_entry(name, field)?;
        }
        map.end()
    }
}

impl Document {
    /// A field, if it is there.
    pub fn field(&self, name: &str) -> Option<&Field> {
        self.fields.get(name)
    }

    /// A field that is a list.
    pub fn list(&self, name: &str) -> Option<&ItemList> {
        match self.field(name)? {
            Field::List(list) => Some(list),
            Field::Plain(_) => None,
        }
    }

    /// A field that is not a list.
    pub fn plain(&self, name: &str) -> Option<&Value> {
        match self.field(name)? {
            Field::List(_) => None,
            Field::Plain(value) => Some(value),
        }
    }

    /// The document as one JSON value.
    pub fn to_value(&self) -> Value {
        let fields = self.fields.iter().map(|(name, field)| (name.clone(), field.to_value()));
        Value::Object(fields.collect())
    }

    /// The document as JSON text.
    #[expect(clippy::expect_used, reason = "JSON can represent every value of a document")]
    pub fn to_json(&self) -> Vec<u8> {
        serde_json::to_vec(self).expect("JSON can represent every value of a document")
    }

    /// Every item of every list.
    pub fn all_items(&self) -> Touched {
        let lists = self.fields.keys().filter_map(|name| Some((name, self.list(name)?)));
        lists.flat_map(|(name, list)| list.positions().map(|at| (name.clone(), at))).collect()
    }

    /// Applies an update. Returns the resulting document, and the items that the update touched.
    ///
    /// # Errors
    ///
    /// The update has no version, or its `delete` or `upsert` section is malformed.
    pub fn updated(
        &self,
        update: &Value,
        absent_lists: AbsentLists,
    ) -> Result<(Document, Touched), Rejection> {
        let mut document = self.clone();
        let mut touched = Touched::new();
        let version = update.get("version").ok_or_else(|| unreadable("version is missing"))?;
        document.set("version", version.clone());
        if let Some(delete) = update.get("delete") {
            let sections = delete.as_object().ok_or_else(|| unreadable("delete is no object"))?;
            for (section, names) in sections {
                let names = names.as_array().ok_or_else(|| unreadable("delete holds no list of names"))?;
                if document.may_hold(section, absent_lists) {
                    document.delete_named(section, names, &mut touched);
                }
            }
        }
        if let Some(upsert) = update.get("upsert") {
            let sections = upsert.as_object().ok_or_else(|| unreadable("upsert is no object"))?;
            for (section, value) in sections {
                match value.as_array() {
                    Some(items) if items.is_empty() && !document.may_hold(section, absent_lists) => {}
                    Some(items) => document.upsert_items(section, items, &mut touched),
                    None => document.set(section, value.clone()),
                }
            }
        }
        Ok((document, touched))
    }

    /// Whether a list is there, or comes into being by an update that adds nothing to it.
    fn may_hold(&self, section: &str, absent_lists: AbsentLists) -> bool {
        self.field(section).is_some() || absent_lists == AbsentLists::Appear
    }

    fn set(&mut self, name: &str, value: Value) {
        self.fields.insert_mut(name.to_owned(), Field::of(value));
    }

    /// A copy of a list, to be changed; empty if the document has no such field. `None`: the field is not a
    /// list.
    fn take_list(&self, name: &str) -> Option<ItemList> {
        match self.field(name) {
            None => Some(ItemList::default()),
            Some(Field::List(list)) => Some(list.clone()),
            Some(Field::Plain(_)) => None,
        }
    }

    fn delete_named(&mut self, section: &str, names: &[Value], touched: &mut Touched) {
        let Some(mut list) = self.take_list(section) else { return };
        for name in names.iter().filter_map(Value::as_str) {
            let removed = list.remove_named(name);
            touched.extend(removed.into_iter().map(|position| (section.to_owned(), position)));
        }
        self.fields.insert_mut(section.to_owned(), Field::List(list));
    }

    fn upsert_items(&mut self, section: &str, items: &[Value], touched: &mut Touched) {
        let Some(mut list) = self.take_list(section) else { return };
        for item in items {
            touched.insert((section.to_owned(), list.upsert(item.clone())));
        }
        self.fields.insert_mut(section.to_owned(), Field::List(list));
    }
}
