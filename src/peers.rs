//! Limits on messages between hosts, in both directions: senders, sizes and rates. The caller has the sockets
//! and the clock.
//!
//! The policy interprets the messages. A sender is identified by its configured address. Messages are hints:
//! one that is lost, late or duplicated breaks none of the rules.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

/// The longest message, bytes; a longer one invalidates a run on the platform.
pub const MAX_MESSAGE_BYTES: usize = 256;
/// The rate limit, messages per second, for each sending host and for all messages sent: far more than the
/// policy needs. Beyond it, a faulty host's messages cost the others only a check of their length.
const RATE_PER_S: f64 = 100.0;
/// The burst that the rate limit allows, messages.
const BURST: f64 = 50.0;

/// Why a datagram was not accepted or not sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DropReason {
    /// The sender is not a known host, or this host itself.
    UnknownSender,
    /// The datagram is empty.
    Empty,
    /// The datagram is longer than `MAX_MESSAGE_BYTES`.
    TooLong,
    /// The rate limit is exceeded.
    RateLimited,
    /// The message has no host to go to.
    NoRecipient,
}

/// A token bucket of messages.
#[derive(Debug)]
struct TokenBucket {
    level: f64,
    at: Instant,
}

impl TokenBucket {
    /// Takes a token, if there is one.
    fn take(&mut self, now: Instant) -> bool {
        let since: Duration = now.saturating_duration_since(self.at);
        self.level = (self.level + since.as_secs_f64() * RATE_PER_S).min(BURST);
        self.at = now;
        let available = self.level >= 1.0;
        self.level -= if available { 1.0 } else { 0.0 };
        available
    }
}

/// The numbers of datagrams sent, accepted and dropped.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counts {
    /// Datagrams sent.
    pub sent: u64,
    /// Datagrams accepted.
    pub heard: u64,
    /// Datagrams of unknown senders.
    pub strangers: u64,
    /// Datagrams that were empty or too long.
    pub malformed: u64,
    /// Datagrams beyond a rate limit, received or sent.
    pub too_many: u64,
}

/// The other hosts, and how much each may send.
#[derive(Debug)]
pub struct Peers {
    own: u32,
    addresses: Vec<SocketAddr>,
    /// An address that reaches all hosts, where the platform has one.
    all: Option<SocketAddr>,
    numbers: BTreeMap<SocketAddr, u32>,
    /// The rate limit of each sending host, by number.
    incoming: Vec<TokenBucket>,
    /// The rate limit of all messages sent.
    outgoing: TokenBucket,
    /// What was sent and received.
    pub counts: Counts,
}

impl Peers {
    /// Creates the limits for hosts that are numbered in the order of `addresses`; `own` is this host's
    /// number.
    pub fn new(addresses: Vec<SocketAddr>, all: Option<SocketAddr>, own: u32, now: Instant) -> Peers {
        let bucket = || TokenBucket { level: BURST, at: now };
        let numbers = addresses.iter().zip(0..).map(|(address, number)| (*address, number)).collect();
        let incoming = addresses.iter().map(|_| bucket()).collect();
        Peers { own, addresses, all, numbers, incoming, outgoing: bucket(), counts: Counts::default() }
    }

    /// Checks and counts a received datagram. Returns the number of the host that sent it.
    ///
    /// # Errors
    ///
    /// If the datagram is to be dropped.
    pub fn accept(&mut self, now: Instant, from: SocketAddr, length: usize) -> Result<u32, DropReason> {
        let heard = self.check(now, from, length);
        match heard {
            Ok(_) => self.counts.heard += 1,
            Err(DropReason::UnknownSender | DropReason::NoRecipient) => self.counts.strangers += 1,
            Err(DropReason::Empty | DropReason::TooLong) => self.counts.malformed += 1,
            Err(DropReason::RateLimited) => self.counts.too_many += 1,
        }
        heard
    }

    /// Checks a received datagram's sender, length and rate.
    fn check(&mut self, now: Instant, from: SocketAddr, length: usize) -> Result<u32, DropReason> {
        let number = self.numbers.get(&from).copied().filter(|number| *number != self.own);
        let number = number.ok_or(DropReason::UnknownSender)?;
        check_length(length)?;
        let within_limit = self.incoming.get_mut(number as usize).is_some_and(|bucket| bucket.take(now));
        if within_limit { Ok(number) } else { Err(DropReason::RateLimited) }
    }

    /// Checks and counts a message to be sent to one host, or to all others for `None`. Returns its target
    /// addresses.
    ///
    /// # Errors
    ///
    /// If the message may not be sent.
    pub fn targets(
        &mut self,
        now: Instant,
        to: Option<u32>,
        length: usize,
    ) -> Result<Vec<SocketAddr>, DropReason> {
        check_length(length)?;
        let targets: Vec<SocketAddr> = match (to, self.all) {
            (Some(number), _) if number == self.own => return Err(DropReason::NoRecipient),
            (Some(number), _) => vec![*self.addresses.get(number as usize).ok_or(DropReason::NoRecipient)?],
            (None, Some(all)) => vec![all],
            (None, None) => {
                let others = self.addresses.iter().zip(0..).filter(|(_, number)| *number != self.own);
                others.map(|(address, _)| *address).collect()
            }
        };
        if targets.is_empty() {
            return Err(DropReason::NoRecipient);
        }
        if !self.outgoing.take(now) {
            self.counts.too_many += 1;
            return Err(DropReason::RateLimited);
        }
        self.counts.sent += 1;
        Ok(targets)
    }
}

/// Checks a message's length.
fn check_length(length: usize) -> Result<(), DropReason> {
    match length {
        0 => Err(DropReason::Empty),
        1..=MAX_MESSAGE_BYTES => Ok(()),
        _ => Err(DropReason::TooLong),
    }
}

#[cfg(test)]
mod tests;
