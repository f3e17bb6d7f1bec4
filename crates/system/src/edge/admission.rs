//! Where and when a prompt is sent, by the leader's grant. Whoever hears nothing in time goes on alone.

use super::shared::Shared;
use crate::clock;
use pathbank_protocol::message::{AdmissionGrant, AdmissionOption, AdmissionRequest, Frame};
use pathbank_router::dispatcher::Offer;
use pathbank_router::model_servers::Instance;
use std::collections::HashMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;
use tokio::sync::oneshot;

/// A grant that has not come after this is not waited for any longer.
const GRANT_WITHIN: Duration = Duration::from_millis(30);
/// After so many questions in a row without an answer none is asked for a while, milliseconds.
const MOST_UNANSWERED: u32 = 3;
const SILENT_FOR: u64 = 500;
/// From so many open questions on, those whose clients have left are looked for.
const MANY_WAITING: usize = 64;
/// A granted wait is kept up to this part of the request's objective.
const WAIT_PART: f64 = 0.5;

/// Questions to the leader that wait for a grant.
#[derive(Default)]
pub struct Admissions {
    state: Mutex<State>,
}

#[derive(Default)]
struct State {
    waiting: HashMap<u64, oneshot::Sender<AdmissionGrant>>,
    unanswered: u32,
    silent_until: u64,
}

impl Admissions {
    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// The leader's grant came.
    pub fn granted(&self, grant: AdmissionGrant) {
        let mut state = self.state();
        state.unanswered = 0;
        if let Some(waiting) = state.waiting.remove(&grant.request) {
            // Whoever asked may have gone on alone.
            let _ = waiting.send(grant);
        }
    }

    /// Notes a question. `None`: the leader has not answered the last ones.
    fn asked(&self, now: u64, request: u64) -> Option<oneshot::Receiver<AdmissionGrant>> {
        let mut state = self.state();
        if now < state.silent_until {
            return None;
        }
        // Whoever asked and left with its client waits no more.
        if state.waiting.len() >= MANY_WAITING {
            state.waiting.retain(|_, waiting| !waiting.is_closed());
        }
        let (sender, receiver) = oneshot::channel();
        state.waiting.insert(request, sender);
        Some(receiver)
    }

    fn unanswered(&self, now: u64, request: u64) {
        let mut state = self.state();
        state.waiting.remove(&request);
        state.unanswered += 1;
        if state.unanswered >= MOST_UNANSWERED {
            (state.unanswered, state.silent_until) = (0, now + SILENT_FOR);
        }
    }
}

/// Asks the leader for a model server and a moment, and waits for that moment. `None`: the edge decides
/// alone.
pub async fn wait_for_grant(shared: &Arc<Shared>, offer: &Offer) -> Option<Instance> {
    let (leader, options) = question(shared, offer)?;
    let receiver = shared.admissions.asked(clock::now(), offer.id)?;
    let request = AdmissionRequest { request: offer.id, options: options.clone(), urgency: offer.urgency };
    let sent = shared.mesh.get().is_some_and(|mesh| mesh.send(leader, &Frame::AdmissionRequest(request)));
    let grant = match sent {
        true => tokio::time::timeout(GRANT_WITHIN, receiver).await.ok().and_then(Result::ok),
        false => None,
    };
    let Some(grant) = grant else {
        shared.admissions.unanswered(clock::now(), offer.id);
        return None;
    };
    let longest = (WAIT_PART * offer.target_latency_ms as f64) as u64;
    let wait = u64::from(grant.wait_ms).min(longest);
    if wait > 0 {
        tokio::time::sleep(Duration::from_millis(wait)).await;
    }
    options.into_iter().nth(grant.option as usize).map(|option| option.instance)
}

fn question(shared: &Shared, offer: &Offer) -> Option<(std::net::SocketAddr, Vec<AdmissionOption>)> {
    let deciding = shared.deciding();
    let leader = deciding.core_choice.leader()?;
    let options = deciding.dispatcher.admission_options(clock::now(), offer);
    (!options.is_empty()).then_some((leader, options))
}
