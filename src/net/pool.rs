//! Pools idle connections to nodes, for all protocols. A connection is reused only if nothing has arrived on
//! it since its last answer: bytes would be taken for the next answer, and an end or a reset means that the
//! connection is closed.

use crate::config::NodeLimits;
use crate::handover::CapacityShare;
use socket2::SockRef;
use std::collections::BTreeMap;
use std::io::ErrorKind;
use std::mem::MaybeUninit;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use tokio::net::TcpStream;
use tokio::time::{Duration, Instant};

/// How often idle connections are checked.
const CHECK_INTERVAL: Duration = Duration::from_millis(500);

/// A connection that can tell whether anything has arrived on it.
pub trait Quiet {
    /// Returns whether the connection is open and nothing has arrived on it.
    fn quiet(&self) -> bool;

    /// Returns whether unsolicited bytes have arrived.
    fn has_unsolicited_bytes(&self) -> bool {
        false
    }
}

impl Quiet for TcpStream {
    /// Asks the kernel: the runtime's readiness is only as recent as its last poll.
    fn quiet(&self) -> bool {
        let mut byte = [MaybeUninit::uninit()];
        SockRef::from(self).peek(&mut byte).is_err_and(|error| error.kind() == ErrorKind::WouldBlock)
    }

    fn has_unsolicited_bytes(&self) -> bool {
        let mut byte = [MaybeUninit::uninit()];
        SockRef::from(self).peek(&mut byte).is_ok_and(|bytes| bytes > 0)
    }
}

/// An idle connection and the time of its last use.
struct Kept<C> {
    connection: C,
    since: Instant,
}

/// The idle connections by address, their number, and the number of connections in use.
struct PoolState<C> {
    kept: BTreeMap<SocketAddr, Vec<Kept<C>>>,
    count: usize,
    used: usize,
}

/// Counts one connection as in use, or about to be opened, until dropped.
pub struct InUse<C>(Arc<Mutex<PoolState<C>>>);

impl<C> Drop for InUse<C> {
    fn drop(&mut self) {
        self.0.lock().unwrap_or_else(PoisonError::into_inner).used -= 1;
    }
}

/// A pool of idle connections to nodes.
pub struct Pool<C> {
    idle: Arc<Mutex<PoolState<C>>>,
    /// The limits of all connections to nodes.
    pub limits: NodeLimits,
    capacity_share: CapacityShare,
    /// How long a connection rests before reuse. Rested connections are preferred; the rest is required once
    /// any node has sent unsolicited bytes.
    rest: Duration,
    talked: Arc<AtomicBool>,
}

impl<C> Clone for Pool<C> {
    fn clone(&self) -> Self {
        Pool {
            idle: self.idle.clone(),
            limits: self.limits,
            capacity_share: self.capacity_share.clone(),
            rest: self.rest,
            talked: self.talked.clone(),
        }
    }
}

impl<C: Quiet> Pool<C> {
    /// Creates an empty pool.
    pub fn new(limits: NodeLimits) -> Pool<C> {
        Pool::with_capacity_share(limits, CapacityShare::default())
    }

    /// Creates an empty pool whose limits are shared: while another process of this host runs, half of the
    /// connections belong to that process.
    pub fn with_capacity_share(limits: NodeLimits, capacity_share: CapacityShare) -> Pool<C> {
        let idle = Arc::new(Mutex::new(PoolState { kept: BTreeMap::new(), count: 0, used: 0 }));
        Pool { idle, limits, capacity_share, rest: Duration::ZERO, talked: Arc::default() }
    }

    /// Sets the rest between two uses of a connection, for protocols whose answers carry no request id: a
    /// late second answer would be taken for the answer to the next request. Rested connections are
    /// preferred, but the rest is required only once a node has sent unsolicited bytes, so that other nodes
    /// need no extra connections.
    pub fn resting(self, rest: Duration) -> Pool<C> {
        Pool { rest, ..self }
    }

    /// Records that a node has sent unsolicited bytes: from now on connections rest before reuse.
    pub fn rest(&self) {
        self.talked.store(true, Ordering::Relaxed);
    }

