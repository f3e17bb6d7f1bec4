//! Coordination for small groups of machines with disks: a replicated log, leases with fencing tokens, and
//! gossip. Free of I/O (but for [`store`]), of clocks and of randomness: all three are passed in.
//!
//! * [`consensus`]: the rules of Raft, for any replicated log.
//! * [`replica`]: one replica of a log, with leases and joint membership changes. Events go in through one
//!   method each; what is to be done comes out as [`replica::Effects`].
//! * [`membership_changes`]: which store joins the voters, replaces one or leaves.
//! * [`record`]: the records that make up a replica's durable state, and [`batch`] their checksummed form.
//! * [`store`]: the append-only file of those records (the one module that does I/O).
//! * [`compaction`]: when a log is replaced by a snapshot.
//! * [`fencing`]: when a leader may act outside the group, and with which fencing token.
//! * [`recent_peers`]: addresses of replicas that sent a message lately.
//! * [`gossip`]: a view of which machines run, after SWIM; an opinion, on which no rule rests.
//! * [`state_comparison`]: digests of the replicas' state machines, and which replica differs.
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
