//! What an operator's call gets at a head, by how the head stands in the group.
//!
//! Whatever is answered from the state (a refusal, an acknowledgement of what was taken before, a read) is answered within
//! the leader's lease only: no other head can have changed the state meanwhile. A change is acknowledged once its entry is
//! committed, with what the state machine made of it. All else is turned away, with nothing decided.

use crate::configuration::Rejection;
use crate::result_code::ResultCode;
use crate::state::{Accepted, Change, ControlState, Judgement};
use pathbank_coordination::replica::Replica;
use pathbank_coordination::types::Millis;

/// A head that has heard no leader for so long does not know what is newest, milliseconds.
pub const LEADER_SILENCE: Millis = 1_500;

/// What a call to the control plane gets.
#[derive(Clone, Debug, PartialEq)]
pub enum Reply {
    /// A JSON body.
    Json(Vec<u8>),
    /// A numbered result and its reason.
    Result(ResultCode, String),
    /// Another head leads, with its control plane at this address.
    LeaderAt(String),
}

impl Reply {
    /// The call may have been carried out or not: whoever made it makes it again.
    pub fn unclear() -> Reply {
        Reply::Result(ResultCode::Unclear, "another leader may have decided otherwise".into())
    }

    /// What came of a committed command.
    pub fn of_result(result: &Result<Accepted, Rejection>) -> Reply {
        match result {
            Ok(Accepted::Now | Accepted::Before) => Reply::Result(ResultCode::Done, "taken".into()),
            Ok(Accepted::Step(step)) => {
                let body = serde_json::json!({ "result_code": ResultCode::Done.number(), "step": step });
                Reply::Json(body.to_string().into_bytes())
            }
            Err(rejection) => Reply::Result(rejection.code, rejection.message.clone()),
        }
    }
}

/// How a head stands in the group.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Standing {
    /// It leads, and has applied all that was committed before.
    Leads {
        /// Nobody else can lead at this moment.
        lease_holds: bool,
    },
    /// Another head was heard to lead a moment ago, with its control plane at this address.
    Follows(String),
    /// It knows of no leader.
    Alone,
}

impl Standing {
    /// How the head of a replica stands.
    pub fn of(replica: &Replica, now: Millis) -> Standing {
        if replica.is_established_leader() {
            return Standing::Leads { lease_holds: replica.lease_until() > now };
        }
        // A leader that fell silent may lead no longer: its callers would be sent back and forth.
        let leader = replica.leader_within(now, LEADER_SILENCE);
        match leader.filter(|leader| leader.id != replica.me().id) {
            Some(leader) => Standing::Follows(leader.control_address.clone()),
            None => Standing::Alone,
        }
    }

    /// What a call for the leader gets at a head that does not lead; `None`: it leads.
    pub fn turns_away(&self) -> Option<Reply> {
        match self {
            Standing::Leads { .. } => None,
            Standing::Follows(address) => Some(Reply::LeaderAt(address.clone())),
            Standing::Alone => {
                Some(Reply::Result(ResultCode::NoLeader, "no leader was heard of lately".into()))
            }
        }
    }

    fn lease_holds(&self) -> bool {
        matches!(self, Standing::Leads { lease_holds: true })
    }
}

/// Whether a change is to be proposed; otherwise what it gets at once.
pub fn receive_change(state: &ControlState, standing: &Standing, change: &Change) -> Result<(), Reply> {
    if let Some(reply) = standing.turns_away() {
        return Err(reply);
    }
    match state.judge(change) {
        Ok(Judgement::Takes { .. }) => Ok(()),
        // What stands may have been changed by a later leader.
        _ if !standing.lease_holds() => Err(Reply::unclear()),
        Ok(Judgement::TakenBefore) => Err(Reply::of_result(&Ok(Accepted::Before))),
        Err(rejection) => Err(Reply::of_result(&Err(rejection))),
    }
}

/// What a read of the configuration gets.
pub fn read_configuration(state: &ControlState, standing: &Standing) -> Reply {
    if let Some(reply) = standing.turns_away() {
        return reply;
    }
    match state.document().filter(|_| standing.lease_holds()) {
        Some((document, _)) => Reply::Json(document.to_json()),
        None => Reply::Result(ResultCode::NoLeader, "no configuration, or the lease is not certain".into()),
    }
}
