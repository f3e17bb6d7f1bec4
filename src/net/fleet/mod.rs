//! The head's part in the fleet's view on real sockets: carried by the datagrams between heads (`net/peers`),
//! shown on the operators' line.

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

/// What is to be sent, and to whom.
pub type Sends = Vec<(u32, Vec<u8>)>;

/// Cheap to copy: the datagrams' task keeps it, the operators' line reads it.
#[derive(Clone, Debug)]
pub struct Fleet {
    member: Arc<Mutex<GossipNode>>,
    own: NodeId,
    key: FleetKey,
    start: Instant,
}

pub fn why(cause: Cause) -> String {
    match cause {
        Cause::DirectContact => "heard".into(),
        Cause::ProbeTimeout => "unanswered".into(),
        Cause::SuspicionTimeout => "silent".into(),
        Cause::GossipFrom(by) => format!("told-by-{by}"),
    }
}

impl Fleet {
    /// `None`: it has no place among so many heads.
    pub fn new(config: &FleetView, own: u32, heads: usize, seed: u64) -> Option<Fleet> {
        let own = NodeId::try_from(own).ok().filter(|own| usize::from(*own) < heads)?;
        if heads >= usize::from(NodeId::MAX) {
            return None;
        }
        let day = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_secs();
        let member = GossipNode::new(own, heads, config.timing, 0, day, seed);
        // Heads that are given another number of heads are of another fleet.
        let key = FleetKey::derive(&format!("{} {heads}", config.fleet));
        Some(Fleet { member: Arc::new(Mutex::new(member)), own, key, start: Instant::now() })
    }

    fn member(&self) -> MutexGuard<'_, GossipNode> {
        self.member.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn now(&self) -> Micros {
        self.start.elapsed().as_micros() as Micros
    }

    pub fn next(&self) -> Instant {
        self.start + Duration::from_micros(self.member().next_tick_at())
    }

    pub fn tick(&self) -> Sends {
        let out = self.member().tick(self.now());
        self.carry_out(out)
    }

    /// Whether a datagram is of the view at all: whatever else heads say goes to the module.
    pub fn is_gossip(bytes: &[u8]) -> bool {
        bytes.first() == Some(&FORMAT)
    }

    /// `None`: it is cut, foreign, changed, of a later form, or not the sender's own.
    pub fn hear(&self, from: u32, bytes: &[u8]) -> Option<Sends> {
        let datagram =
            Datagram::decode(bytes, &self.key).ok().filter(|datagram| u32::from(datagram.from) == from)?;
        let out = self.member().step(self.now(), datagram);
        Some(self.carry_out(out))
    }

    pub fn leave(&self) -> Sends {
        let out = self.member().leave(self.now());
        self.carry_out(out)
    }

    /// From here on it tells that it drains, or no longer does.
    pub fn set_draining(&self, draining: bool) {
        self.member().set_status(NodeStatus { draining, ..NodeStatus::default() });
    }

    fn carry_out(&self, out: Output) -> Sends {
        for Change { node: member, before, after, cause } in out.changes {
            let (state, was) = (after.state.name(), before.state.name());
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

    /// For the operators' line: the view, or what is known of one head.
    pub fn text(&self, only: Option<NodeId>) -> Result<String, String> {
        let (member, now) = (self.member(), self.now());
        let view = member.view();
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
            let told = match view.evidence(number) {
                None => format!("head {number} unknown"),
                Some(Evidence { since, cause }) => {
                    let since_ms = now.saturating_sub(since) / 1_000;
                    format!(
                        "head {number} {state} start {start} spoke_up {up} since_ms {since_ms} why {}",
                        why(cause)
                    )
                }
            };
            let heard = member.last_contact(number).map_or(String::new(), |contact| {
                let (ago, same) = (now.saturating_sub(contact.at) / 1_000, contact.digest == view.digest());
                let (same, draining) =
                    (if same { "same" } else { "other" }, u8::from(contact.status.draining));
                format!(" heard_ms {ago} view {same} draining {draining}")
            });
            let _ = writeln!(text, "{told}{heard}"); // a text takes whatever is written to it
        }
        text.push_str("END\n");
        Ok(text)
    }
}
