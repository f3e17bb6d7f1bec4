//! Coordination for small groups of machines with disks: a replicated log, leases with fencing tokens, and
//! gossip. Except for [`store`], the crate does no I/O. It reads no clock and draws no random seed: the
//! caller passes in messages, times and seeds.
//!
//! * [`consensus`]: the rules of Raft, for any replicated log.
//! * [`replica`]: one replica of a log, with leases and joint membership changes. Each kind of event has a
//!   method, which returns the actions for the caller to carry out as [`replica::Effects`].
//! * [`membership_changes`]: decides which store joins the voters, replaces a voter or leaves.
//! * [`record`]: the records that make up a replica's durable state.
//! * [`batch`]: the checksummed form of those records on disk.
//! * [`store`]: the append-only file of those records (the one module that does I/O).
//! * [`compaction`]: decides when a snapshot replaces a log.
//! * [`fencing`]: decides when a leader may act outside the group, and with which fencing token.
//! * [`calls_in_flight`]: calls that a leader has made outside the group and that may still arrive.
//! * [`recent_peers`]: addresses of replicas that sent a message recently.
//! * [`gossip`]: each machine's view of which machines run, after SWIM. The view may be wrong, so no rule of
//!   the other modules depends on it.
//! * [`state_comparison`]: finds a replica whose state differs, by digests of the state machines.
//! * [`digest`]: the digest by which content is compared.
//! * [`types`]: members, entries, snapshots and messages.
//!
//! ```
//! use pathbank_coordination::record::DurableState;
//! use pathbank_coordination::replica::{Replica, Timing};
//! use pathbank_coordination::types::{Member, Membership, StoreId};
//!
//! let (name, address) = ("a".to_owned(), "10.0.0.1:1".to_owned());
//! let me = Member { id: StoreId(1), name, address, control_address: String::new() };
//! let initial = Membership::of(vec![me.clone()]);
//! let durable = DurableState { initial, ..DurableState::default() };
//! let mut replica = Replica::new(me, Timing::default(), durable, 0, 7);
//! let effects = replica.tick(5_000);
//! assert!(!effects.records.is_empty(), "the only voter elects itself; its vote has to be saved first");
//! ```

pub mod batch;
pub mod calls_in_flight;
pub mod compaction;
pub mod consensus;
pub mod digest;
pub mod fencing;
pub mod gossip;
pub mod membership_changes;
pub mod recent_peers;
pub mod record;
pub mod replica;
pub mod state_comparison;
pub mod store;
pub mod types;
