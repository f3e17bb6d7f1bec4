//! Simulated operators: they change and read the configuration at any core, lose answers, and repeat calls.

use crate::history::{Call, Operation, Outcome};
use pathbank_control::operator_calls::Reply;
use pathbank_control::result_code::ResultCode;
use pathbank_control::state::{Change, ChangeKind};
use serde_json::json;

/// An operator abandons a call after this many attempts.
const MAX_ATTEMPTS: u32 = 12;
/// The time-out of an attempt, milliseconds.
pub const ATTEMPT_TIMEOUT_MS: u64 = 1_000;

/// One operator.
pub struct Operator {
    /// The newest version that the operator knows.
    known: u64,
    current: Option<Open>,
    /// When the operator makes its next attempt.
    pub acts_at: u64,
}

struct Open {
    operation: Operation,
    change: Option<Change>,
    /// The version that the change brings.
    version: u64,
    began: u64,
    attempts: u32,
    /// The machine to which a core redirected the call.
    next: Option<usize>,
}

/// An attempt of a call.
pub struct Attempt {
    pub machine: Option<usize>,
    pub change: Option<Change>,
}

/// A change with content that no other change has.
pub fn change(id: u64, base: u64, version: u64) -> Change {
    let body = json!({ "version": version, "upsert": { "limits": { "max_body_bytes": id } } });
    Change { kind: ChangeKind::Update, base, body: body.to_string() }
}

impl Operator {
    pub fn new(acts_at: u64) -> Operator {
        Operator { known: 0, current: None, acts_at }
    }

    /// The next attempt of the current call, or the first one of a new call. `draw`: any number; `id`: the
    /// number of the change if a new one begins.
    pub fn next_attempt(&mut self, now: u64, draw: u64, id: u64) -> (Attempt, Option<(u64, u64)>) {
        let mut began = None;
        if self.current.is_none() {
            let operation = match draw % 3 {
                0 => Operation::Read,
                _ => Operation::Change { id, base: self.known },
            };
            let version = self.known + 1 + draw / 3 % 4;
            let change = match operation {
                Operation::Read => None,
                Operation::Change { id, base } => {
                    began = Some((id, version));
                    Some(change(id, base, version))
                }
            };
            self.current = Some(Open { operation, change, version, began: now, attempts: 0, next: None });
        }
        let open = self.current.as_mut().expect("a call is open");
        open.attempts += 1;
        (Attempt { machine: open.next.take(), change: open.change.clone() }, began)
    }

    /// Takes the reply to an attempt. Returns the call if it has ended.
    pub fn receive_reply(
        &mut self,
        now: u64,
        reply: Option<&Reply>,
        machine_at: impl Fn(&str) -> Option<usize>,
    ) -> Option<Call> {
        let open = self.current.as_mut()?;
        let outcome = match reply {
            Some(Reply::Json(body)) => {
                let document: serde_json::Value = serde_json::from_slice(body).expect("a document");
                self.known = document["version"].as_u64().unwrap_or(0);
                Outcome::Read(document["limits"]["max_body_bytes"].as_u64().unwrap_or(0))
            }
            Some(Reply::Result(ResultCode::Done, _)) => {
                self.known = open.version;
                Outcome::Acknowledged
            }
            Some(Reply::Result(ResultCode::BaseMismatch | ResultCode::VersionNotAbove, _)) => {
                Outcome::Rejected
            }
            Some(Reply::LeaderAt(address)) => {
                open.next = machine_at(address);
                self.acts_at = now + 2;
                return None;
            }
            _ if open.attempts < MAX_ATTEMPTS => {
                self.acts_at = now + 50 * u64::from(open.attempts);
                return None;
            }
            _ => Outcome::Nothing,
        };
        let open = self.current.take()?;
        self.acts_at = now + 20;
        Some(Call { operation: open.operation, began: open.began, ended: now, outcome })
    }

    /// Ends the call that is unanswered at the end of the history.
    pub fn end(&mut self, now: u64) -> Option<Call> {
        let open = self.current.take()?;
        Some(Call { operation: open.operation, began: open.began, ended: now, outcome: Outcome::Nothing })
    }
}
