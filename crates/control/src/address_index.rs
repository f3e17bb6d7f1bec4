//! An index of instances by address, so that the first heartbeat of an instance is not compared with all
//! others.

use std::collections::{BTreeMap, BTreeSet};

/// The instances of model servers at each address.
#[derive(Clone, Debug, Default)]
pub struct AddressIndex {
    instances: BTreeMap<String, BTreeSet<String>>,
}

impl AddressIndex {
    /// Adds an instance at an address.
    pub fn insert(&mut self, address: &str, instance: &str) {
        match self.instances.get_mut(address) {
            Some(instances) => drop(instances.insert(instance.to_owned())),
            None => drop(self.instances.insert(address.to_owned(), BTreeSet::from([instance.to_owned()]))),
        }
    }

    /// Removes an instance from an address.
    pub fn remove(&mut self, address: &str, instance: &str) {
        let Some(instances) = self.instances.get_mut(address) else { return };
        instances.remove(instance);
        if instances.is_empty() {
            self.instances.remove(address);
        }
    }

    /// Moves an instance to another address, if that differs from the one before.
    pub fn relocate(&mut self, before: &str, now: &str, instance: &str) {
        if before != now {
            self.remove(before, instance);
            self.insert(now, instance);
        }
    }

    /// The instances at an address.
    pub fn at(&self, address: &str) -> impl Iterator<Item = &String> {
        self.instances.get(address).into_iter().flatten()
    }
}
