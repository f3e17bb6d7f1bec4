//! Failure detection by gossip: each node keeps a view of which nodes run, after SWIM (Das, Gupta and
//! Motivala, 2002), with the local health multiplier of Lifeguard (Dadgar and others, 2017). The module does
//! no I/O and reads no clock: the caller passes in datagrams, times and a seed, and receives datagrams and
//! changes. `docs/design/fleet.md` states the bound on convergence and why it holds.
//!
//! A view may be wrong, so no rule of a protocol may depend on it.
//!
//! * [`node`]: the protocol of one node: [`node::GossipNode`] and its two main entry points, `tick` and
//!   `step`.
//! * [`timing`]: the intervals, and the bound on convergence that follows from them.
//! * [`view`]: the records that a node has of all nodes, and digests of them.
//! * [`datagram`]: the messages and their encoding.
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
