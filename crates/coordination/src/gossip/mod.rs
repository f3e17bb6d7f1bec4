//! A view of which nodes run, kept by the nodes themselves by gossip, after SWIM (Das, Gupta and Motivala,
//! 2002), with the local health multiplier of Lifeguard (Dadgar and others, 2017). No I/O and no clock:
//! datagrams, times and a seed are passed in, datagrams and changes come out. `docs/design/fleet.md` states
//! the bound on convergence and why it holds.
//!
//! A view is an opinion: no rule of a protocol may rest on it.
//!
//! * [`node`]: the node's part: [`node::GossipNode`] and its two entries, `tick` and `step`.
//! * [`timing`]: the intervals that the bound on convergence rests on.
//! * [`view`]: what is known of all nodes, and its digests.
//! * [`datagram`]: the messages and their bytes.
//!
//! ```
//! use pathbank_coordination::gossip::node::GossipNode;
//! use pathbank_coordination::gossip::timing::GossipTiming;
//!
//! let timing = GossipTiming::default();
//! let mut one = GossipNode::new(0, 2, timing, 0, 1_700_000_000, 1);
//! let mut other = GossipNode::new(1, 2, timing, 0, 1_700_000_000, 2);
//! let mut now = 0;
//! while one.view().running_count() < 2 {
//!     now += timing.probe_interval_us;
//!     for datagram in one.tick(now).datagrams {
//!         for answer in other.step(now, datagram).datagrams {
//!             one.step(now, answer);
//!         }
//!     }
//! }
//! assert_eq!(one.view().running().collect::<Vec<_>>(), [0, 1]);
//! ```

pub mod datagram;
mod dissemination;
mod local_health;
pub mod node;
mod probing;
mod repair;
mod suspicion;
pub mod timing;
mod types;
pub mod view;

pub use types::{Cause, Change, Incarnation, Micros, NodeId, NodeRecord, NodeState, NodeStatus};
