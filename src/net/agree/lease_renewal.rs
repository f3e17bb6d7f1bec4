//! Keeps this process's leases alive: asks each voter for its grant several times in each lease, and publishes what came
//! of it. A majority's grants make the lease (Raft thesis, section 6.4.1, from the side of the one that holds it).

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
/// Between two requests of a process that lacks entries.
const CATCH_UP_INTERVAL: Duration = Duration::from_millis(5);
const MAX_RENEWAL_BACKOFF: Duration = Duration::from_secs(1);
/// The backoff grows with the root of the failures in a row, up to this many.
const MAX_BACKOFF_FAILURES: u32 = 6;
/// After a time-out the next request may take twice as long, this many times at most: a reply carries the entries that
/// the process lacks, which on a slow machine takes its time.
const MAX_TIMEOUT_DOUBLINGS: u32 = 3;

/// Whether a reply left entries to ask for.
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
    /// What the core acts on.
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

    /// One task for each voter, as the log names them.
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

    /// Asks one voter for its grant, again and again.
    async fn renew_at(self: Arc<Self>, id: VoterId) {
        let lease = duration(self.config.times.lease);
        let (mut failures, mut timeout_doublings) = (0u32, 0u32);
        loop {
            let (request, address) = {
                // The core has seen this view since the last reply: what the request says is prepared it keeps to.
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
                Err(problem) => {
                    debug!("lease renewal failed: voter {id}: {problem}");
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
        // Published under the holder's lock: the next request must not leave before the core can see this view.
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
