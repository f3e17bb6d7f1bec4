//! The steps of recent requests at this edge, for operators. The log holds a limited number of requests and
//! drops the oldest one first.

use crate::Millis;
use crate::answer::AnswerError;
use pathbank_control::result_code::ResultCode;
use std::collections::{HashMap, VecDeque};

/// The limit of requests in the log.
pub const MAX_REQUESTS: usize = 256;
/// The limit of steps of one request; later ones are dropped.
const MAX_STEPS: usize = 24;

/// A step of a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Step {
    /// The edge has received the complete request and found its route.
    Accepted {
        /// The route's name.
        route: String,
        /// The backend that the route chose.
        backend: String,
        /// The model, with an adapter after a slash; empty: the request names no model.
        model: String,
    },
    /// The edge rejected the request; it did not run.
    Refused {
        /// The reason.
        code: ResultCode,
    },
    /// The request was sent to a model server.
    Sent {
        /// The model server's incarnation.
        instance: String,
    },
    /// The model server did not run the request.
    NotRun,
    /// The connection to the model server broke; the request may have run.
    Broken,
    /// The request timed out; it may have run.
    TimedOut,
    /// The model server began to answer.
    Answered {
        /// The answer's status.
        status: u16,
    },
    /// The model server sent bytes that are no part of an answer.
    Malformed {
        /// What is wrong with them.
        error: AnswerError,
    },
    /// The stream is resumed at another model server.
    Resuming,
    /// The answer is complete.
    Complete,
    /// The client disconnected, or the edge shut down, before the answer was complete.
    Abandoned,
}

/// A step with its time.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TimedStep {
    /// Milliseconds after the request arrived.
    pub after_ms: Millis,
    /// The step.
    pub step: Step,
}

#[derive(Clone, Debug)]
struct LoggedRequest {
    arrived: Millis,
    steps: Vec<TimedStep>,
}

/// The log of recent requests.
#[derive(Clone, Debug, Default)]
pub struct RequestLog {
    by_id: HashMap<String, LoggedRequest>,
    /// Ids, oldest first.
    order: VecDeque<String>,
}

impl RequestLog {
    /// Records a step of the request with the client's id `id`; the first step adds the request.
    pub fn record(&mut self, now: Millis, id: &str, step: Step) {
        if let Some(logged) = self.by_id.get_mut(id) {
            if logged.steps.len() < MAX_STEPS {
                logged.steps.push(TimedStep { after_ms: now.saturating_sub(logged.arrived), step });
            }
            return;
        }
        if self.order.len() >= MAX_REQUESTS
            && let Some(oldest) = self.order.pop_front()
        {
            self.by_id.remove(&oldest);
        }
        let steps = vec![TimedStep { after_ms: 0, step }];
        self.order.push_back(id.to_owned());
        self.by_id.insert(id.to_owned(), LoggedRequest { arrived: now, steps });
    }

    /// The steps of a request, oldest first; `None`: the log does not hold the request (any more).
    pub fn steps(&self, id: &str) -> Option<&[TimedStep]> {
        self.by_id.get(id).map(|logged| logged.steps.as_slice())
    }
}
