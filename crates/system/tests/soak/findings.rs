//! What was seen, and what of it must not be.

use crate::clients::{Ask, Connection, Outcome};
use crate::common::{System, until};
use crate::contact::ContactLog;
use crate::operators::{Acknowledged, Confirmed};
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Mutex;
use std::sync::atomic::{AtomicU64, Ordering};

/// One incarnation of an edge's process, as the clients know it.
#[derive(Default)]
struct EdgeIncarnation {
    /// Rises with each start.
    incarnation: AtomicU64,
    /// Rises with each disturbance that may cut an answer: a kill, a freeze.
    broken: AtomicU64,
    /// The highest version of which this incarnation served a route.
    served: AtomicU64,
}

/// What an edge went through before a request was sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct EdgeMark {
    incarnation: u64,
    broken: u64,
    served: u64,
}

/// A request that was written whole and whose connection ended without an answer.
struct Unanswered {
    id: String,
    edge: usize,
    undisturbed: bool,
}

pub struct Findings {
    edges: Vec<EdgeIncarnation>,
    found: Mutex<Vec<String>>,
    unanswered: Mutex<Vec<Unanswered>>,
    counts: Mutex<BTreeMap<String, usize>>,
    confirmed: Confirmed,
    contact: ContactLog,
    /// Requests that were sent after the disturbances.
    asked_at_end: AtomicU64,
}

impl Findings {
    pub fn new(edges: usize) -> Findings {
        Findings {
            edges: (0..edges).map(|_| EdgeIncarnation::default()).collect(),
            found: Mutex::default(),
            unanswered: Mutex::default(),
            counts: Mutex::default(),
            confirmed: Confirmed::default(),
            contact: ContactLog::new(edges),
            asked_at_end: AtomicU64::new(0),
        }
    }

    /// The changes that were confirmed so far.
    pub fn confirmed(&self) -> Confirmed {
        self.confirmed.clone()
    }

    /// Who was in touch when.
    pub fn contact(&self) -> &ContactLog {
        &self.contact
    }

    pub fn find(&self, what: String) {
        self.found.lock().unwrap().push(what);
    }

    pub fn all(&self) -> Vec<String> {
        self.found.lock().unwrap().clone()
    }

    pub fn count(&self, what: &str) {
        *self.counts.lock().unwrap().entry(what.to_owned()).or_default() += 1;
    }

    pub fn summary(&self) -> String {
        format!("{:?}", self.counts.lock().unwrap())
    }

    // ---- edges ----

    pub fn edge_starts(&self, edge: usize) {
        self.edges[edge].incarnation.fetch_add(1, Ordering::SeqCst);
        self.edges[edge].served.store(0, Ordering::SeqCst);
    }

    pub fn edge_breaks(&self, edge: usize) {
        self.edges[edge].broken.fetch_add(1, Ordering::SeqCst);
    }

    pub fn mark(&self, edge: usize) -> EdgeMark {
        let state = &self.edges[edge];
        EdgeMark {
            incarnation: state.incarnation.load(Ordering::SeqCst),
            broken: state.broken.load(Ordering::SeqCst),
            served: state.served.load(Ordering::SeqCst),
        }
    }

    /// Whether the process is the one of the mark, and was neither killed nor frozen since.
    fn is_undisturbed(&self, edge: usize, mark: EdgeMark) -> bool {
        let now = self.mark(edge);
        (now.incarnation, now.broken) == (mark.incarnation, mark.broken)
    }

    // ---- requests ----

    /// A client's request has ended. `version`: the one that brought its route; 0: it was there from the
    /// start.
    pub fn note(&self, edge: usize, mark: EdgeMark, id: &str, version: u64, outcome: &Outcome) {
        match outcome {
            Outcome::Answered { status: 200, body } => {
                self.count("200");
                if *body != format!("tenant-1:{id}") {
                    self.find(format!("{id} at edge {edge}: another request's answer: {body}"));
                }
                if self.is_undisturbed(edge, mark) {
                    self.edges[edge].served.fetch_max(version, Ordering::SeqCst);
                }
            }
            Outcome::Answered { status, .. } => {
                self.count(&status.to_string());
                let is_refused = [401, 403, 404].contains(status);
                let went_back = version <= mark.served && self.is_undisturbed(edge, mark);
                if is_refused && (version == 0 || went_back) {
                    let served = mark.served;
                    self.find(format!(
                        "{id} at edge {edge}: {status} for a route of version {version}, which served {served}"
                    ));
                }
            }
            Outcome::NotSent => self.count("not sent"),
            Outcome::Unanswered => {
                self.count("unanswered");
                let undisturbed = self.is_undisturbed(edge, mark);
                self.unanswered.lock().unwrap().push(Unanswered { id: id.to_owned(), edge, undisturbed });
            }
        }
    }

    /// No request ran twice, and none that ran was left without an answer by a process that was not killed.
    pub fn check_runs(&self, runs: &[Vec<String>]) {
        let mut seen = BTreeSet::new();
        for id in runs.iter().flatten() {
            if !seen.insert(id) {
                self.find(format!("{id} ran twice"));
            }
        }
        for request in self.unanswered.lock().unwrap().iter() {
            if request.undisturbed && seen.contains(&request.id) {
                self.find(format!("{} at edge {} ran and got no answer", request.id, request.edge));
            }
        }
    }

    // ---- the end ----

    /// Every edge serves every route that was confirmed.
    pub fn until_all_serve(&self, system: &System, acknowledged: &[Acknowledged]) {
        let newest = acknowledged.iter().rev().take(20);
        let paths: Vec<String> =
            newest.map(super::operators::Acknowledged::path).chain([operators_first_path()]).collect();
        for (edge, local) in system.local.edges.iter().enumerate() {
            for path in &paths {
                until(&format!("edge {edge} serves {path}"), || {
                    let id = format!("end-{}", self.asked_at_end.fetch_add(1, Ordering::Relaxed));
                    let connection = Connection::open(local.ingress);
                    let outcome = connection.map(|mut connection| connection.ask(&Ask::of(path, &id)));
                    matches!(outcome, Some(Outcome::Answered { status: 200, .. }))
                });
            }
        }
    }

    /// What is read back is the newest that was confirmed, with all that was confirmed before.
    pub fn check_read_back(&self, system: &System, acknowledged: &[Acknowledged]) {
        let mut read = None;
        until("the configuration is read", || {
            read = system.read_configuration();
            read.is_some()
        });
        let document = read.unwrap_or_default();
        let routes = document["routes"].as_array().cloned().unwrap_or_default();
        let names: BTreeSet<&str> = routes.iter().filter_map(|route| route["name"].as_str()).collect();
        for change in acknowledged {
            if !names.contains(change.name().as_str()) {
                self.find(format!("version {} was confirmed and is not there any more", change.version));
            }
        }
    }
}

fn operators_first_path() -> String {
    "/app/x".to_owned()
}
