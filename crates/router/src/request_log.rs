//! What became of the latest requests at this edge, step by step, for operators who ask about one.
//!
//! Bounded by count: the oldest request is forgotten first.

use crate::Millis;
use pathbank_control::result_code::ResultCode;
use std::collections::{HashMap, VecDeque};

/// Requests that are kept.
pub const MAX_REQUESTS: usize = 256;
/// Steps of one request that are kept; a stream that is taken up again and again loses its later ones.
const MAX_STEPS: usize = 24;

/// One step of a request's way.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Step {
    /// It was read whole and has a route.
    Accepted {
        /// The route's name.
        route: String,
        /// The service that the route chose.
        backend: String,
        /// The model, with an adapter behind a slash; empty: none.
        model: String,
    },
    /// It was answered by the edge itself, without running.
    Refused {
        /// Why.
        code: ResultCode,
    },
    /// It went to a model server.
    Sent {
        /// The model server's incarnation.
        instance: String,
    },
    /// The model server did not run it.
    NotRun,
    /// The model server broke off; it may have run.
    Broken,
    /// The time is up; it may have run.
    TimedOut,
    /// The model server began to answer.
    Answered {
        /// The answer's status.
        status: u16,
    },
    /// A stream is taken up at another model server.
    Resuming,
    /// The answer is whole.
    Complete,
    /// The client left, or the edge stopped, before the answer was whole.
    Abandoned,
}

/// A step, and when it happened.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TimedStep {
    /// Milliseconds after the request came.
    pub after_ms: Millis,
    /// What happened.
    pub step: Step,
}

#[derive(Clone, Debug)]
struct LoggedRequest {
    arrived: Millis,
    steps: Vec<TimedStep>,
}

/// The latest requests.
#[derive(Clone, Debug, Default)]
pub struct RequestLog {
    by_id: HashMap<String, LoggedRequest>,
    /// Ids, oldest first.
    order: VecDeque<String>,
}

impl RequestLog {
    /// A step of the request with the client's id `id`; the first one tells of a request that has just come.
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

    /// The steps of a request, oldest first; `None`: it is not known, or forgotten.
    pub fn steps(&self, id: &str) -> Option<&[TimedStep]> {
        self.by_id.get(id).map(|logged| logged.steps.as_slice())
    }
}
