//! The state of the channels to all nodes: when a channel opens, which one takes a stream, and when one
//! closes. There is no I/O here: the caller reports events with their times and carries out the actions
//! returned. One instance serves all nodes, so that its limits apply to all channels together.

use crate::interface::Micros;
use std::collections::BTreeMap;

/// Identifies a channel; never reused.
pub type ChannelId = u64;

/// Limits on channels and streams.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ChannelLimits {
    /// The most channels to all nodes together, including those that are connecting.
    pub max_channels: usize,
    /// The most channels to one node.
    pub max_per_node: usize,
    /// The most streams on one channel; the node's SETTINGS may allow fewer.
    pub max_streams: usize,
    /// A channel without streams closes after this time.
    pub idle_timeout: Micros,
    /// A channel with streams is pinged when nothing was received on it for this time.
    pub ping_after: Micros,
    /// A pinged channel on which nothing is received for this time is broken. A channel whose streams are
    /// blocked for this time is reported as stalled.
    pub ping_timeout: Micros,
    /// How long no connection to a node is tried after a first failure; doubled with each further one.
    pub backoff: Micros,
    /// The longest backoff.
    pub max_backoff: Micros,
}

/// The answer to a call that requests a stream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Grant {
    /// The call has one stream on this channel until it calls [`Channels::release_stream`].
    Use(ChannelId),
    /// The caller must open a channel and report the result; then the call requests a stream again.
    Open {
        /// The new channel.
        id: ChannelId,
        /// An idle channel that the caller must close, since the new one takes its place.
        close: Option<ChannelId>,
    },
    /// The call must wait for a change and then request a stream again.
    Wait,
    /// The node has no channel, and none can be opened now.
    Refuse,
}

/// An action that the caller must take on a channel.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ChannelAction {
    /// Close the channel: it has been idle for too long.
    Close(ChannelId),
    /// Send a PING: nothing was received on the channel for a while.
    Ping(ChannelId),
    /// Break the channel and all its streams: the node has not answered a PING.
    Break(ChannelId),
    /// Report that for a while, some stream on the channel has waited for the node to read.
    Stalled(ChannelId),
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum State {
    Connecting,
    Established,
    /// The node accepts no new streams; open ones may finish.
    Draining,
}

#[derive(Debug)]
struct Channel<N> {
    node: N,
    state: State,
    streams: usize,
    /// The most streams that the node allows at the moment.
    max_streams: usize,
    idle_since: Micros,
    /// When bytes were last received.
    last_received: Micros,
    /// When a PING was sent that is unanswered.
    pinged_at: Option<Micros>,
    /// Streams that wait for the node to read.
    blocked: usize,
    /// Since when at least one stream has been blocked.
    blocked_since: Micros,
    /// Whether this was reported as a stall.
    stall_reported: bool,
}

/// The pause after failed connections to a node.
#[derive(Debug, Default)]
struct Backoff {
    failures: u32,
    until: Micros,
}

/// The channels to all nodes.
#[derive(Debug)]
pub struct Channels<N> {
    limits: ChannelLimits,
    channels: BTreeMap<ChannelId, Channel<N>>,
    backoffs: BTreeMap<N, Backoff>,
    last_id: ChannelId,
}

impl<N: Ord + Clone> Channels<N> {
    /// Creates a state without channels.
    pub fn new(limits: ChannelLimits) -> Channels<N> {
        Channels { limits, channels: BTreeMap::new(), backoffs: BTreeMap::new(), last_id: 0 }
    }

    /// Returns the limits.
    pub fn limits(&self) -> ChannelLimits {
        self.limits
    }

    /// Returns the number of channels, including those that are connecting.
    pub fn len(&self) -> usize {
        self.channels.len()
    }

    /// Returns whether there is no channel.
    pub fn is_empty(&self) -> bool {
        self.channels.is_empty()
    }

    /// Returns the number of streams on all channels.
    pub fn streams(&self) -> usize {
        self.channels.values().map(|channel| channel.streams).sum()
    }

    /// Requests a stream to a node. The channel with the fewest streams takes it, so that a stalled stream
    /// holds up the fewest others. Another channel opens only if all are full or have a blocked stream: the
    /// bytes that a blocked stream has sent may fill the window of the whole channel.
    pub fn request_stream(&mut self, now: Micros, node: &N) -> Grant {
        let (mut node_channels, mut connecting, mut best) = (0, false, None);
        for (id, channel) in self.channels.iter().filter(|(_, channel)| channel.node == *node) {
            node_channels += 1;
            connecting |= channel.state == State::Connecting;
            let has_room = channel.state == State::Established
                && channel.streams < channel.max_streams.min(self.limits.max_streams);
            let cost = (channel.blocked > 0, channel.streams, *id);
            if has_room && best.is_none_or(|known| cost < known) {
                best = Some(cost);
            }
        }
        let backs_off = self.backoffs.get(node).is_some_and(|backoff| now < backoff.until);
        if let Some((blocked, _, id)) = best {
            let may_open = node_channels < self.limits.max_per_node
                && !backs_off
                && self.channels.len() < self.limits.max_channels;
            if !blocked || !(connecting || may_open) {
                if let Some(channel) = self.channels.get_mut(&id) {
                    channel.streams += 1;
                }
                return Grant::Use(id);
            }
        }
        if connecting {
            return Grant::Wait;
        }
        if backs_off {
            // A channel to the node may get room. Without a channel, waiting would only hide that the node is
            // unreachable.
            return if node_channels > 0 { Grant::Wait } else { Grant::Refuse };
        }
        if node_channels >= self.limits.max_per_node {
            return Grant::Wait;
        }
        let mut close = None;
        if self.channels.len() >= self.limits.max_channels {
            close = self.longest_idle();
            let Some(id) = close else {
                return if node_channels > 0 { Grant::Wait } else { Grant::Refuse };
            };
            self.channels.remove(&id);
        }
        self.last_id += 1;
        let channel = Channel {
            node: node.clone(),
            state: State::Connecting,
            streams: 0,
            max_streams: 0,
            idle_since: now,
            last_received: now,
            pinged_at: None,
            blocked: 0,
            blocked_since: now,
            stall_reported: false,
        };
        self.channels.insert(self.last_id, channel);
        Grant::Open { id: self.last_id, close }
    }

