//! The leader's right to act on the outside (orders, calls to the platform): within its lease, with its term
//! as the fencing token.

use super::lease::{LeaderCalls, LeaseExpiry, LeaseGuard};
use pathbank_coordination::fencing::{FencingGuard, Leadership, Permit, Waits};
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
    /// Calls of this core's leaderships.
    calls: LeaderCalls,
    /// The last term in which this core was permitted to act.
    acted_in: Term,
}

impl LeaderLease {
    /// No lease yet. `leaders`: those of the snapshot, in order.
    pub fn new(leaders: Vec<String>) -> LeaderLease {
        let mut fencing = FencingGuard::default();
        fencing.restore(leaders);
        LeaderLease {
            fencing,
            term: 0,
            revoked: Arc::default(),
            expiry: Arc::default(),
            calls: LeaderCalls::default(),
            acted_in: 0,
        }
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

    /// The permit of the present leader to act, if it has one.
    pub fn permit(&mut self, leadership: &Leadership, waits: &Waits, now: u64) -> Option<Permit> {
        let lease_until = leadership.lease_until.saturating_sub(LEASE_MARGIN_MS);
        let permit = self.fencing.permit(&Leadership { lease_until, ..*leadership }, waits, now)?;
        if self.acted_in != permit.fencing_token {
            self.acted_in = permit.fencing_token;
            let follows_settled_leader = leadership.follows_settled_leader;
            tracing::info!(
                term = permit.fencing_token,
                follows_settled_leader,
                "orders and calls to the platform from now on"
            );
        }
        Some(permit)
    }

    /// Whether nothing that this leader, or an earlier one, has sent may still arrive.
    pub fn are_calls_settled(&self, leadership: &Leadership, waits: &Waits, now: u64) -> bool {
        self.calls.are_settled(now) && self.fencing.are_earlier_calls_settled(leadership, waits, now)
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

    /// This core no longer leads, or hands over: whatever still acts in its name ends.
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
            calls: self.calls.clone(),
        }
    }
}
