//! The lease under which a leader acts on the outside: it guards orders to model servers and calls to the
//! platform.

use crate::clock;
use crate::memory::held_body::HeldBody;
use crate::net::client::ConnectionPool;
use crate::net::socket::MAX_DELIVERY;
use bytes::Bytes;
use hyper::Request;
use pathbank_coordination::calls_in_flight::{CallId, CallsInFlight};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, OnceLock, PoisonError};
use std::time::Duration;
use tokio::sync::oneshot;

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
    /// What was sent and may still arrive.
    pub calls: LeaderCalls,
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

/// The calls of this core's leaderships that may still arrive.
#[derive(Clone, Debug)]
pub struct LeaderCalls(Arc<Mutex<CallsInFlight>>);

impl Default for LeaderCalls {
    fn default() -> LeaderCalls {
        LeaderCalls(Arc::new(Mutex::new(CallsInFlight::new(MAX_DELIVERY.as_millis() as u64))))
    }
}

impl LeaderCalls {
    fn calls(&self) -> MutexGuard<'_, CallsInFlight> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Whether no call may still arrive.
    pub fn are_settled(&self, now: u64) -> bool {
        self.calls().are_settled(now)
    }
}

impl LeaseGuard {
    /// Whether a call may leave now.
    pub fn is_valid(&self) -> bool {
        clock::now() < self.lease.0.load(Ordering::Acquire) && !self.revoked.load(Ordering::Acquire)
    }

    /// Makes a call, once, if the lease is valid when its bytes are about to be written. Returns the status and the body
    /// of the answer; `None`: there was no whole answer in time, and the call may have arrived or may yet. Its
    /// connection is kept for as long as it may, since a late answer settles the call too.
    pub async fn call(
        &self,
        pool: &ConnectionPool,
        address: SocketAddr,
        request: Request<HeldBody>,
        within: Duration,
    ) -> Option<(u16, Bytes)> {
        let (sender, answer) = oneshot::channel();
        tokio::spawn(self.clone().exchange(pool.clone(), address, request, sender));
        tokio::time::timeout(within, answer).await.ok()?.ok()?
    }

    async fn exchange(
        self,
        pool: ConnectionPool,
        address: SocketAddr,
        request: Request<HeldBody>,
        caller: oneshot::Sender<Option<(u16, Bytes)>>,
    ) {
        let begun: OnceLock<CallId> = OnceLock::new();
        let may_send = || {
            let is_valid = self.is_valid() && !caller.is_closed();
            if is_valid {
                begun.get_or_init(|| self.calls.calls().begin(clock::now()));
            }
            is_valid
        };
        let answer = pool.call_once(address, request, MAX_DELIVERY, may_send).await;
        if let (Some(call), Some(_)) = (begun.get(), &answer) {
            self.calls.calls().settle(*call);
        }
        // A caller that has given up needs no answer.
        let _ = caller.send(answer);
    }
}
