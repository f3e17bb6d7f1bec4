//! How a core answers an operator's call, by its role in the replication group.
//!
//! Some calls are answered from the current state: rejections, acknowledgements of changes that were accepted
//! before, and reads. The leader answers these only while its lease is valid, because no other core can then
//! have changed the state. A change is acknowledged once its entry is committed, with the outcome from the
//! state machine. All other calls are redirected, or answered as undecided.

use crate::command_outcome::CommandOutcome;
use crate::configuration::Rejection;
use crate::prepared_change::PreparedChange;
use crate::result_code::ResultCode;
use crate::state::{Change, ChangeEvaluation, ControlState};
use pathbank_coordination::replica::Replica;
use pathbank_coordination::types::Millis;

/// A core that has not heard from a leader for this long does not know whether its state is the newest,
/// milliseconds.
pub const LEADER_TIMEOUT_MS: Millis = 1_500;

/// The answer to a call.
#[derive(Clone, Debug, PartialEq)]
pub enum Reply {
    /// A JSON body.
    Json(Vec<u8>),
    /// A result code and its reason.
    Result(ResultCode, String),
    /// Another core is the leader, and takes calls at this address.
    LeaderAt(String),
}

impl Reply {
    /// The answer if the change may have taken effect or not: the caller has to send it again.
    pub fn unclear() -> Reply {
        Reply::Result(ResultCode::Unclear, "another leader may have decided otherwise".into())
    }

    /// The answer to a call whose command is committed, by its outcome.
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

/// The role of a core in the replication group.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum LeadershipStatus {
    /// This core is the leader, and has applied all entries that were committed before its term.
    Leader {
        /// Whether its lease is valid: no other core can be the leader now.
        lease_valid: bool,
    },
    /// Another core led within `LEADER_TIMEOUT_MS`, and takes calls at this address.
    Follower(String),
    /// No leader is known.
    NoLeader,
}

impl LeadershipStatus {
    /// The role of the core that runs this replica.
    pub fn of(replica: &Replica, now: Millis) -> LeadershipStatus {
        if replica.is_established_leader() {
            return LeadershipStatus::Leader { lease_valid: replica.lease_until() > now };
        }
        // Cores that redirect callers to a leader that has timed out could send them back and forth.
        let leader = replica.leader_within(now, LEADER_TIMEOUT_MS);
        match leader.filter(|leader| leader.id != replica.me().id) {
            Some(leader) => LeadershipStatus::Follower(leader.control_address.clone()),
            None => LeadershipStatus::NoLeader,
        }
    }

    /// The answer to a call that only the leader takes; `None`: this core is the leader.
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

/// Checks whether a change has to be proposed.
///
/// # Errors
///
/// The answer to the call if the change must not be proposed: a redirection, a rejection, or the
/// acknowledgement of a change that was accepted before.
pub fn check_change(
    state: &ControlState,
    status: &LeadershipStatus,
    change: &Change,
    prepared: &Result<PreparedChange, Rejection>,
) -> Result<(), Reply> {
    if let Some(reply) = status.redirect() {
        return Err(reply);
    }
    let evaluation = match prepared {
        Ok(prepared) => state.evaluate_prepared(change, prepared),
        Err(rejection) => Err(rejection.clone()),
    };
    match evaluation {
        Ok(ChangeEvaluation::Applicable { .. }) => Ok(()),
        // A later leader may have changed the state.
        _ if !status.lease_valid() => Err(Reply::unclear()),
        Ok(ChangeEvaluation::AlreadyApplied) => Err(Reply::from_outcome(&Ok(CommandOutcome::AlreadyApplied))),
        Err(rejection) => Err(Reply::from_outcome(&Err(rejection))),
    }
}

/// The answer to a read of the configuration.
pub fn read_configuration(state: &ControlState, status: &LeadershipStatus) -> Reply {
    if let Some(reply) = status.redirect() {
        return reply;
    }
    match state.document().filter(|_| status.lease_valid()) {
        Some((document, _)) => Reply::Json(document.to_json()),
        None => Reply::Result(ResultCode::NoLeader, "no configuration, or the lease is not certain".into()),
    }
}
