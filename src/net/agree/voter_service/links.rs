//! Links to the peers. One task per peer sends one message at a time, passes the answers to the voter, and backs off
//! after failures.

use super::super::runtime::{duration, lock};
use super::super::wire::{MESSAGE_PATH, MessageEnvelope, MessageReply};
use super::VoterService;
use crate::agree::{Message, VoterId};
use log::debug;
use std::collections::BTreeMap;
use std::sync::{Arc, Mutex};
use tokio::sync::mpsc;
use tokio::time::{Duration, sleep};

/// Messages to one peer that wait while another is sent. Only the last of them is sent.
const MAX_QUEUED_MESSAGES: usize = 8;
/// The backoff starts at a heartbeat interval and doubles with each failure up to this.
const MAX_BACKOFF: Duration = Duration::from_secs(1);
const MAX_BACKOFF_DOUBLINGS: u32 = 8;

#[derive(Default)]
pub(super) struct PeerLinks(Mutex<BTreeMap<VoterId, mpsc::Sender<Message>>>);

impl PeerLinks {
    /// Queues a message. If the queue is full, the message is dropped, and the next heartbeat makes up for it.
    pub(super) fn send(&self, service: &Arc<VoterService>, to: VoterId, message: Message) {
        let mut links = lock(&self.0);
        let link = links.entry(to).or_insert_with(|| {
            let (sender, receiver) = mpsc::channel(MAX_QUEUED_MESSAGES);
            tokio::spawn(run(service.clone(), to, receiver));
            sender
        });
        let _ = link.try_send(message);
    }
}

async fn run(service: Arc<VoterService>, to: VoterId, mut messages: mpsc::Receiver<Message>) {
    let mut failures: u32 = 0;
    while let Some(mut message) = messages.recv().await {
        // A later message supersedes earlier ones.
        while let Ok(later) = messages.try_recv() {
            message = later;
        }
        let Some((address, timeout, envelope)) = address_and_envelope(&service, to, message) else {
            continue;
        };
        match service.caller.call::<MessageReply>(&address, MESSAGE_PATH, &envelope, timeout).await {
            Ok(reply) => {
                failures = 0;
                step_replies(&service, to, reply);
            }
            Err(error) => {
                debug!("message to peer failed: voter {to} at {address}: {error}");
                failures = (failures + 1).min(MAX_BACKOFF_DOUBLINGS);
                let backoff = duration(service.config.times.heartbeat_interval * (1 << failures) / 2);
                sleep(backoff.min(MAX_BACKOFF).mul_f64(0.5 + fastrand::f64() / 2.0)).await;
            }
        }
    }
}

/// The peer's address, the timeout of the call and the message in its envelope. `None`: the voter's database cannot be
/// used, or the peer has no address.
fn address_and_envelope(
    service: &VoterService,
    to: VoterId,
    message: Message,
) -> Option<(String, Duration, MessageEnvelope)> {
    let guard = lock(&service.host);
    let host = guard.as_ref()?;
    let address = service.config.address(to, host.voter.voters())?;
    let timeout = duration(host.voter.current_election_timeout(service.pace.now()));
    let envelope =
        MessageEnvelope { from: host.database.id(), incarnation: host.voter.incarnation(), message };
    Some((address, timeout, envelope))
}

fn step_replies(service: &Arc<VoterService>, from: VoterId, reply: MessageReply) {
    let MessageReply { incarnation, messages } = reply;
    for message in messages {
        // If the database fails here, the timers open it again.
        let _ = service
            .update(|voter, now| ((), voter.step(now, fastrand::u64(..), (from, incarnation), message)));
    }
}
