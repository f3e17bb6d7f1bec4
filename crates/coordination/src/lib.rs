//! Coordination parts for a small group of machines with disks, free of I/O, clocks and randomness.
//!
//! * [`consensus`]: the rules of agreement by terms and majorities, for any replicated log.
//! * [`replica`]: a replicated log (terms, majorities, leases, joint changes of the group). Events go in through one
//!   function each, and what is to be done comes out as [`replica::Effects`].
//! * [`gossip`]: a view of which machines run, kept by the machines themselves; an opinion, on which no rule rests.
//! * [`group`]: which store joins, replaces or leaves the group of voters.
//! * [`record`]: the records of which a replica's durable state is made, and [`batch`] their checksummed form on disk.
//! * [`store`]: the append-only file of those records (the one part that does I/O).
//! * [`compaction`]: when a log is replaced by the state that it leads to.
//! * [`callers`]: addresses of replicas that spoke lately.
//! * [`digest`]: one digest for what has to be told apart by its content.
//! * [`fencing`]: when a leader may act outside the group, and with which fencing token.
//!
//! ```
//! use pathbank_coordination::replica::{Replica, Timing};
//! use pathbank_coordination::types::{Member, Membership, StoreId};
//! use pathbank_coordination::record::Durable;
//!
//! let me = Member { id: StoreId(1), name: "a".into(), address: "10.0.0.1:1".into(), control_address: String::new() };
//! let durable = Durable { initial: Membership::of(vec![me.clone()]), ..Durable::default() };
//! let mut replica = Replica::new(me, Timing::default(), durable, 0, 7);
//! let effects = replica.tick(5_000);
//! assert!(!effects.records.is_empty(), "a group of one elects itself; its vote has to be saved first");
//! ```

pub mod batch;
pub mod callers;
pub mod compaction;
pub mod consensus;
pub mod digest;
pub mod fencing;
pub mod gossip;
pub mod group;
pub mod record;
pub mod replica;
pub mod store;
pub mod types;
