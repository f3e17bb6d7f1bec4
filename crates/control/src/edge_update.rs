//! Parsing of the configuration updates that edges receive: a full configuration, or a difference.
//!
//! An update may have thousands of items, while the edge has a tenth of a processor core and forwards streams
//! at the same time. Therefore an update is first split into its items, which are then parsed a few at a
//! time.

use crate::configuration::{Backend, Limits, Rejection, Route, Tenant};
use crate::result_code::ResultCode;
use facet::Facet;
use serde::Deserialize;
use serde_json::value::RawValue;

/// Items of one section that were added or changed, and the names of those that were removed.
#[derive(Debug)]
pub struct SectionUpdate<T> {
    /// Items to add, or to replace the items of the same name with.
    pub upsert: Vec<T>,
    /// Names of items to remove, before anything is added.
    pub delete: Vec<String>,
}

impl<T> Default for SectionUpdate<T> {
    fn default() -> Self {
        SectionUpdate { upsert: Vec::new(), delete: Vec::new() }
    }
}

/// A parsed update.
#[derive(Debug, Default)]
pub struct EdgeUpdate {
    /// Whether this is a full configuration, which replaces the one before.
    pub is_full: bool,
    /// The configuration's version.
    pub version: u64,
    /// The routes.
    pub routes: SectionUpdate<Route>,
    /// The services.
    pub backends: SectionUpdate<Backend>,
    /// The tenants.
    pub tenants: SectionUpdate<Tenant>,
    /// The limits of clients' requests and connections; `None`: unchanged.
    pub limits: Option<Limits>,
}

/// Items of the sections that edges use, not parsed yet.
#[derive(Default, Deserialize)]
struct RawSections<'a> {
    #[serde(borrow, default)]
    routes: Vec<&'a RawValue>,
    #[serde(borrow, default)]
    backends: Vec<&'a RawValue>,
    #[serde(borrow, default)]
    tenants: Vec<&'a RawValue>,
    #[serde(borrow, default)]
    limits: Option<&'a RawValue>,
}

/// Names by section.
#[derive(Default, Deserialize)]
struct RawNames {
    #[serde(default)]
    routes: Vec<String>,
    #[serde(default)]
    backends: Vec<String>,
    #[serde(default)]
    tenants: Vec<String>,
}

#[derive(Deserialize)]
struct RawVersion {
    version: u64,
}

#[derive(Deserialize)]
struct RawChange<'a> {
    version: u64,
    #[serde(borrow, default)]
    upsert: RawSections<'a>,
    #[serde(default)]
    delete: RawNames,
}

/// An update that is being parsed. It borrows the received bytes.
pub struct EdgeUpdateReader<'a> {
    sections: RawSections<'a>,
    update: EdgeUpdate,
}

impl<'a> EdgeUpdateReader<'a> {
    /// Splits an update into its items. `is_full`: it is a full configuration, not a difference.
    ///
    /// # Errors
    ///
    /// The update is not JSON, or has another form.
    pub fn new(bytes: &'a [u8], is_full: bool) -> Result<EdgeUpdateReader<'a>, Rejection> {
        let (version, sections, delete) = match is_full {
            true => {
                let named: RawVersion = serde_json::from_slice(bytes).map_err(unreadable)?;
                let sections = serde_json::from_slice(bytes).map_err(unreadable)?;
                (named.version, sections, RawNames::default())
            }
            false => {
                let change: RawChange<'a> = serde_json::from_slice(bytes).map_err(unreadable)?;
                (change.version, change.upsert, change.delete)
            }
        };
        let mut update = EdgeUpdate { is_full, version, ..EdgeUpdate::default() };
        update.limits = sections.limits.map(read_item).transpose()?;
        update.routes.delete = delete.routes;
        update.backends.delete = delete.backends;
        update.tenants.delete = delete.tenants;
        Ok(EdgeUpdateReader { sections, update })
    }

    /// Parses up to `max` items. Returns whether all items are parsed.
    ///
    /// # Errors
    ///
    /// An item does not have the form that its section needs.
    pub fn read_some(&mut self, max: usize) -> Result<bool, Rejection> {
        let left = read_section(&mut self.sections.routes, &mut self.update.routes, max)?;
        let left = read_section(&mut self.sections.backends, &mut self.update.backends, left)?;
        read_section(&mut self.sections.tenants, &mut self.update.tenants, left)?;
        let sections = &self.sections;
        Ok(sections.routes.is_empty() && sections.backends.is_empty() && sections.tenants.is_empty())
    }

    /// The update, once all its items are parsed.
    pub fn finish(self) -> EdgeUpdate {
        self.update
    }
}

impl EdgeUpdate {
    /// Parses an update at once.
    ///
    /// # Errors
    ///
    /// The update or one of its items cannot be parsed.
    pub fn read(bytes: &[u8], is_full: bool) -> Result<EdgeUpdate, Rejection> {
        let mut reader = EdgeUpdateReader::new(bytes, is_full)?;
        reader.read_some(usize::MAX)?;
        Ok(reader.finish())
    }
}

/// Parses items from the end of the section's list, which saves moving the others. Returns how many more may
/// be parsed.
fn read_section<T: for<'f> Facet<'f>>(
    raw: &mut Vec<&RawValue>,
    section: &mut SectionUpdate<T>,
    max: usize,
) -> Result<usize, Rejection> {
    let first = raw.len().saturating_sub(max);
    let count = raw.len() - first;
    for item in raw.drain(first..) {
        section.upsert.push(read_item(item)?);
    }
    Ok(max - count)
}

fn read_item<T: for<'f> Facet<'f>>(item: &RawValue) -> Result<T, Rejection> {
    facet_json::from_str(item.get()).map_err(unreadable)
}

fn unreadable(error: impl std::fmt::Display) -> Rejection {
    Rejection::new(ResultCode::UnreadableDocument, error.to_string())
}