    fn longest_idle(&self) -> Option<ChannelId> {
        let idle = self.channels.iter().filter(|(_, c)| c.streams == 0 && c.state != State::Connecting);
        idle.min_by_key(|(id, channel)| (channel.idle_since, **id)).map(|(id, _)| *id)
    }

    /// Reports that a channel is established and that its node allows `max_streams`.
    pub fn connected(&mut self, now: Micros, id: ChannelId, max_streams: usize) {
        if let Some(channel) = self.channels.get_mut(&id) {
            (channel.state, channel.max_streams) = (State::Established, max_streams);
            (channel.last_received, channel.idle_since) = (now, now);
            self.backoffs.remove(&channel.node);
        }
    }

    /// Reports that a channel could not be established. Its node is not tried again before a backoff has
    /// passed.
    pub fn connect_failed(&mut self, now: Micros, id: ChannelId) {
        let Some(channel) = self.channels.remove(&id) else { return };
        let ChannelLimits { backoff, max_backoff, .. } = self.limits;
        let node_backoff = self.backoffs.entry(channel.node).or_default();
        node_backoff.until = now + (backoff << node_backoff.failures.min(16)).min(max_backoff);
        node_backoff.failures += 1;
    }

    /// Reports how many streams the node allows from now on. Open streams beyond that number go on.
    pub fn set_max_streams(&mut self, id: ChannelId, max_streams: usize) {
        if let Some(channel) = self.channels.get_mut(&id) {
            channel.max_streams = max_streams;
        }
    }

    /// Reports a GOAWAY frame. Returns whether the caller must close the channel at once.
    pub fn goaway_received(&mut self, id: ChannelId) -> bool {
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

    /// Returns a granted stream. Returns whether the caller must close the channel.
    pub fn release_stream(&mut self, now: Micros, id: ChannelId) -> bool {
        let Some(channel) = self.channels.get_mut(&id) else { return false };
        channel.streams = channel.streams.saturating_sub(1);
        channel.idle_since = now;
        let closes = channel.streams == 0 && channel.state == State::Draining;
        if closes {
            self.channels.remove(&id);
        }
        closes
    }

    /// Reports that an established channel has closed.
    pub fn connection_lost(&mut self, id: ChannelId) {
        self.channels.remove(&id);
    }

    /// Reports a stream that waits for the node to read.
    pub fn stream_blocked(&mut self, now: Micros, id: ChannelId) {
        if let Some(channel) = self.channels.get_mut(&id) {
            if channel.blocked == 0 {
                (channel.blocked_since, channel.stall_reported) = (now, false);
            }
            channel.blocked += 1;
        }
    }

    /// Reports that a blocked stream may send again, or has ended.
    pub fn stream_unblocked(&mut self, id: ChannelId) {
        if let Some(channel) = self.channels.get_mut(&id) {
            channel.blocked = channel.blocked.saturating_sub(1);
        }
    }

    /// Reports that bytes were received on a channel.
    pub fn bytes_received(&mut self, now: Micros, id: ChannelId) {
        if let Some(channel) = self.channels.get_mut(&id) {
            (channel.last_received, channel.pinged_at) = (now, None);
        }
    }

    /// Returns the actions that are due at `now`, and removes the channels that close or break.
    pub fn tick(&mut self, now: Micros) -> Vec<ChannelAction> {
        let ChannelLimits { idle_timeout, ping_after, ping_timeout, max_backoff, .. } = self.limits;
        let mut actions = Vec::new();
        for (id, channel) in &mut self.channels {
            let blocked_for = now.saturating_sub(channel.blocked_since);
            if channel.blocked > 0 && !channel.stall_reported && blocked_for >= ping_timeout {
                channel.stall_reported = true;
                actions.push(ChannelAction::Stalled(*id));
            }
            let silent_for = now.saturating_sub(channel.last_received);
            if channel.state == State::Connecting {
                continue;
            }
            if channel.streams == 0 {
                if now.saturating_sub(channel.idle_since) >= idle_timeout {
                    actions.push(ChannelAction::Close(*id));
                }
            } else if channel.pinged_at.is_some_and(|at| now.saturating_sub(at) >= ping_timeout) {
                actions.push(ChannelAction::Break(*id));
            } else if silent_for >= ping_after && channel.pinged_at.is_none() {
                channel.pinged_at = Some(now);
                actions.push(ChannelAction::Ping(*id));
            }
        }
        for action in &actions {
            if let ChannelAction::Close(id) | ChannelAction::Break(id) = action {
                self.channels.remove(id);
            }
        }
        // Forgets the failures of a node that was not tried again for long after its backoff.
        self.backoffs.retain(|_, backoff| now < backoff.until + max_backoff);
        actions
    }
}

#[cfg(test)]
mod tests;