    fn idle(&self) -> MutexGuard<'_, PoolState<C>> {
        self.idle.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Takes the most recently used connection to that address that has rested. If none has, takes the one
    /// that has rested longest, unless a node has sent unsolicited bytes. The caller checks whether the
    /// connection is still usable.
    pub fn take_latest(&self, address: SocketAddr) -> Option<C> {
        let mut idle = self.idle();
        loop {
            let kept = idle.kept.get_mut(&address)?;
            let rested = kept.iter().rposition(|kept| kept.since.elapsed() >= self.rest);
            let longest = (!self.talked.load(Ordering::Relaxed) && !kept.is_empty()).then_some(0);
            let rested = rested.or(longest)?;
            let kept = kept.remove(rested);
            idle.count -= 1;
            if kept.since.elapsed() < self.limits.idle {
                return Some(kept.connection);
            }
        }
    }

    /// Takes a connection like [`take_latest`](Self::take_latest), and skips those that are no longer usable.
    pub fn take(&self, address: SocketAddr) -> Option<C> {
        std::iter::from_fn(|| self.take_latest(address)).find(C::quiet)
    }

    /// Returns a connection that is no longer in use to the pool.
    pub fn release(&self, address: SocketAddr, connection: C) {
        let mut idle = self.idle();
        idle.count += 1;
        idle.kept.entry(address).or_default().push(Kept { connection, since: Instant::now() });
        idle.shrink_to(self.capacity_share.of(self.limits.most));
    }

    /// Counts one more connection as in use. Idle connections are closed to stay within the limit; the
    /// attempt proceeds even if none is left to close.
    pub fn begin(&self) -> InUse<C> {
        let mut idle = self.idle();
        idle.used += 1;
        idle.shrink_to(self.capacity_share.of(self.limits.most));
        InUse(self.idle.clone())
    }

    /// Counts a connection that may be established after its attempt has ended; `None` if half of the limit
    /// or more is in use.
    pub fn begin_spare(&self) -> Option<InUse<C>> {
        let few = {
            let idle = self.idle();
            idle.used < self.capacity_share.of(self.limits.most) / 2
        };
        few.then(|| self.begin())
    }

    /// Closes the idle connections to that address, after a request to it was written and never answered.
    pub fn close_idle_to(&self, address: SocketAddr) {
        let mut idle = self.idle();
        idle.count -= idle.kept.remove(&address).map_or(0, |kept| kept.len());
    }

    /// Returns the number of idle connections.
    pub fn held(&self) -> usize {
        self.idle().count
    }

    /// Closes connections that were idle for too long, well before a node would close them, and those that
    /// have ended; runs for as long as the program does.
    pub async fn watch(self) {
        loop {
            tokio::time::sleep(CHECK_INTERVAL).await;
            self.drop_stale();
        }
    }

    fn drop_stale(&self) {
        let mut idle = self.idle();
        let PoolState { kept, count, .. } = &mut *idle;
        kept.retain(|_, kept| {
            let before = kept.len();
            kept.retain(|kept| {
                let good = kept.since.elapsed() < self.limits.idle && kept.connection.quiet();
                if !good && kept.connection.has_unsolicited_bytes() {
                    self.rest();
                }
                good
            });
            *count -= before - kept.len();
            !kept.is_empty()
        });
    }
}

impl<C> PoolState<C> {
    fn shrink_to(&mut self, most: usize) {
        while self.count > 0 && self.count + self.used > most {
            self.drop_oldest();
        }
    }

    fn drop_oldest(&mut self) {
        let first = |kept: &Vec<Kept<C>>| kept.first().map(|kept| kept.since);
        let oldest = self.kept.iter().filter_map(|(address, kept)| Some((first(kept)?, *address))).min();
        if let Some((_, address)) = oldest
            && let Some(kept) = self.kept.get_mut(&address)
        {
            kept.remove(0);
            self.count -= 1;
        }
    }
}

#[cfg(test)]
mod tests;
