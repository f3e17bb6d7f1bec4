//! Messages between heads: who may say how much, both ways, and what becomes of the rest. Knows no sockets and no clock.
//!
//! What a message means is the module's. Whoever said it is known by the address it came from, as this head is told it;
//! a message is an opinion, and one that is lost, late or there twice changes none of the rules.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

/// No message is longer; a longer one voids the platform's run.
pub const MOST_BYTES: usize = 256;
/// So many a second from one head, and to each, and so many at once: far more than any that decides sends. What a
/// confused one sends beyond them costs the others a look at its length.
const A_SECOND: f64 = 100.0;
const AT_ONCE: f64 = 50.0;

/// Why a datagram was dropped.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Turned {
    /// From nobody that this head is told of, or from itself.
    Stranger,
    /// It has no bytes.
    Empty,
    /// It is longer than a message may be.
    TooLong,
    /// Its sender has sent too many lately.
    TooMany,
    /// There is no such head.
    Nobody,
}

/// A store of messages that fills with time.
#[derive(Debug)]
struct Allowance {
    level: f64,
    at: Instant,
}

impl Allowance {
    fn take(&mut self, now: Instant) -> bool {
        let since: Duration = now.saturating_duration_since(self.at);
        self.level = (self.level + since.as_secs_f64() * A_SECOND).min(AT_ONCE);
        self.at = now;
        let there = self.level >= 1.0;
        self.level -= if there { 1.0 } else { 0.0 };
        there
    }
}

/// What was passed on and what was turned away, both ways.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counts {
    /// Datagrams sent.
    pub sent: u64,
    /// Datagrams accepted.
    pub heard: u64,
    /// Datagrams of unknown senders.
    pub strangers: u64,
    /// Datagrams that could not be read.
    pub malformed: u64,
    /// Datagrams beyond the rate limit of their sender.
    pub too_many: u64,
}

/// The other hosts, and how much each may send.
#[derive(Debug)]
pub struct Peers {
    own: u32,
    addresses: Vec<SocketAddr>,
    /// One address that reaches every head, where the platform has one.
    all: Option<SocketAddr>,
    numbers: BTreeMap<SocketAddr, u32>,
    from: Vec<Allowance>,
    to: Allowance,
    /// What was sent and received.
    pub counts: Counts,
}

impl Peers {
    /// Heads are numbered as the list has them; `own` is this one's number.
    pub fn new(addresses: Vec<SocketAddr>, all: Option<SocketAddr>, own: u32, now: Instant) -> Peers {
        let allowance = || Allowance { level: AT_ONCE, at: now };
        let numbers = addresses.iter().zip(0..).map(|(address, number)| (*address, number)).collect();
        let from = addresses.iter().map(|_| allowance()).collect();
        Peers { own, addresses, all, numbers, from, to: allowance(), counts: Counts::default() }
    }

    /// Which head said it, if it may be listened to.
    pub fn hear(&mut self, now: Instant, from: SocketAddr, length: usize) -> Result<u32, Turned> {
        let heard = self.judge(now, from, length);
        match heard {
            Ok(_) => self.counts.heard += 1,
            Err(Turned::Stranger | Turned::Nobody) => self.counts.strangers += 1,
            Err(Turned::Empty | Turned::TooLong) => self.counts.malformed += 1,
            Err(Turned::TooMany) => self.counts.too_many += 1,
        }
        heard
    }

    fn judge(&mut self, now: Instant, from: SocketAddr, length: usize) -> Result<u32, Turned> {
        let number = self.numbers.get(&from).copied().filter(|number| *number != self.own);
        let number = number.ok_or(Turned::Stranger)?;
        size(length)?;
        let may = self.from.get_mut(number as usize).is_some_and(|allowance| allowance.take(now));
        if may { Ok(number) } else { Err(Turned::TooMany) }
    }

    /// Where a message goes: to one head, or to all others.
    pub fn tell(&mut self, now: Instant, to: Option<u32>, length: usize) -> Result<Vec<SocketAddr>, Turned> {
        size(length)?;
        let targets: Vec<SocketAddr> = match (to, self.all) {
            (Some(number), _) if number == self.own => return Err(Turned::Nobody),
            (Some(number), _) => vec![*self.addresses.get(number as usize).ok_or(Turned::Nobody)?],
            (None, Some(all)) => vec![all],
            (None, None) => {
                let others = self.addresses.iter().zip(0..).filter(|(_, number)| *number != self.own);
                others.map(|(address, _)| *address).collect()
            }
        };
        if targets.is_empty() {
            return Err(Turned::Nobody);
        }
        if !self.to.take(now) {
            self.counts.too_many += 1;
            return Err(Turned::TooMany);
        }
        self.counts.sent += 1;
        Ok(targets)
    }
}

fn size(length: usize) -> Result<(), Turned> {
    match length {
        0 => Err(Turned::Empty),
        1..=MOST_BYTES => Ok(()),
        _ => Err(Turned::TooLong),
    }
}

#[cfg(test)]
mod tests;
