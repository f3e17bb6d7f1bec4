//! Renews this process's leases: requests a grant from each voter several times in each lease, and publishes the
//! resulting view. The process holds a lease once a majority has granted it (Raft thesis, section 6.4.1).

use super::call::{CallError, Caller};
use super::runtime::{duration, lock};
use super::wire::RENEW_PATH;
use crate::agree::lease_holder::{LeaseHolder, LeaseView};
use crate::agree::{HolderId, Message, VoterId};
use crate::clock::LeaseClock;
use crate::config::agree::Agreement;
use crate::core::{Handle, Input};
use log::debug;
use std::collections::BTreeMap;
use std::sync::{Arc, Mutex};
use tokio::sync::watch;
use tokio::task::JoinHandle;
use tokio::time::{Duration, sleep};

const RENEWALS_PER_LEASE: u32 = 4;
/// The interval between requests while the process lacks entries.
const CATCH_UP_INTERVAL: Duration = Duration::from_millis(5);
const MAX_RENEWAL_BACKOFF: Duration = Duration::from_secs(1);
/// The backoff grows with the square root of the number of failures in a row, up to this number.
const MAX_BACKOFF_FAILURES: u32 = 6;
/// The timeout doubles after each timeout, up to this many times: a reply contains the entries that the process lacks,
/// which a slow machine takes long to send and apply.
const MAX_TIMEOUT_DOUBLINGS: u32 = 3;

/// Whether the process may lack further entries after a reply.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Progress {
    UpToDate,
    Behind,
}

pub(super) struct LeaseRenewal {
    config: Agreement,
    caller: Caller,
    pace: LeaseClock,
    handle: Handle,
    holder: Mutex<LeaseHolder>,
    /// The view on which the core acts.
    view: Arc<Mutex<LeaseView>>,
    membership_changed: watch::Sender<()>,
}

impl LeaseRenewal {
    pub(super) fn new(
        id: HolderId,
        config: Agreement,
        caller: Caller,
        pace: LeaseClock,
        handle: Handle,
    ) -> Arc<LeaseRenewal> {
        let holder = LeaseHolder::new(id, &config.voters, config.times);
        let view = Arc::new(Mutex::new(holder.view().clone()));
        let (holder, membership_changed) = (Mutex::new(holder), watch::Sender::new(()));
        Arc::new(LeaseRenewal { config, caller, pace, handle, holder, view, membership_changed })
    }

    pub(super) fn view(&self) -> Arc<Mutex<LeaseView>> {
        self.view.clone()
    }

    /// Runs one task for each voter of the current membership.
    pub(super) async fn run(self: Arc<Self>) {
        let mut membership_changed = self.membership_changed.subscribe();
        let mut tasks: BTreeMap<VoterId, JoinHandle<()>> = BTreeMap::new();
        loop {
            let voters = lock(&self.holder).voters().clone();
            tasks.retain(|id, task| {
                let is_voter = voters.contains_key(id);
                if !is_voter {
                    task.abort();
                }
                is_voter
            });
            for id in voters.into_keys() {
                tasks.entry(id).or_insert_with(|| tokio::spawn(self.clone().renew_at(id)));
            }
            if membership_changed.changed().await.is_err() {
                return;
            }
        }
    }

    /// Requests a grant from one voter repeatedly.
    async fn renew_at(self: Arc<Self>, id: VoterId) {
        let lease = duration(self.config.times.lease);
        let (mut failures, mut timeout_doublings) = (0u32, 0u32);
        loop {
            let (request, address) = {
                // The core has had this view since the last reply, so it acts by all entries that the request calls
                // prepared.
                let holder = lock(&self.holder);
                (holder.renew(self.pace.now()), self.config.address(id, holder.voters()))
            };
            let timeout = lease / 2 * (1 << timeout_doublings);
            let reply = match address {
                Some(address) => self.caller.call::<Message>(&address, RENEW_PATH, &request, timeout).await,
                None => Err(CallError::NoAddress),
            };
            timeout_doublings = match &reply {
                Err(CallError::TimedOut) => (timeout_doublings + 1).min(MAX_TIMEOUT_DOUBLINGS),
                _ => 0,
            };
            let wait = match reply {
                Ok(reply) => {
                    failures = 0;
                    match self.apply_reply(id, reply) {
                        Progress::Behind => CATCH_UP_INTERVAL,
                        Progress::UpToDate => lease / RENEWALS_PER_LEASE,
                    }
                }
                Err(error) => {
                    debug!("lease renewal failed: voter {id}: {error}");
                    failures = (failures + 1).min(MAX_BACKOFF_FAILURES);
                    let backoff = (lease / RENEWALS_PER_LEASE).mul_f64(f64::from(failures).sqrt());
                    backoff.min(MAX_RENEWAL_BACKOFF)
                }
            };
            sleep(wait.mul_f64(0.8 + 0.2 * fastrand::f64())).await;
        }
    }

    fn apply_reply(&self, from: VoterId, reply: Message) -> Progress {
        let behind = matches!(
            &reply,
            Message::LeaseReply { entries, snapshot, .. } if !entries.is_empty() || snapshot.is_some()
        );
        let mut holder = lock(&self.holder);
        let (before, voters) = (holder.view().clone(), holder.voters().clone());
        holder.step(from, reply);
        let now = self.pace.now();
        let changed = before.state().applied() != holder.view().state().applied()
            || before.level(now) != holder.view().level(now);
        // Published under the holder's lock, so that the next request is not sent before the core can see this view.
        *lock(&self.view) = holder.view().clone();
        if *holder.voters() != voters {
            self.membership_changed.send_replace(());
        }
        drop(holder);
        if changed {
            self.handle.send(Input::AgreementChanged);
        }
        if behind { Progress::Behind } else { Progress::UpToDate }
    }
}
