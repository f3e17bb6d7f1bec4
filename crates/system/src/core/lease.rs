//! The lease under which a leader acts on the outside: it guards orders to model servers and calls to the
//! platform.

use crate::clock;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};

/// In whose name orders and calls are sent, and whether that is still permitted. Checked when a call's bytes are
/// about to be written, not before.
#[derive(Clone, Debug)]
pub struct LeaseGuard {
    /// The node that leads.
    pub lease_holder: String,
    /// Its fencing token.
    pub fencing_token: u64,
    /// The end of the lease, extended while this node leads.
    pub lease: Arc<LeaseExpiry>,
    /// Set once this node no longer leads: after a hand-over another one acts before this lease has expired.
    pub revoked: Arc<AtomicBool>,
}

/// Until when calls may leave in the name of one leadership, milliseconds of the steady clock.
#[derive(Debug, Default)]
pub struct LeaseExpiry(AtomicU64);

impl LeaseExpiry {
    /// Moves the end of the lease forward. An earlier one changes nothing.
    pub fn extend(&self, until: u64) {
        self.0.fetch_max(until, Ordering::AcqRel);
    }
}

impl LeaseGuard {
    /// Whether a call may leave now.
    pub fn is_valid(&self) -> bool {
        clock::now() < self.lease.0.load(Ordering::Acquire) && !self.revoked.load(Ordering::Acquire)
    }
}
