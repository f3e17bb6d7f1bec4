//! Runs the voter of this process with its database: changes of its persistent state are on disk before any message
//! that depends on them is sent. `host` combines voter and database, `links` sends messages to the peers, `requests`
//! waits for proposals to be committed, and `inspection` answers operators.

mod host;
mod inspection;
mod links;
mod requests;

use super::call::Caller;
use super::database::{DatabaseError, VoterDatabase};
use super::runtime::{duration, lock, log_started};
use super::serve;
use super::wire::{MessageEnvelope, MessageReply};
use crate::agree::voter::{Output, Recipient, Voter};
use crate::agree::{Index, Message, Micros, VoterId};
use crate::clock::LeaseClock;
use crate::config::agree::{Agreement, VoterSettings};
use crate::event;
use host::VoterHost;
use links::PeerLinks;
use pathbank_memory::share::MemoryShare;
use std::net::TcpListener;
use std::sync::{Arc, Mutex};
use thiserror::Error;
use tokio::sync::watch;
use tokio::time::{Duration, Instant, sleep, sleep_until};

/// The longest time between two ticks of the voter.
const MAX_TICK_INTERVAL: Duration = Duration::from_millis(100);
/// The shortest time between two ticks of the voter.
const MIN_TICK_INTERVAL: Duration = Duration::from_millis(1);
/// The first backoff before a failed database is opened again. Each attempt reads all of it and has the leader send its
/// entries again, on the thread that also renews this process's leases.
const MIN_REOPEN_BACKOFF: Duration = Duration::from_secs(1);
/// The backoff doubles up to this.
const MAX_REOPEN_BACKOFF: Duration = Duration::from_secs(4);
/// A database that was usable for this long resets the backoff.
const REOPEN_BACKOFF_RESET: Duration = Duration::from_secs(10);

/// Why a voter does not answer.
#[derive(Debug, Error)]
pub(super) enum VoterError {
    /// The database cannot be used now; it is opened again after a backoff.
    #[error("the voter's disk cannot be used")]
    Unavailable,
    /// Reading the requested data failed.
    #[error(transparent)]
    Database(#[from] DatabaseError),
}

/// The voter of this process, with its links to peers and its pending requests.
pub(super) struct VoterService {
    config: Agreement,
    settings: VoterSettings,
    pace: LeaseClock,
    /// `None`: the database cannot be used now.
    host: Mutex<Option<VoterHost>>,
    links: PeerLinks,
    caller: Caller,
    /// The memory for calls.
    memory: MemoryShare,
    /// The last committed entry, for requests that wait for a commit.
    commits: watch::Sender<Index>,
}

impl VoterService {
    /// Creates the service. `None`: the configuration has no voter for this process.
    pub(super) fn new(
        config: Agreement,
        caller: Caller,
        pace: LeaseClock,
        memory: MemoryShare,
    ) -> Option<VoterService> {
        let settings = config.voter.clone()?;
        let (host, links, commits) = (Mutex::default(), PeerLinks::default(), watch::Sender::new(0));
        Some(VoterService { config, settings, pace, host, links, caller, commits, memory })
    }

    pub(super) fn cluster(&self) -> &str {
        &self.config.cluster
    }

    pub(super) fn memory(&self) -> &MemoryShare {
        &self.memory
    }

    pub(super) fn max_connections(&self) -> usize {
        self.settings.max_connections
    }

    /// Binds the listener, then opens the database, so that only the process that has the address uses the database.
    /// `None`: the address cannot be bound.
    pub(super) fn bind(&self) -> Option<TcpListener> {
        let bound = TcpListener::bind(self.settings.listen);
        match bound.and_then(|listener| listener.set_nonblocking(true).map(|()| listener)) {
            Ok(listener) => {
                self.open();
                let id = lock(&self.host).as_ref().map(|host| host.database.id());
                log_started(&self.config.cluster, Some(&listener), id);
                Some(listener)
            }
            Err(error) => {
                event!(VOTER_ILL, problem:% = error);
                None
            }
        }
    }

    /// Serves peers, lease holders and operators. Without a listener, binds one first, and retries until that succeeds.
    pub(super) async fn run(self: Arc<Self>, mut listener: Option<TcpListener>) {
        let listener = loop {
            if let Some(listener) = listener.take() {
                break listener;
            }
            sleep(MIN_REOPEN_BACKOFF).await;
            listener = self.bind();
        };
        match tokio::net::TcpListener::from_std(listener) {
            Ok(listener) => {
                tokio::spawn(self.clone().run_timers());
                serve::serve(listener, self).await;
            }
            Err(error) => event!(ACCEPT_FAILED, problem:% = error),
        }
    }

