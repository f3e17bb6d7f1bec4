//! Connections to nodes, each with many streams: when another one opens, which one takes a stream, and when one goes.
//! No I/O: told what happens and when, it says what is to be done. One for all nodes, so that its bounds hold over
//! all of them.

use crate::interface::Micros;
use std::collections::BTreeMap;

pub type ChannelId = u64;

#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Limits {
    /// Channels to all nodes together, connecting ones included.
    pub most: usize,
    pub per_node: usize,
    /// Streams on one channel, where its peer allows as many.
    pub streams: usize,
    /// A channel without streams goes after this.
    pub idle: Micros,
    /// A channel on which nothing came for that long, with streams open, is asked for a sign of life, and given up
    /// when none comes within `patience`.
    pub keepalive: Micros,
    pub patience: Micros,
    /// After a failed connection none is tried at that node for this long, doubled up to `most_backoff`.
    pub backoff: Micros,
    pub most_backoff: Micros,
}

/// What a call that wants a stream is told.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Grant {
    /// One stream on this channel is its own until `released`.
    Use(ChannelId),
    /// It has to open this one, and to say how that went; then it asks again. `close`: an idle channel goes for it.
    Open { id: ChannelId, close: Option<ChannelId> },
    /// To ask again when something has changed at its node.
    Wait,
    /// Nothing can be had there now.
    Refuse,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Duty {
    /// Without streams: close it.
    Close(ChannelId),
    /// Ask it for a sign of life.
    Ping(ChannelId),
    /// It said nothing for too long: all streams on it are broken.
    Break(ChannelId),
    /// Tell operators: its node has read nothing for a while of what some of its streams have to send.
    Stalled(ChannelId),
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum State {
    Connecting,
    Up,
    /// Its peer takes no new streams; those that there are finish.
    Draining,
}

#[derive(Debug)]
struct Channel<N> {
    node: N,
    state: State,
    streams: usize,
    /// What its peer allows at the moment.
    allowed: usize,
    idle_since: Micros,
    heard: Micros,
    pinged: Option<Micros>,
    /// Streams that wait for the peer to read, since when one of them at least has, and whether that was told.
    blocked: usize,
    blocked_since: Micros,
    told: bool,
}

#[derive(Debug, Default)]
struct Backoff {
    failures: u32,
    until: Micros,
}

#[derive(Debug)]
pub struct Channels<N> {
    limits: Limits,
    channels: BTreeMap<ChannelId, Channel<N>>,
    backoffs: BTreeMap<N, Backoff>,
    last: ChannelId,
}

impl<N: Ord + Clone> Channels<N> {
    pub fn new(limits: Limits) -> Channels<N> {
        Channels { limits, channels: BTreeMap::new(), backoffs: BTreeMap::new(), last: 0 }
    }

    pub fn limits(&self) -> Limits {
        self.limits
    }

    pub fn len(&self) -> usize {
        self.channels.len()
    }

    pub fn is_empty(&self) -> bool {
        self.channels.is_empty()
    }

    pub fn streams(&self) -> usize {
        self.channels.values().map(|channel| channel.streams).sum()
    }

    /// A call wants a stream to this node. The channel with the fewest takes it: a stalled stream then holds up the
    /// fewest others. Another channel opens only when all are full, or when on each some stream waits for its peer to
    /// read: what such a one has sent may fill the window of the whole channel.
    pub fn want(&mut self, now: Micros, node: &N) -> Grant {
        let (mut here, mut connecting, mut best) = (0, false, None);
        for (id, channel) in self.channels.iter().filter(|(_, channel)| channel.node == *node) {
            here += 1;
            connecting |= channel.state == State::Connecting;
            let takes =
                channel.state == State::Up && channel.streams < channel.allowed.min(self.limits.streams);
            let cost = (channel.blocked > 0, channel.streams, *id);
            if takes && best.is_none_or(|known| cost < known) {
                best = Some(cost);
            }
        }
        let rests = self.backoffs.get(node).is_some_and(|backoff| now < backoff.until);
        if let Some((blocked, _, id)) = best {
            let another = here < self.limits.per_node && !rests && self.channels.len() < self.limits.most;
            if !blocked || !(connecting || another) {
                if let Some(channel) = self.channels.get_mut(&id) {
                    channel.streams += 1;
                }
                return Grant::Use(id);
            }
        }
        if connecting {
            return Grant::Wait;
        }
        if rests {
            // What there is may still get free; without any, waiting would only hide that the node is not there.
            return if here > 0 { Grant::Wait } else { Grant::Refuse };
        }
        if here >= self.limits.per_node {
            return Grant::Wait;
        }
        let mut close = None;
        if self.channels.len() >= self.limits.most {
            close = self.longest_idle();
            let Some(id) = close else { return if here > 0 { Grant::Wait } else { Grant::Refuse } };
            self.channels.remove(&id);
        }
        self.last += 1;
        let channel = Channel {
            node: node.clone(),
            state: State::Connecting,
            streams: 0,
            allowed: 0,
            idle_since: now,
            heard: now,
            pinged: None,
            blocked: 0,
            blocked_since: now,
            told: false,
        };
        self.channels.insert(self.last, channel);
        Grant::Open { id: self.last, close }
    }

    fn longest_idle(&self) -> Option<ChannelId> {
        let idle = self.channels.iter().filter(|(_, c)| c.streams == 0 && c.state != State::Connecting);
        idle.min_by_key(|(id, channel)| (channel.idle_since, **id)).map(|(id, _)| *id)
    }

    /// The connection stands; its peer allows so many streams.
    pub fn connected(&mut self, now: Micros, id: ChannelId, allowed: usize) {
        if let Some(channel) = self.channels.get_mut(&id) {
            (channel.state, channel.allowed) = (State::Up, allowed);
            (channel.heard, channel.idle_since) = (now, now);
            self.backoffs.remove(&channel.node);
        }
    }

    /// It did not come up.
    pub fn failed(&mut self, now: Micros, id: ChannelId) {
        let Some(channel) = self.channels.remove(&id) else { return };
        let Limits { backoff, most_backoff, .. } = self.limits;
        let known = self.backoffs.entry(channel.node).or_default();
        known.until = now + (backoff << known.failures.min(16)).min(most_backoff);
        known.failures += 1;
    }

    /// The peer allows another number of streams; those beyond it that run go on.
    pub fn allowed(&mut self, id: ChannelId, allowed: usize) {
        if let Some(channel) = self.channels.get_mut(&id) {
            channel.allowed = allowed;
        }
    }

    /// The peer has said GOAWAY. True where the channel can be closed at once.
    pub fn goaway(&mut self, id: ChannelId) -> bool {
        match self.channels.get_mut(&id) {
            Some(channel) => {
                channel.state = State::Draining;
                if channel.streams == 0 {
                    self.channels.remove(&id);
                    return true;
                }
                false
            }
            None => false,
        }
    }

    /// A stream that was granted is over. True where the channel is to be closed with it.
    pub fn released(&mut self, now: Micros, id: ChannelId) -> bool {
        let Some(channel) = self.channels.get_mut(&id) else { return false };
        channel.streams = channel.streams.saturating_sub(1);
        channel.idle_since = now;
        let over = channel.streams == 0 && channel.state == State::Draining;
        if over {
            self.channels.remove(&id);
        }
        over
    }

    /// The connection is gone.
    pub fn broke(&mut self, id: ChannelId) {
        self.channels.remove(&id);
    }

    /// A stream on it has to wait until its peer has read.
    pub fn blocked(&mut self, now: Micros, id: ChannelId) {
        if let Some(channel) = self.channels.get_mut(&id) {
            if channel.blocked == 0 {
                (channel.blocked_since, channel.told) = (now, false);
            }
            channel.blocked += 1;
        }
    }

    /// Such a stream may send again, or is over.
    pub fn unblocked(&mut self, id: ChannelId) {
        if let Some(channel) = self.channels.get_mut(&id) {
            channel.blocked = channel.blocked.saturating_sub(1);
        }
    }

    /// Bytes came on it.
    pub fn heard(&mut self, now: Micros, id: ChannelId) {
        if let Some(channel) = self.channels.get_mut(&id) {
            (channel.heard, channel.pinged) = (now, None);
        }
    }

    /// All that time alone brings about.
    pub fn tick(&mut self, now: Micros) -> Vec<Duty> {
        let Limits { idle, keepalive, patience, most_backoff, .. } = self.limits;
        let mut duties = Vec::new();
        for (id, channel) in &mut self.channels {
            if channel.blocked > 0 && !channel.told && now.saturating_sub(channel.blocked_since) >= patience {
                channel.told = true;
                duties.push(Duty::Stalled(*id));
            }
            let quiet = now.saturating_sub(channel.heard);
            if channel.state == State::Connecting {
                continue;
            }
            if channel.streams == 0 {
                if now.saturating_sub(channel.idle_since) >= idle {
                    duties.push(Duty::Close(*id));
                }
            } else if channel.pinged.is_some_and(|at| now.saturating_sub(at) >= patience) {
                duties.push(Duty::Break(*id));
            } else if quiet >= keepalive && channel.pinged.is_none() {
                channel.pinged = Some(now);
                duties.push(Duty::Ping(*id));
            }
        }
        for duty in &duties {
            if let Duty::Close(id) | Duty::Break(id) = duty {
                self.channels.remove(id);
            }
        }
        // A node that nobody has asked for in so long is as good as a new one.
        self.backoffs.retain(|_, backoff| now < backoff.until + most_backoff);
        duties
    }
}

#[cfg(test)]
mod tests;
