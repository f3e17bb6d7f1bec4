//! The identity of a new store.

use crate::clock;
use crate::settings::Settings;
use pathbank_coordination::digest::digest;
use pathbank_coordination::record::Record;
use pathbank_coordination::types::{Member, Membership, StoreId};
use std::net::SocketAddr;

/// The identity of an empty disk's store. At the first start of the system the seeds are its voters, and each knows its
/// id among them; any other store draws an id and joins. So does one whose disk lost an earlier store
/// (`previous_store_lost`): under the founder's id it could vote a second time, without what it had acknowledged.
pub fn first_identity(settings: &Settings, control: SocketAddr, previous_store_lost: bool) -> Record {
    let is_founder = settings.bootstrap && settings.seeds.contains(&control) && !previous_store_lost;
    if !is_founder {
        return Record::Identity { id: StoreId(clock::entropy() | 1), initial: Membership::default() };
    }
    let founder = |seed: &SocketAddr| Member {
        id: founder_id(seed),
        name: seed.to_string(),
        address: settings.internal_address(*seed).to_string(),
        control_address: seed.to_string(),
    };
    let voters = settings.seeds.iter().map(founder).collect();
    Record::Identity { id: founder_id(&control), initial: Membership::of(voters) }
}

/// The same id at every founder; even, where the ids that other stores draw are odd.
fn founder_id(seed: &SocketAddr) -> StoreId {
    StoreId(digest(&[seed.to_string().as_bytes()]) as u64 & !1)
}