    /// Opens the database, unless it is open.
    fn open(&self) {
        let mut host = lock(&self.host);
        if host.is_some() {
            return;
        }
        match VoterDatabase::open(&self.settings.directory, self.settings.max_bytes) {
            Ok((database, saved)) => {
                let (id, last) = (database.id(), saved.log.last_index());
                event!(VOTER_BACK, voter = id, starts = saved.incarnation >> 32, last);
                let (times, now) = (self.config.times, self.pace.now());
                let voter = Voter::new(id, &self.config.voters, times, saved, now, fastrand::u64(..));
                *host = Some(VoterHost::new(voter, database));
            }
            Err(error) => event!(VOTER_ILL, problem:% = error),
        }
    }

    /// Ticks the voter, and opens the database again after a failure.
    async fn run_timers(self: Arc<Self>) {
        let (mut opened_at, mut backoff) = (Instant::now(), MIN_REOPEN_BACKOFF);
        loop {
            let next_tick_at = lock(&self.host).as_ref().map(|host| host.voter.next_tick_at());
            let Some(next_tick_at) = next_tick_at else {
                if opened_at.elapsed() >= REOPEN_BACKOFF_RESET {
                    backoff = MIN_REOPEN_BACKOFF;
                }
                sleep_until(opened_at + backoff).await;
                backoff = (2 * backoff).min(MAX_REOPEN_BACKOFF);
                opened_at = Instant::now();
                self.open();
                continue;
            };
            let wait = duration(next_tick_at.saturating_sub(self.pace.now()));
            sleep(wait.clamp(MIN_TICK_INTERVAL, MAX_TICK_INTERVAL)).await;
            // If the database fails here, the next iteration opens it again.
            let _ = self.update(|voter, now| ((), voter.tick(now, fastrand::u64(..))));
        }
    }

    /// Calls the voter, saves the changes of its persistent state, and sends its messages to the peers.
    fn update<T>(
        self: &Arc<Self>,
        action: impl FnOnce(&mut Voter, Micros) -> (T, Output),
    ) -> Result<T, VoterError> {
        let (result, messages) = self.save_update(action)?;
        self.send(messages, None);
        Ok(result)
    }

    /// Calls the voter and saves the changes of its persistent state. The caller sends its messages.
    fn save_update<T>(
        &self,
        action: impl FnOnce(&mut Voter, Micros) -> (T, Output),
    ) -> Result<(T, Vec<(Recipient, Message)>), VoterError> {
        let mut guard = lock(&self.host);
        let host = guard.as_mut().ok_or(VoterError::Unavailable)?;
        let (result, output) = action(&mut host.voter, self.pace.now());
        host.report_stale_peer(output.stale_peer);
        if let Err(error) = host.save(&output.save, &self.settings) {
            // The voter may be ahead of its database, so it is dropped and created again from the database before
            // anything else is sent.
            event!(VOTER_ILL, problem:% = error);
            *guard = None;
            return Err(VoterError::Unavailable);
        }
        host.report_changes();
        let commit = host.voter.commit();
        self.commits.send_if_modified(|known| std::mem::replace(known, commit) != commit);
        Ok((result, output.send))
    }

    /// Sends messages to peers over their links. Returns the messages to `requester`, or to a lease holder, which are
    /// the answer to its request.
    fn send(
        self: &Arc<Self>,
        messages: Vec<(Recipient, Message)>,
        requester: Option<VoterId>,
    ) -> Vec<Message> {
        let mut replies = Vec::new();
        for (recipient, message) in messages {
            match recipient {
                Recipient::Voter(id) if Some(id) != requester => self.links.send(self, id, message),
                Recipient::Voter(_) | Recipient::LeaseHolder(_) => replies.push(message),
            }
        }
        replies
    }

    /// Handles a message of another voter, and returns the answer.
    pub(super) fn step(self: &Arc<Self>, envelope: MessageEnvelope) -> Result<MessageReply, VoterError> {
        let MessageEnvelope { from, incarnation, message } = envelope;
        let (incarnation, messages) = self.save_update(|voter, now| {
            let output = voter.step(now, fastrand::u64(..), (from, incarnation), message);
            (voter.incarnation(), output)
        })?;
        Ok(MessageReply { incarnation, messages: self.send(messages, Some(from)) })
    }

    /// Answers a lease request. Any other message is an error, as if this process had no voter.
    pub(super) fn renew(self: &Arc<Self>, request: Message) -> Result<Message, VoterError> {
        let Message::LeaseRequest { holder, requested_at, prepared } = request else {
            return Err(VoterError::Unavailable);
        };
        let renew = |voter: &mut Voter, now| ((), voter.renew(now, holder, requested_at, prepared));
        let ((), messages) = self.save_update(renew)?;
        self.send(messages, None).pop().ok_or(VoterError::Unavailable)
    }
}
