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
    /// Whether the update has this section, be it empty. A full configuration without a section differs from one
    /// whose section is empty.
    pub is_listed: bool,
    /// Items to add, or to replace the items of the same name with.
    pub upsert: Vec<T>,
    /// Names of items to remove, before anything is added.
    pub delete: Vec<String>,
}

impl<T> Default for SectionUpdate<T> {
    fn default() -> Self {
        SectionUpdate { is_listed: false, upsert: Vec::new(), delete: Vec::new() }
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

/// Items of the sections that edges use, not parsed yet. `None`: the section is absent.
#[derive(Default, Deserialize)]
struct RawSections<'a> {
    #[serde(borrow, default)]
    routes: Option<Vec<&'a RawValue>>,
    #[serde(borrow, default)]
    backends: Option<Vec<&'a RawValue>>,
    #[serde(borrow, default)]
    tenants: Option<Vec<&'a RawValue>>,
    #[serde(borrow, default)]
    limits: Option<&'a RawValue>,
}

/// Names by section. `None`: the section is absent.
#[derive(Default, Deserialize)]
struct RawNames {
    #[serde(default)]
    routes: Option<Vec<String>>,
    #[serde(default)]
    backends: Option<Vec<String>>,
    #[serde(default)]
    tenants: Option<Vec<String>>,
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
    routes: Vec<&'a RawValue>,
    backends: Vec<&'a RawValue>,
    tenants: Vec<&'a RawValue>,
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
        Ok(EdgeUpdateReader {
            routes: begin_section(&mut update.routes, sections.routes, delete.routes),
            backends: begin_section(&mut update.backends, sections.backends, delete.backends),
            tenants: begin_section(&mut update.tenants, sections.tenants, delete.tenants),
            update,
        })
    }

    /// Parses up to `max` items. Returns whether all items are parsed.
    ///
    /// # Errors
    ///
    /// An item does not have the form that its section needs.
    pub fn read_some(&mut self, max: usize) -> Result<bool, Rejection> {
        let left = read_section(&mut self.routes, &mut self.update.routes, max)?;
        let left = read_section(&mut self.backends, &mut self.update.backends, left)?;
        read_section(&mut self.tenants, &mut self.update.tenants, left)?;
        Ok(self.routes.is_empty() && self.backends.is_empty() && self.tenants.is_empty())
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

/// Records which parts of a section the update has. Returns the items, to be parsed.
fn begin_section<'a, T>(
    section: &mut SectionUpdate<T>,
    items: Option<Vec<&'a RawValue>>,
    deleted: Option<Vec<String>>,
) -> Vec<&'a RawValue> {
    section.is_listed = items.is_some() || deleted.is_some();
    section.delete = deleted.unwrap_or_default();
    items.unwrap_or_default()
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
