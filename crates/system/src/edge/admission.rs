//! Admission of prompts by the leader, which decides which model server reads a prompt next, and when. If no
//! grant comes in time, the edge decides alone.

use super::shared::Shared;
use crate::clock;
use pathbank_protocol::message::{AdmissionOption, AdmissionRequest, Frame};
use pathbank_router::dispatcher::Offer;
use pathbank_router::model_servers::Instance;
use std::sync::Arc;
use std::time::Duration;

/// How long an edge waits for a grant.
const GRANT_TIMEOUT: Duration = Duration::from_millis(30);

/// Asks the leader which model server should get the request and when, and waits until then, as long as the
/// request can still be served in the time that its client has left. `None`: no grant came, and the edge
/// decides alone.
pub async fn wait_for_grant(shared: &Arc<Shared>, offer: &Offer) -> Option<Instance> {
    let (leader, options) = leader_and_options(shared, offer)?;
    let receiver = shared.admissions.add(clock::now(), offer.id)?;
    let request = AdmissionRequest { request: offer.id, options: options.clone(), urgency: offer.urgency };
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

/// The leader's address, and the model servers among which it may choose. `None`: there is no leader or no
/// choice.
fn leader_and_options(
    shared: &Shared,
    offer: &Offer,
) -> Option<(std::net::SocketAddr, Vec<AdmissionOption>)> {
    let decisions = shared.decisions();
    let leader = decisions.core_choice.leader()?;
    let options = decisions.dispatcher.admission_options(clock::now(), offer);
    (!options.is_empty()).then_some((leader, options))
}
