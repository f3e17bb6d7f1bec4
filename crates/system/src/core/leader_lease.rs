//! The leader's right to act on the outside (orders, calls to the platform): within its lease, with its term
//! as the fencing token.

use super::lease::{LeaseExpiry, LeaseGuard};
use pathbank_coordination::fencing::{FencingGuard, Permit};
use pathbank_coordination::types::Term;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};

/// A call begins no later than this before the lease expires.
pub const LEASE_MARGIN_MS: u64 = 100;

/// The lease of this core's present or last leadership.
pub struct LeaderLease {
    fencing: FencingGuard,
    term: Term,
    /// Shared with all guards of this leadership; set once it is over.
    revoked: Arc<AtomicBool>,
    /// Shared with all guards of this leadership; extended with the lease.
    expiry: Arc<LeaseExpiry>,
}

impl LeaderLease {
    /// No lease yet. `leaders`: those of the snapshot, in order.
    pub fn new(leaders: Vec<String>) -> LeaderLease {
        let mut fencing = FencingGuard::default();
        fencing.restore(leaders);
        LeaderLease { fencing, term: 0, revoked: Arc::default(), expiry: Arc::default() }
    }

    /// Goes on from another snapshot's leaders.
    pub fn restore(&mut self, leaders: Vec<String>) {
        self.fencing.restore(leaders);
    }

    /// The leaders so far, for a snapshot.
    pub fn leaders(&self) -> Vec<String> {
        self.fencing.leaders()
    }

    /// A committed entry says that a node began to lead.
    pub fn record_leader(&mut self, name: &str) {
        self.fencing.record_leader(name);
    }

    /// The permit to act in `term` with a lease until `lease_until`, if there is one. `turn_wait`: the
    /// minimal time between turns of two leaders, milliseconds.
    pub fn permit(
        &mut self,
        name: &str,
        term: Term,
        lease_until: u64,
        turn_wait: u64,
        now: u64,
    ) -> Option<Permit> {
        self.fencing.permit(name, term, lease_until.saturating_sub(LEASE_MARGIN_MS), turn_wait, now)
    }

    /// Revokes the lease of an earlier term. Returns whether `term` is a new one.
    pub fn enter_term(&mut self, term: Term) -> bool {
        if self.term == term {
            return false;
        }
        self.revoke();
        self.term = term;
        true
    }

    /// The lease was renewed.
    pub fn extend(&self, until: u64) {
        self.expiry.extend(until);
    }

    /// This core no longer leads: whatever still acts in its name ends.
    pub fn revoke(&mut self) {
        std::mem::take(&mut self.revoked).store(true, Ordering::Release);
        self.expiry = Arc::default();
    }

    /// The guard of calls under a permit.
    pub fn guard(&self, lease_holder: &str, permit: Permit) -> LeaseGuard {
        LeaseGuard {
            lease_holder: lease_holder.to_owned(),
            fencing_token: permit.fencing_token,
            lease: self.expiry.clone(),
            revoked: self.revoked.clone(),
        }
    }
}
