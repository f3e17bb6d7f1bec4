//! Admission of prompts by the leader, which decides which model server reads a prompt next, and when. If no
//! grant comes in time, the edge decides alone.

use super::shared::Shared;
use crate::clock;
use pathbank_protocol::message::{AdmissionRequest, Frame};
use pathbank_router::dispatcher::Offer;
use pathbank_router::model_servers::Instance;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

/// How long an edge waits for a grant.
const GRANT_TIMEOUT: Duration = Duration::from_millis(30);

/// Asks the leader which model server should get the request and when, and waits until then, as long as the
/// request can still be served in the time that its client has left. `None`: no grant came, and the edge
/// decides alone.
pub async fn wait_for_grant(shared: &Arc<Shared>, offer: &Offer) -> Option<Instance> {
    let (leader, request) = admission_request(shared, offer)?;
    let options = request.options.clone();
    let receiver = shared.admissions.add(clock::now(), offer.id)?;
    let sent = shared.mesh.get().is_some_and(|mesh| mesh.send(leader, &Frame::AdmissionRequest(request)));
    let grant = match sent {
        true => tokio::time::timeout(GRANT_TIMEOUT, receiver).await.ok().and_then(Result::ok),
        false => None,
    };
    let Some(grant) = grant else {
        shared.admissions.timed_out(clock::now(), offer.id);
        return None;
    };
    let now = clock::now();
    let latest_start = shared.decisions().dispatcher.latest_start(now, offer);
    let start = latest_start.min(now + u64::from(grant.wait_ms));
    if start > now {
        tokio::time::sleep(clock::until(start)).await;
    }
    options.into_iter().nth(grant.option as usize).map(|option| option.instance)
}

/// The leader's address, and the request for a grant. `None`: there is no leader or no choice.
fn admission_request(shared: &Shared, offer: &Offer) -> Option<(SocketAddr, AdmissionRequest)> {
    let now = clock::now();
    let decisions = shared.decisions();
    let leader = decisions.core_choice.leader()?;
    let options = decisions.dispatcher.admission_options(now, offer);
    let urgency = decisions.dispatcher.reserving_urgency(now, offer);
    (!options.is_empty()).then_some((leader, AdmissionRequest { request: offer.id, options, urgency }))
}
