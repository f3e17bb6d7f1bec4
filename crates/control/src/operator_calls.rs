//! What an operator's call gets at a head, by how the head stands in the group.
//!
//! Whatever is answered from the state (a refusal, an acknowledgement of what was taken before, a read) is
//! answered within the leader's lease only: no other head can have changed the state meanwhile. A change is
//! acknowledged once its entry is committed, with what the state machine made of it. All else is turned away,
//! with nothing decided.

use crate::command_outcome::CommandOutcome;
use crate::configuration::Rejection;
use crate::result_code::ResultCode;
use crate::state::{Change, ChangeEvaluation, ControlState};
use pathbank_coordination::replica::Replica;
use pathbank_coordination::types::Millis;

/// A head that has heard no leader for so long does not know what is newest, milliseconds.
pub const LEADER_TIMEOUT_MS: Millis = 1_500;

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
    pub fn from_outcome(result: &Result<CommandOutcome, Rejection>) -> Reply {
        match result {
            Ok(CommandOutcome::Applied | CommandOutcome::AlreadyApplied) => {
                Reply::Result(ResultCode::Done, "taken".into())
            }
            Ok(CommandOutcome::StepAnnounced(step)) => {
                let body = serde_json::json!({ "result_code": ResultCode::Done.number(), "step": step });
                Reply::Json(body.to_string().into_bytes())
            }
            Err(rejection) => Reply::Result(rejection.code, rejection.message.clone()),
        }
    }
}

/// How a head stands in the group.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum LeadershipStatus {
    /// It leads, and has applied all that was committed before.
    Leader {
        /// Nobody else can lead at this moment.
        lease_valid: bool,
    },
    /// Another head was heard to lead a moment ago, with its control plane at this address.
    Follower(String),
    /// It knows of no leader.
    NoLeader,
}

impl LeadershipStatus {
    /// How the head of a replica stands.
    pub fn of(replica: &Replica, now: Millis) -> LeadershipStatus {
        if replica.is_established_leader() {
            return LeadershipStatus::Leader { lease_valid: replica.lease_until() > now };
        }
        // A leader that fell silent may lead no longer: its callers would be sent back and forth.
        let leader = replica.leader_within(now, LEADER_TIMEOUT_MS);
        match leader.filter(|leader| leader.id != replica.me().id) {
            Some(leader) => LeadershipStatus::Follower(leader.control_address.clone()),
            None => LeadershipStatus::NoLeader,
        }
    }

    /// What a call for the leader gets at a head that does not lead; `None`: it leads.
    pub fn redirect(&self) -> Option<Reply> {
        match self {
            LeadershipStatus::Leader { .. } => None,
            LeadershipStatus::Follower(address) => Some(Reply::LeaderAt(address.clone())),
            LeadershipStatus::NoLeader => {
                Some(Reply::Result(ResultCode::NoLeader, "no leader was heard of lately".into()))
            }
        }
    }

    fn lease_valid(&self) -> bool {
        matches!(self, LeadershipStatus::Leader { lease_valid: true })
    }
}

/// Whether a change is to be proposed; otherwise what it gets at once.
pub fn check_change(state: &ControlState, status: &LeadershipStatus, change: &Change) -> Result<(), Reply> {
    if let Some(reply) = status.redirect() {
        return Err(reply);
    }
    match state.evaluate(change) {
        Ok(ChangeEvaluation::Applicable { .. }) => Ok(()),
        // What stands may have been changed by a later leader.
        _ if !status.lease_valid() => Err(Reply::unclear()),
        Ok(ChangeEvaluation::AlreadyApplied) => Err(Reply::from_outcome(&Ok(CommandOutcome::AlreadyApplied))),
        Err(rejection) => Err(Reply::from_outcome(&Err(rejection))),
    }
}

/// What a read of the configuration gets.
pub fn read_configuration(state: &ControlState, status: &LeadershipStatus) -> Reply {
    if let Some(reply) = status.redirect() {
        return reply;
    }
    match state.document().filter(|_| status.lease_valid()) {
        Some((document, _)) => Reply::Json(document.to_json()),
        None => Reply::Result(ResultCode::NoLeader, "no configuration, or the lease is not certain".into()),
    }
}
