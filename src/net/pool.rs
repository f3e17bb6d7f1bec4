//! Idle connections to nodes, for whichever wire. One is given out only if nothing has come on it since its last
//! answer: bytes would be taken for the next one, and an end or a reset means that it is gone.

use crate::config::NodeLimits;
use crate::handover::Part;
use socket2::SockRef;
use std::collections::BTreeMap;
use std::io::ErrorKind;
use std::mem::MaybeUninit;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use tokio::net::TcpStream;
use tokio::time::{Duration, Instant};

/// How often idle connections are looked through.
const LOOK: Duration = Duration::from_millis(500);

/// A connection that can say whether nothing has come on it.
pub trait Quiet {
    /// Whether the connection stands and nothing has arrived on it.
    fn quiet(&self) -> bool;

    /// Whether it has said something that nobody asked for.
    fn talks(&self) -> bool {
        false
    }
}

impl Quiet for TcpStream {
    /// Asks the system itself: what the runtime knows of a socket is as old as its last look.
    fn quiet(&self) -> bool {
        let mut byte = [MaybeUninit::uninit()];
        SockRef::from(self).peek(&mut byte).is_err_and(|error| error.kind() == ErrorKind::WouldBlock)
    }

    fn talks(&self) -> bool {
        let mut byte = [MaybeUninit::uninit()];
        SockRef::from(self).peek(&mut byte).is_ok_and(|bytes| bytes > 0)
    }
}

struct Kept<C> {
    connection: C,
    since: Instant,
}

struct Idle<C> {
    kept: BTreeMap<SocketAddr, Vec<Kept<C>>>,
    count: usize,
    used: usize,
}

/// Counts one connection in use, or about to be opened.
pub struct InUse<C>(Arc<Mutex<Idle<C>>>);

impl<C> Drop for InUse<C> {
    fn drop(&mut self) {
        self.0.lock().unwrap_or_else(PoisonError::into_inner).used -= 1;
    }
}

/// Idle connections to nodes.
pub struct Pool<C> {
    idle: Arc<Mutex<Idle<C>>>,
    /// The limits of all connections to nodes.
    pub limits: NodeLimits,
    part: Part,
    /// How long a connection rests before it is given out again, once anybody has said more than was asked.
    rest: Duration,
    talked: Arc<AtomicBool>,
}

impl<C> Clone for Pool<C> {
    fn clone(&self) -> Self {
        Pool {
            idle: self.idle.clone(),
            limits: self.limits,
            part: self.part.clone(),
            rest: self.rest,
            talked: self.talked.clone(),
        }
    }
}

impl<C: Quiet> Pool<C> {
    /// An empty pool.
    pub fn new(limits: NodeLimits) -> Pool<C> {
        Pool::shared(limits, Part::default())
    }

    /// While another process of this head lives, half of the connections are its own.
    pub fn shared(limits: NodeLimits, part: Part) -> Pool<C> {
        let idle = Arc::new(Mutex::new(Idle { kept: BTreeMap::new(), count: 0, used: 0 }));
        Pool { idle, limits, part, rest: Duration::ZERO, talked: Arc::default() }
    }

    /// Where an answer does not say to which request it is, a second one that comes late would be taken for the next.
    /// Nodes that never say more than is asked are not made to open connections for that.
    pub fn resting(self, rest: Duration) -> Pool<C> {
        Pool { rest, ..self }
    }

    /// A node has said more than it was asked: from here on connections rest.
    pub fn rest(&self) {
        self.talked.store(true, Ordering::Relaxed);
    }

    fn idle(&self) -> MutexGuard<'_, Idle<C>> {
        self.idle.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// The connection to that address that was used last, of those that have rested; where none has, the one that has
    /// rested longest, as long as nobody has said more than was asked. Whether it is still good is for whoever writes on
    /// it to see.
    pub fn latest(&self, address: SocketAddr) -> Option<C> {
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

    /// The same, if it is still good.
    pub fn take(&self, address: SocketAddr) -> Option<C> {
        std::iter::from_fn(|| self.latest(address)).find(C::quiet)
    }

    /// Keeps a connection that is not in use any more.
    pub fn put(&self, address: SocketAddr, connection: C) {
        let mut idle = self.idle();
        idle.count += 1;
        idle.kept.entry(address).or_default().push(Kept { connection, since: Instant::now() });
        idle.fit(self.part.of(self.limits.most));
    }

    /// Announces one more in use. Idle ones make room for it; an attempt goes on even where there are none.
    pub fn begin(&self) -> InUse<C> {
        let mut idle = self.idle();
        idle.used += 1;
        idle.fit(self.part.of(self.limits.most));
        InUse(self.idle.clone())
    }

    /// The same for a connection that comes up after its attempt has ended; `None` where too many are in use for that.
    pub fn begin_spare(&self) -> Option<InUse<C>> {
        let few = {
            let idle = self.idle();
            idle.used < self.part.of(self.limits.most) / 2
        };
        few.then(|| self.begin())
    }

    /// Drops what is idle at that address: something that was written there was lost without a word.
    pub fn distrust(&self, address: SocketAddr) {
        let mut idle = self.idle();
        idle.count -= idle.kept.remove(&address).map_or(0, |kept| kept.len());
    }

    /// Idle connections in the pool.
    pub fn held(&self) -> usize {
        self.idle().count
    }

    /// Drops what has been idle for long, well before a node would, or is gone; for as long as the program runs.
    pub async fn watch(self) {
        loop {
            tokio::time::sleep(LOOK).await;
            self.look();
        }
    }

    fn look(&self) {
        let mut idle = self.idle();
        let Idle { kept, count, .. } = &mut *idle;
        kept.retain(|_, kept| {
            let before = kept.len();
            kept.retain(|kept| {
                let good = kept.since.elapsed() < self.limits.idle && kept.connection.quiet();
                if !good && kept.connection.talks() {
                    self.rest();
                }
                good
            });
            *count -= before - kept.len();
            !kept.is_empty()
        });
    }
}

impl<C> Idle<C> {
    fn fit(&mut self, most: usize) {
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
