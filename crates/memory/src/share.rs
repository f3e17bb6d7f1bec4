//! One share of the memory budget, and leases of it.

use serde::Serialize;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering};

/// The share has too few bytes left.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("the share of the memory budget is exhausted")]
pub struct ShareExhausted;

/// What is told of a refusal because a share was exhausted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Refusal {
    /// The share's name.
    pub share: &'static str,
    /// The most bytes that may be held.
    pub limit: usize,
    /// Refusals so far.
    pub refused: u64,
}

#[derive(Debug)]
struct State {
    name: &'static str,
    limit: usize,
    used: AtomicUsize,
    peak: AtomicUsize,
    refused: AtomicU64,
    report: fn(Refusal),
}

/// A number of bytes that one kind of owner may hold. Clones are the same share.
#[derive(Clone, Debug)]
pub struct MemoryShare(Arc<State>);

/// What operators see of a share, in bytes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
pub struct ShareUsage {
    /// The most bytes that may be held.
    pub limit: usize,
    /// The bytes that are held.
    pub used: usize,
    /// The most bytes that were held at once since the process started.
    pub peak: usize,
    /// Requests and connections that were refused because the share was exhausted.
    pub refused: u64,
}

impl MemoryShare {
    /// Creates a share of so many bytes.
    pub fn new(name: &'static str, limit: usize) -> MemoryShare {
        MemoryShare::reporting(name, limit, |_| {})
    }

    /// Creates a share of so many bytes whose refusals are reported, seldom enough to be logged however many come.
    pub fn reporting(name: &'static str, limit: usize, report: fn(Refusal)) -> MemoryShare {
        MemoryShare(Arc::new(State {
            name,
            limit,
            used: AtomicUsize::new(0),
            peak: AtomicUsize::new(0),
            refused: AtomicU64::new(0),
            report,
        }))
    }

    /// The most bytes that may be held.
    pub fn limit(&self) -> usize {
        self.0.limit
    }

    /// Takes bytes of the share.
    ///
    /// # Errors
    ///
    /// The share has too few bytes left.
    pub fn lease(&self, bytes: usize) -> Result<MemoryLease, ShareExhausted> {
        let mut lease = self.empty_lease();
        lease.grow(bytes)?;
        Ok(lease)
    }

    /// A lease of no bytes, which can grow.
    pub fn empty_lease(&self) -> MemoryLease {
        MemoryLease { share: self.clone(), bytes: 0 }
    }

    /// Whether the share has so many bytes left.
    pub fn has(&self, bytes: usize) -> bool {
        self.0.used.load(Ordering::Relaxed).saturating_add(bytes) <= self.0.limit
    }

    /// Counts a request or a connection that was refused because the share was exhausted.
    pub fn count_refusal(&self) {
        let refused = self.0.refused.fetch_add(1, Ordering::Relaxed) + 1;
        if refused.is_power_of_two() {
            (self.0.report)(Refusal { share: self.0.name, limit: self.0.limit, refused });
        }
    }

    /// The share's name, for operators.
    pub fn name(&self) -> &'static str {
        self.0.name
    }

    /// What operators see.
    pub fn usage(&self) -> ShareUsage {
        ShareUsage {
            limit: self.0.limit,
            used: self.0.used.load(Ordering::Relaxed),
            peak: self.0.peak.load(Ordering::Relaxed),
            refused: self.0.refused.load(Ordering::Relaxed),
        }
    }

    fn take(&self, bytes: usize) -> Result<(), ShareExhausted> {
        let within_limit = |used: usize| used.checked_add(bytes).filter(|sum| *sum <= self.0.limit);
        let before = self.0.used.fetch_update(Ordering::Relaxed, Ordering::Relaxed, within_limit);
        let before = before.map_err(|_| ShareExhausted)?;
        self.0.peak.fetch_max(before + bytes, Ordering::Relaxed);
        Ok(())
    }
}

/// Bytes of a share. Dropping the lease gives them back.
#[derive(Debug)]
pub struct MemoryLease {
    share: MemoryShare,
    bytes: usize,
}

impl MemoryLease {
    /// Takes more bytes of the share.
    ///
    /// # Errors
    ///
    /// The share has too few bytes left; the lease stays as it is.
    pub fn grow(&mut self, bytes: usize) -> Result<(), ShareExhausted> {
        self.share.take(bytes)?;
        self.bytes += bytes;
        Ok(())
    }

    /// Gives back what is more than these bytes.
    pub fn shrink(&mut self, bytes: usize) {
        let surplus = self.bytes.saturating_sub(bytes);
        self.share.0.used.fetch_sub(surplus, Ordering::Relaxed);
        self.bytes -= surplus;
    }

    /// Takes another lease of the same share into this one.
    pub fn merge(&mut self, mut other: MemoryLease) {
        debug_assert!(Arc::ptr_eq(&self.share.0, &other.share.0), "two leases of one share");
        self.bytes += std::mem::take(&mut other.bytes);
    }

    /// Takes bytes out of this lease into one of their own; fewer if it has fewer.
    pub fn split(&mut self, bytes: usize) -> MemoryLease {
        let bytes = bytes.min(self.bytes);
        self.bytes -= bytes;
        MemoryLease { share: self.share.clone(), bytes }
    }

    /// The bytes of the lease.
    pub fn bytes(&self) -> usize {
        self.bytes
    }
}

impl Drop for MemoryLease {
    fn drop(&mut self) {
        self.share.0.used.fetch_sub(self.bytes, Ordering::Relaxed);
    }
}
