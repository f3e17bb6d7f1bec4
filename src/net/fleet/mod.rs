//! This host's member of the gossip protocol that tracks which hosts run. The datagrams between hosts
//! (`net/peers`) carry its messages, and the operators' line shows its view.

pub mod command;

use crate::config::fleet::FleetView;
use crate::event;
use pathbank_coordination::gossip::datagram::{Datagram, FORMAT, FleetKey};
use pathbank_coordination::gossip::node::{GossipNode, Output};
use pathbank_coordination::gossip::view::Evidence;
use pathbank_coordination::gossip::{Cause, Change, Micros, NodeId, NodeState, NodeStatus};
use std::fmt::Write;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{SystemTime, UNIX_EPOCH};
use tokio::time::{Duration, Instant};

/// Encoded datagrams to send, each with the number of the host that receives it.
pub type Sends = Vec<(u32, Vec<u8>)>;

/// Shared handle to this host's gossip node. The task that handles datagrams drives it; the operators' line
/// reads it.
#[derive(Clone, Debug)]
pub struct Fleet {
    node: Arc<Mutex<GossipNode>>,
    own: NodeId,
    key: FleetKey,
    start: Instant,
}

/// Returns the word that the operators' line and the event log use for the cause of a change.
pub fn why(cause: Cause) -> String {
    match cause {
        Cause::DirectContact => "heard".into(),
        Cause::ProbeTimeout => "unanswered".into(),
        Cause::SuspicionTimeout => "silent".into(),
        Cause::GossipFrom(by) => format!("told-by-{by}"),
    }
}

impl Fleet {
    /// Creates the gossip node of host `own` in a fleet of `heads` hosts, numbered from 0.
    ///
    /// Returns `None` if `own` is not a number below `heads`, or if there are more hosts than host numbers.
    pub fn new(config: &FleetView, own: u32, heads: usize, seed: u64) -> Option<Fleet> {
        let own = NodeId::try_from(own).ok().filter(|own| usize::from(*own) < heads)?;
        if heads >= usize::from(NodeId::MAX) {
            return None;
        }
        // The time of this start, in seconds since 1970; it is the first part of the incarnation.
        let day = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_secs();
        let node = GossipNode::new(own, heads, config.timing, 0, day, seed);
        // The key depends on the number of hosts, so hosts configured with different numbers reject each
        // other's datagrams.
        let key = FleetKey::derive(&format!("{} {heads}", config.fleet));
        Some(Fleet { node: Arc::new(Mutex::new(node)), own, key, start: Instant::now() })
    }

    fn node(&self) -> MutexGuard<'_, GossipNode> {
        self.node.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Time since this gossip node was created.
    fn now(&self) -> Micros {
        self.start.elapsed().as_micros() as Micros
    }

    /// Returns when [`Fleet::tick`] is due next.
    pub fn next(&self) -> Instant {
        self.start + Duration::from_micros(self.node().next_tick_at())
    }

    /// Runs the timers that are due and returns the datagrams to send.
    pub fn tick(&self) -> Sends {
        let out = self.node().tick(self.now());
        self.apply(out)
    }

    /// Returns whether a datagram belongs to the gossip protocol. All other datagrams between hosts go to the
    /// policy module.
    pub fn is_gossip(bytes: &[u8]) -> bool {
        bytes.first() == Some(&FORMAT)
    }

    /// Handles a datagram from host `from` and returns the datagrams to send.
    ///
    /// Returns `None` if the datagram is truncated, altered, from another fleet, of a newer format, or names
    /// another sender than `from`.
    pub fn hear(&self, from: u32, bytes: &[u8]) -> Option<Sends> {
        let datagram =
            Datagram::decode(bytes, &self.key).ok().filter(|datagram| u32::from(datagram.from) == from)?;
        let out = self.node().step(self.now(), datagram);
        Some(self.apply(out))
    }

    /// Leaves the fleet and returns the datagrams that announce it.
    pub fn leave(&self) -> Sends {
        let out = self.node().leave(self.now());
        self.apply(out)
    }

    /// Sets whether this host announces that it drains.
    pub fn set_draining(&self, draining: bool) {
        self.node().set_status(NodeStatus { draining, ..NodeStatus::default() });
    }

    /// Logs each change of the view and encodes the datagrams.
    fn apply(&self, out: Output) -> Sends {
        for Change { node: member, before, after, cause } in out.changes {
            let (state, was) = (after.state.name(), before.state.name());
            // The low 16 bits of an incarnation count how often the node has refuted a suspicion or a
            // declaration of death since its start.
            let (start, spoke_up) = (after.incarnation.start(), after.incarnation.bits() & 0xffff);
            let why = why(cause);
            match after.state {
                NodeState::Suspect => event!(DOUBT, member, start, spoke_up, why),
                _ => event!(MEMBER, member, state, was, start, spoke_up, why),
            }
        }
        out.datagrams
            .into_iter()
            .map(|datagram| (u32::from(datagram.to), datagram.encode(&self.key)))
            .collect()
    }

    /// Returns the answer on the operators' line: the whole view, or the record of host `only`.
    ///
    /// # Errors
    ///
    /// Returns the text of the error answer if there is no host `only`.
    pub fn text(&self, only: Option<NodeId>) -> Result<String, String> {
        let (node, now) = (self.node(), self.now());
        let view = node.view();
        if let Some(only) = only.filter(|only| usize::from(*only) >= view.node_count()) {
            return Err(format!("there is no head {only}; there are {}", view.node_count()));
        }
        let mut text = format!(
            "OK view {:016x} running {} of {} own {}\n",
            view.digest(),
            view.running_count(),
            view.node_count(),
            self.own
        );
        for (number, record) in view.records().filter(|(number, _)| only.is_none_or(|only| only == *number)) {
            let (state, start, up) =
                (record.state.name(), record.incarnation.start(), record.incarnation.bits() & 0xffff);
            let status = match view.evidence(number) {
                None => format!("head {number} unknown"),
                Some(Evidence { since, cause }) => {
                    let since_ms = now.saturating_sub(since) / 1_000;
                    format!(
                        "head {number} {state} start {start} spoke_up {up} since_ms {since_ms} why {}",
                        why(cause)
                    )
                }
            };
            let last_contact = node.last_contact(number).map_or(String::new(), |contact| {
                let (ago, same) = (now.saturating_sub(contact.at) / 1_000, contact.digest == view.digest());
                let (same, draining) =
                    (if same { "same" } else { "other" }, u8::from(contact.status.draining));
                format!(" heard_ms {ago} view {same} draining {draining}")
            });
            let _ = writeln!(text, "{status}{last_contact}"); // writing to a String cannot fail
        }
        text.push_str("END\n");
        Ok(text)
    }
}
