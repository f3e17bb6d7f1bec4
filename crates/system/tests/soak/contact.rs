//! Which processes are in touch: nothing was done to them, or to a core, for a while.

use std::collections::BTreeMap;
use std::sync::Mutex;
use std::time::{Duration, Instant};

/// `contact_ms` of the settings.
pub const CONTACT: Duration = Duration::from_millis(3_000);

/// A request as its client sent it.
#[derive(Clone, Copy, Debug)]
pub struct SentRequest {
    pub edge: usize,
    pub at: Instant,
}

/// When something was done to a process, and when requests were sent.
pub struct ContactLog {
    cores: Mutex<Vec<Instant>>,
    edges: Vec<Mutex<Vec<Instant>>>,
    sent: Mutex<BTreeMap<String, SentRequest>>,
}

impl ContactLog {
    pub fn new(edges: usize) -> ContactLog {
        ContactLog {
            cores: Mutex::default(),
            edges: (0..edges).map(|_| Mutex::default()).collect(),
            sent: Mutex::default(),
        }
    }

    /// A core was killed, started, stopped, frozen or thawed.
    pub fn core_disturbed(&self) {
        self.cores.lock().unwrap().push(Instant::now());
    }

    /// The same of an edge.
    pub fn edge_disturbed(&self, edge: usize) {
        self.edges[edge].lock().unwrap().push(Instant::now());
    }

    pub fn sent(&self, id: &str, edge: usize) {
        self.sent.lock().unwrap().insert(id.to_owned(), SentRequest { edge, at: Instant::now() });
    }

    /// The request with this id, if its edge and the cores were in touch from before it was sent until a moment.
    pub fn sent_in_touch(&self, id: &str, until: Instant) -> Option<SentRequest> {
        let request = *self.sent.lock().unwrap().get(id)?;
        let since = request.at.checked_sub(CONTACT)?;
        let is_calm = |disturbed: &Mutex<Vec<Instant>>| {
            !disturbed.lock().unwrap().iter().any(|at| (since..=until).contains(at))
        };
        (is_calm(&self.cores) && is_calm(&self.edges[request.edge])).then_some(request)
    }
}
