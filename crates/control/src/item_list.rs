//! A list of a document's items, addressed by their names. Versions of a list share unchanged items, so the
//! cost of a change does not depend on the length of the list.

use rpds::{RedBlackTreeMapSync, RedBlackTreeSetSync};
use serde_json::Value;
use std::sync::Arc;

/// The position of an item in the order of a list. The position of a removed item is not used again.
pub type Position = u64;

/// Items in order.
#[derive(Clone, Debug, Default)]
pub struct ItemList {
    items: RedBlackTreeMapSync<Position, Arc<Value>>,
    by_name: RedBlackTreeSetSync<(Arc<str>, Position)>,
    next: Position,
}

/// An item's name, if it has one.
pub fn name_of(item: &Value) -> Option<&str> {
    item.get("name").and_then(Value::as_str)
}

impl ItemList {
    /// A list of these items.
    pub fn of(items: Vec<Value>) -> ItemList {
        let mut list = ItemList::default();
        for item in items {
            list.push(item);
        }
        list
    }

    /// The items in order.
    pub fn iter(&self) -> impl Iterator<Item = &Arc<Value>> {
        self.items.values()
    }

    /// The positions of all items.
    pub fn positions(&self) -> impl Iterator<Item = Position> {
        self.items.keys().copied()
    }

    /// The item at a position.
    pub fn get(&self, position: Position) -> Option<&Arc<Value>> {
        self.items.get(&position)
    }

    /// Whether each item has a name.
    pub fn is_named(&self) -> bool {
        self.items.size() == self.by_name.size()
    }

    /// The positions of the items with a name, in order.
    pub fn named(&self, name: &str) -> impl Iterator<Item = Position> {
        let first: (Arc<str>, Position) = (name.into(), 0);
        let same_name = first.0.clone();
        let found = self.by_name.range(first..).take_while(move |(name, _)| *name == same_name);
        found.map(|(_, position)| *position).collect::<Vec<_>>().into_iter()
    }

    /// Adds an item at the end. Returns its position.
    pub fn push(&mut self, item: Value) -> Position {
        let position = self.next;
        self.next += 1;
        self.put(position, item);
        position
    }

    /// Puts an item in the place of the first one with its name, or else at the end. Returns its position.
    pub fn upsert(&mut self, item: Value) -> Position {
        let existing = name_of(&item).and_then(|name| self.named(name).next());
        match existing {
            Some(position) => {
                self.put(position, item);
                position
            }
            None => self.push(item),
        }
    }

    /// Removes all items with a name. Returns their positions.
    pub fn remove_named(&mut self, name: &str) -> Vec<Position> {
        let found: Vec<Position> = self.named(name).collect();
        for position in &found {
            self.items.remove_mut(position);
            self.by_name.remove_mut(&(name.into(), *position));
        }
        found
    }

    fn put(&mut self, position: Position, item: Value) {
        if let Some(name) = name_of(&item) {
            self.by_name.insert_mut((name.into(), position));
        }
        self.items.insert_mut(position, Arc::new(item));
    }
}
