//! A head's part in the agreement, on a thread and a runtime of its own, so that no client's request waits
//! for a disk: its voter, where it has one, with the links to the others, and its leases.

use super::archive::Archive;
use super::call::{CallError, Caller};
use super::disk::{Disk, DiskError, hex};
use super::wire::{
    MESSAGE_PATH, MessageEnvelope, MessageReply, ProposalOutcome, RENEW_PATH, RecordsReply, StateReply,
    VoterStatus,
};
use super::{disk, serve};
use crate::agree::archive::{DigestChain, Verification};
use crate::agree::document::Edit;
use crate::agree::lease_holder::{LeaseHolder, LeaseView};
use crate::agree::voter::{
    MembershipChangeError, NotLeader, Output, PersistentChange, Recipient, Voter, Voters,
};
use crate::agree::{HolderId, Index, Message, Micros, VoterId};
use crate::clock::Pace;
use crate::config::agree::Agreement;
use crate::core::{Handle, Input};
use crate::event;
use log::debug;
use std::collections::{BTreeMap, BTreeSet};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::thread;
use std::time::{SystemTime, UNIX_EPOCH};
use tokio::net::TcpListener;
use tokio::sync::{mpsc, watch};
use tokio::time::{Duration, Instant, sleep, timeout_at};

/// A voter looks at its times so often at least.
const LOOK: Duration = Duration::from_millis(100);
/// A disk that cannot be used is tried again after this, then after twice as long each time, up to the
/// longest: each try reads the whole disk and takes the leader's entries in once more, beside the head's own
/// leases.
const DISK_AGAIN: Duration = Duration::from_secs(1);
const LONGEST_DISK_AGAIN: Duration = Duration::from_secs(4);
/// A disk that was in use for so long was well: the next try after an error comes soon again.
const DISK_WELL: Duration = Duration::from_secs(10);
/// A renewal that is not answered within half a lease is given twice as long the next time, so often at most:
/// what a head lacks comes with the answer, and on a slow machine takes its time.
const MOST_RENEWAL_DOUBLED: u32 = 3;
/// Messages to one voter that wait for the one on its way; of these the last says all.
const WAITING: usize = 8;
/// A link that does not answer is tried again after a beat, then after twice as long each time, up to this.
const MOST_APART: Duration = Duration::from_secs(1);
/// So many leases' renewals in each lease.
const RENEWALS: u32 = 4;
/// Between two questions of a head that is behind.
const CATCH_UP: Duration = Duration::from_millis(5);
/// Whoever proposes hears so long after that what became of it, or that it is not known.
const PROPOSED: Duration = Duration::from_secs(5);

/// The voter with its disk, while that can be used.
struct Seat {
    voter: Voter,
    disk: Disk,
    told: (Option<VoterId>, u64, Index),
    /// Those that speak from an older disk, as far as that was told.
    reported_stale_peers: BTreeSet<VoterId>,
}

pub struct Office {
    config: Agreement,
    pace: Pace,
    seat: Mutex<Option<Seat>>,
    holder: Mutex<LeaseHolder>,
    /// What the core looks at.
    view: Arc<Mutex<LeaseView>>,
    handle: Handle,
    links: Mutex<BTreeMap<VoterId, mpsc::Sender<Message>>>,
    caller: Caller,
    /// What counts, for those who wait for it.
    commits: watch::Sender<Index>,
    grown: watch::Sender<()>,
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

fn within(time: Micros) -> Duration {
    Duration::from_micros(time)
}

/// Starts it. What this head may act by is in the view from then on; the core is told to look when it
/// changes.
pub fn start(
    config: Agreement,
    head: &str,
    handle: Handle,
    pace: Pace,
) -> Result<Arc<Mutex<LeaseView>>, DiskError> {
    let unix = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_micros() as u64;
    // Two processes of a head hold leases of their own.
    let id = HolderId { head: head.to_string(), start: unix ^ (u64::from(std::process::id()) << 44) };
    let holder = LeaseHolder::new(id, &config.voters, config.times);
    let view = Arc::new(Mutex::new(holder.view().clone()));
    let office = Arc::new(Office {
        caller: Caller::new(&config.cluster),
        pace,
        seat: Mutex::new(None),
        holder: Mutex::new(holder),
        view: view.clone(),
        handle,
        links: Mutex::default(),
        commits: watch::Sender::new(0),
        grown: watch::Sender::new(()),
        config,
    });
    // What cannot be had at the start is told of, and tried again: another process of this head may have it
    // until it ends, and the head serves meanwhile.
    let listener = office.bind();
    if office.config.seat.is_none() || listener.is_some() {
        office.say_up(listener.as_ref());
    }
    let runtime =
        tokio::runtime::Builder::new_current_thread().enable_all().build().map_err(DiskError::Io)?;
    let work = async move {
        if office.config.seat.is_some() {
            tokio::spawn(office.clone().sit(listener));
        }
        office.hold().await;
    };
    thread::Builder::new()
        .name("agree".to_string())
        .spawn(move || runtime.block_on(work))
        .map_err(DiskError::Io)?;
    Ok(view)
}

impl Office {
    pub fn config(&self) -> &Agreement {
        &self.config
    }

    fn say_up(&self, listener: Option<&std::net::TcpListener>) {
        let voter = lock(&self.seat).as_ref().map_or("none".to_string(), |seat| seat.disk.id().to_string());
        let address = listener.and_then(|listener| listener.local_addr().ok());
        let listen = address.map_or("none".to_string(), |address| address.to_string());
        event!(AGREE, cluster = self.config.cluster, listen, voter);
    }

    /// The voter's place to listen, and with it its disk.
    fn bind(&self) -> Option<std::net::TcpListener> {
        let bound = std::net::TcpListener::bind(self.config.seat.as_ref()?.listen);
        match bound.and_then(|listener| listener.set_nonblocking(true).map(|()| listener)) {
            Ok(listener) => {
                self.open();
                Some(listener)
            }
            Err(problem) => {
                event!(VOTER_ILL, problem:%);
                None
            }
        }
    }

    /// The voter's work, from when it can listen.
    async fn sit(self: Arc<Self>, mut listener: Option<std::net::TcpListener>) {
        let listener = loop {
            match listener.take() {
                Some(listener) => break listener,
                None => {
                    sleep(DISK_AGAIN).await;
                    listener = self.bind();
                    listener.iter().for_each(|listener| self.say_up(Some(listener)));
                }
            }
        };
        match TcpListener::from_std(listener) {
            Ok(listener) => {
                tokio::spawn(self.clone().keep_time());
                serve::serve(listener, self).await;
            }
            Err(problem) => event!(ACCEPT_FAILED, problem:%),
        }
    }

    /// Opens the voter's disk, where there is none open.
    fn open(&self) {
        let (Some(config), mut seat) = (&self.config.seat, lock(&self.seat)) else { return };
        if seat.is_some() {
            return;
        }
        match Disk::open(&config.directory, config.most_bytes) {
            Ok((disk, saved)) => {
                let (id, last) = (disk.id(), saved.log.last_index());
                event!(VOTER_BACK, voter = id, starts = saved.incarnation >> 32, last);
                let (times, now) = (self.config.times, self.pace.now());
                let voter = Voter::new(id, &self.config.voters, times, saved, now, fastrand::u64(..));
                let told = (None, 0, voter.state().active());
                *seat = Some(Seat { voter, disk, told, reported_stale_peers: BTreeSet::new() });
            }
            Err(problem) => event!(VOTER_ILL, problem:%),
        }
    }

    /// Has the voter do something; what it says goes out once what it must not forget is on disk. `None`: it
    /// cannot.
    fn act<T>(
        self: &Arc<Self>,
        act: impl FnOnce(&mut Voter, Micros) -> (T, Output),
    ) -> Option<(T, Vec<(Recipient, Message)>)> {
        let mut place = lock(&self.seat);
        let seat = place.as_mut()?;
        let (done, out) = act(&mut seat.voter, self.pace.now());
        // Told once: it goes on speaking until somebody ends it.
        if let Some(voter) = out.stale_peer.filter(|voter| seat.reported_stale_peers.insert(*voter)) {
            event!(OLD_DISK, voter);
        }
        if let Err(problem) = seat.disk.save(&out.save) {
            // What it said to itself it may not have kept: it is read from its disk again before it says a
            // word.
            event!(VOTER_ILL, problem:%);
            *place = None;
            return None;
        }
        if out.save.iter().any(|save| matches!(save, PersistentChange::Snapshot { .. })) {
            self.archive(seat);
        }
        seat.tell_changes();
        let commit = seat.voter.commit();
        self.commits.send_if_modified(|known| std::mem::replace(known, commit) != commit);
        Some((done, out.send))
    }

    /// Old entries leave the disk, a segment at most each time. What fails is told, and tried again with the
    /// next ledger: nothing leaves that is not in the archive.
    fn archive(&self, seat: &mut Seat) {
        let Some(config) = &self.config.seat else { return };
        match seat.disk.archive(&Archive::beside(&config.directory), config.keep_entries) {
            Ok(None) => {}
            Ok(Some(span)) => event!(ARCHIVED, from = span.from, to = span.to),
            Err(problem) => event!(ARCHIVE_ILL, problem:%),
        }
    }

    /// Sends what is for other voters by their links, and gives back what answers `asker`.
    fn send(self: &Arc<Self>, messages: Vec<(Recipient, Message)>, asker: Option<VoterId>) -> Vec<Message> {
        let mut answers = Vec::new();
        for (to, message) in messages {
            match to {
                Recipient::Voter(id) if Some(id) == asker => answers.push(message),
                Recipient::Voter(id) => {
                    let mut links = lock(&self.links);
                    let link = links.entry(id).or_insert_with(|| {
                        let (sender, receiver) = mpsc::channel(WAITING);
                        tokio::spawn(self.clone().link(id, receiver));
                        sender
                    });
                    // One that finds no room is lost, as the network may lose any: the next beat says it
                    // again.
                    let _ = link.try_send(message);
                }
                Recipient::LeaseHolder(_) => answers.push(message),
            }
        }
        answers
    }

    /// Asks the voter for its times, and opens its disk anew where it was lost.
    async fn keep_time(self: Arc<Self>) {
        let (mut opened, mut again) = (Instant::now(), DISK_AGAIN);
        loop {
            let next = lock(&self.seat).as_ref().map(|seat| seat.voter.next_tick_at());
            let Some(next) = next else {
                if opened.elapsed() >= DISK_WELL {
                    again = DISK_AGAIN;
                }
                tokio::time::sleep_until(opened + again).await;
                again = (2 * again).min(LONGEST_DISK_AGAIN);
                opened = Instant::now();
                self.open();
                continue;
            };
            sleep(within(next.saturating_sub(self.pace.now())).clamp(Duration::from_millis(1), LOOK)).await;
            if let Some(((), messages)) = self.act(|voter, now| ((), voter.tick(now, fastrand::u64(..)))) {
                self.send(messages, None);
            }
        }
    }

    /// Carries messages to one other voter, one at a time, and its answers back.
    async fn link(self: Arc<Self>, to: VoterId, mut messages: mpsc::Receiver<Message>) {
        let mut failures: u32 = 0;
        while let Some(mut message) = messages.recv().await {
            // What waited longer is in the last one.
            while let Ok(later) = messages.try_recv() {
                message = later;
            }
            let place = lock(&self.seat).as_ref().map(|Seat { voter, disk, .. }| {
                let current_election_timeout = voter.current_election_timeout(self.pace.now());
                (
                    voter.incarnation(),
                    disk.id(),
                    current_election_timeout,
                    self.config.address(to, voter.voters()),
                )
            });
            let Some((incarnation, from, current_election_timeout, Some(address))) = place else { continue };
            let said = MessageEnvelope { from, incarnation, message };
            match self
                .caller
                .call::<MessageReply>(&address, MESSAGE_PATH, &said, within(current_election_timeout))
                .await
            {
                Ok(MessageReply { incarnation, messages }) => {
                    failures = 0;
                    for message in messages {
                        let answer = |voter: &mut Voter, now| {
                            ((), voter.step(now, fastrand::u64(..), (to, incarnation), message))
                        };
                        if let Some(((), more)) = self.act(answer) {
                            self.send(more, None);
                        }
                    }
                }
                Err(problem) => {
                    debug!("voter {to} at {address}: {problem}");
                    failures = (failures + 1).min(8);
                    let apart = within(self.config.times.beat * (1 << failures) / 2).min(MOST_APART);
                    sleep(apart.mul_f64(0.5 + fastrand::f64() / 2.0)).await;
                }
            }
        }
    }

    /// Another voter's message, and what answers it.
    pub fn step(
        self: &Arc<Self>,
        MessageEnvelope { from, incarnation, message }: MessageEnvelope,
    ) -> Option<MessageReply> {
        let step = |voter: &mut Voter, now| {
            let out = voter.step(now, fastrand::u64(..), (from, incarnation), message);
            (voter.incarnation(), out)
        };
        let (incarnation, messages) = self.act(step)?;
        Some(MessageReply { incarnation, messages: self.send(messages, Some(from)) })
    }

    /// A head asks for its lease.
    pub fn renew(self: &Arc<Self>, message: Message) -> Option<Message> {
        let Message::LeaseRequest { holder, requested_at, prepared } = message else { return None };
        let ((), messages) = self.act(|voter, now| ((), voter.renew(now, holder, requested_at, prepared)))?;
        self.send(messages, None).pop()
    }

    pub async fn propose(self: &Arc<Self>, edit: Edit) -> Option<ProposalOutcome> {
        let (id, mut commits) = (edit.id, self.commits.subscribe());
        let propose = |voter: &mut Voter, now| match voter.propose(now, edit) {
            Ok(out) => (Ok(voter.term()), out),
            Err(NotLeader(leader)) => (Err(leader), Output::default()),
        };
        let (done, messages) = self.act(propose)?;
        self.send(messages, None);
        let term = match done {
            Ok(term) => term,
            Err(leader) => return Some(ProposalOutcome::NotLeader(leader)),
        };
        let result = |voter: &Voter| match voter.state().result(id) {
            Some(Ok(entry)) => Some(ProposalOutcome::Entry(*entry)),
            Some(Err(rejected)) => Some(ProposalOutcome::Rejected(rejected.clone())),
            None => (voter.term() != term).then_some(ProposalOutcome::Unknown),
        };
        Some(self.wait(&mut commits, result).await.unwrap_or(ProposalOutcome::Unknown))
    }

    pub async fn change(self: &Arc<Self>, voters: Voters) -> Option<ProposalOutcome> {
        let (wanted, mut commits) = (voters.clone(), self.commits.subscribe());
        let change = |voter: &mut Voter, now| match voter.change_membership(now, voters) {
            Ok(out) => (Ok(voter.term()), out),
            Err(no) => (Err(no), Output::default()),
        };
        let (done, messages) = self.act(change)?;
        self.send(messages, None);
        let term = match done {
            Ok(term) => term,
            Err(MembershipChangeError::NotLeader(leader)) => return Some(ProposalOutcome::NotLeader(leader)),
            Err(MembershipChangeError::NotSingleChange) => {
                return Some(ProposalOutcome::NotNow(
                    "one voter is added, removed or moved at a time, and one stays".into(),
                ));
            }
            Err(MembershipChangeError::PreviousChangePending) => {
                return Some(ProposalOutcome::NotNow(
                    "some head may not know of the last change yet, or the leader is new".into(),
                ));
            }
        };
        let result = |voter: &Voter| match voter.state().latest_voters() == Some(&wanted) {
            true => Some(ProposalOutcome::Entry(voter.state().voters_at())),
            false => (voter.term() != term).then_some(ProposalOutcome::Unknown),
        };
        Some(self.wait(&mut commits, result).await.unwrap_or(ProposalOutcome::Unknown))
    }

    /// Looks after each entry that counts, for so long. `None`: the time ran out, or the disk was lost.
    async fn wait<T>(
        &self,
        commits: &mut watch::Receiver<Index>,
        look: impl Fn(&Voter) -> Option<T>,
    ) -> Option<T> {
        let until = Instant::now() + PROPOSED;
        loop {
            if let Some(found) = look(&lock(&self.seat).as_ref()?.voter) {
                return Some(found);
            }
            // A voter that leads no more may see nothing count for long.
            let next = (Instant::now() + LOOK).min(until);
            if timeout_at(next, commits.changed()).await.is_err() && Instant::now() >= until {
                return None;
            }
        }
    }

    /// The ledger: as this voter has it, or with all that counted before the question.
    pub async fn state(self: &Arc<Self>, linearizable: bool) -> Option<StateReply> {
        let told = |seat: &Seat| StateReply::State(Box::new(seat.voter.state().clone()));
        if !linearizable {
            return lock(&self.seat).as_ref().map(told);
        }
        let mut commits = self.commits.subscribe();
        let ask = |voter: &mut Voter, now| match voter.propose_read_barrier(now) {
            Ok((index, out)) => (Ok((index, voter.term())), out),
            Err(NotLeader(leader)) => (Err(leader), Output::default()),
        };
        let (asked, messages) = self.act(ask)?;
        self.send(messages, None);
        let (index, term) = match asked {
            Ok(asked) => asked,
            Err(leader) => return Some(StateReply::NotLeader(leader)),
        };
        let leads = |voter: &Voter| voter.term() == term && voter.is_leader();
        let look = |voter: &Voter| (!leads(voter) || voter.commit() >= index).then(|| leads(voter));
        match self.wait(&mut commits, look).await {
            Some(true) => lock(&self.seat).as_ref().map(told),
            _ => Some(StateReply::Unknown),
        }
    }

    pub fn status(&self) -> Option<VoterStatus> {
        let (place, config) = (lock(&self.seat), self.config.seat.as_ref()?);
        let Seat { voter, disk, .. } = place.as_ref()?;
        let disk_bytes = std::fs::metadata(disk::path(&config.directory)).map_or(0, |file| file.len());
        let (state, id) = (voter.state(), disk.id());
        Some(VoterStatus {
            id,
            incarnation: voter.incarnation() >> 32,
            term: voter.term(),
            leader: voter.leader(),
            last: voter.last_index(),
            commit: voter.commit(),
            prepared: state.prepared(),
            active: state.active(),
            digest: hex(state.digest()),
            voters: voter.voters().clone(),
            disk_bytes,
        })
    }

    /// Only what counts is told: from the archive as far as that goes, then from the log.
    pub async fn records(&self, after: Index, most: usize) -> Option<Result<RecordsReply, DiskError>> {
        let archive = Archive::beside(&self.config.seat.as_ref()?.directory);
        let old = match aside(move || archive.records(after, most)).await {
            Ok(old) => old,
            Err(problem) => return Some(Err(problem)),
        };
        let place = lock(&self.seat);
        let Seat { voter, disk, .. } = place.as_ref()?;
        let commit = voter.commit();
        if !old.is_empty() {
            return Some(Ok(RecordsReply { records: old, commit }));
        }
        Some(disk.records(after, most).map(|mut records| {
            records.retain(|record| record.index <= commit);
            RecordsReply { records, commit }
        }))
    }

    /// The archive is read beside the voter's work. A segment that comes meanwhile is read with the log.
    pub async fn verify(&self) -> Option<Result<Verification, DiskError>> {
        let archive = Archive::beside(&self.config.seat.as_ref()?.directory);
        let old = archive.clone();
        let follow = move || {
            let mut chain = DigestChain::default();
            old.follow(&mut chain).map(|()| chain)
        };
        let mut chain = match aside(follow).await {
            Ok(chain) => chain,
            Err(problem) => return Some(Err(problem)),
        };
        let place = lock(&self.seat);
        let disk = &place.as_ref()?.disk;
        Some(archive.follow(&mut chain).and_then(|()| disk.verify(chain)).map(DigestChain::done))
    }

    /// Keeps the head's leases: one task for each voter, as the log names them.
    async fn hold(self: Arc<Self>) {
        let mut grown = self.grown.subscribe();
        let mut asked: BTreeMap<VoterId, tokio::task::JoinHandle<()>> = BTreeMap::new();
        loop {
            let voters = lock(&self.holder).voters().clone();
            asked.retain(|id, task| {
                voters.contains_key(id) || {
                    task.abort();
                    false
                }
            });
            for id in voters.into_keys() {
                asked.entry(id).or_insert_with(|| tokio::spawn(self.clone().ask(id)));
            }
            if grown.changed().await.is_err() {
                return;
            }
        }
    }

    /// Asks one voter for its grant, again and again.
    async fn ask(self: Arc<Self>, id: VoterId) {
        let (lease, mut failures, mut doubled) = (within(self.config.times.lease), 0u32, 0u32);
        loop {
            let (message, address) = {
                // The core sees this view since it was heard: what is said here to be prepared for it keeps
                // to.
                let holder = lock(&self.holder);
                (holder.renew(self.pace.now()), self.config.address(id, holder.voters()))
            };
            let current_election_timeout = lease / 2 * (1 << doubled);
            let told = match address {
                Some(address) => {
                    self.caller
                        .call::<Message>(&address, RENEW_PATH, &message, current_election_timeout)
                        .await
                }
                None => Err(CallError::Broke("it has no address".into())),
            };
            doubled = match &told {
                Err(CallError::TimedOut) => (doubled + 1).min(MOST_RENEWAL_DOUBLED),
                _ => 0,
            };
            let wait = match told {
                Ok(message) => {
                    failures = 0;
                    if self.granted(id, message) { CATCH_UP } else { lease / RENEWALS }
                }
                Err(problem) => {
                    debug!("voter {id}: {problem}");
                    failures = (failures + 1).min(6);
                    (lease / RENEWALS).mul_f64(f64::from(failures).sqrt()).min(MOST_APART)
                }
            };
            sleep(wait.mul_f64(0.8 + 0.2 * fastrand::f64())).await;
        }
    }

    /// True: there is more to learn at once.
    fn granted(&self, from: VoterId, message: Message) -> bool {
        let behind = matches!(&message, Message::LeaseReply { entries, snapshot, .. } if !entries.is_empty() || snapshot.is_some());
        let mut holder = lock(&self.holder);
        let (before, voters) = (holder.view().clone(), holder.voters().clone());
        holder.step(from, message);
        let now = self.pace.now();
        let changed = before.state().applied() != holder.view().state().applied()
            || before.level(now) != holder.view().level(now);
        *lock(&self.view) = holder.view().clone();
        if *holder.voters() != voters {
            self.grown.send_replace(());
        }
        drop(holder);
        if changed {
            self.handle.send(Input::AgreementChanged);
        }
        behind
    }
}

/// Reads files on a thread of their own, so that the voter's times go on.
async fn aside<T: Send + 'static>(
    read: impl FnOnce() -> Result<T, DiskError> + Send + 'static,
) -> Result<T, DiskError> {
    tokio::task::spawn_blocking(read).await.unwrap_or_else(|problem| Err(disk::foreign(problem)))
}

impl Seat {
    fn tell_changes(&mut self) {
        let (voter, (leader, term, active)) = (&self.voter, self.told);
        let state = voter.state();
        if (voter.leader(), voter.term()) != (leader, term) {
            let name = voter.leader().map_or("none".to_string(), |id| id.to_string());
            let own = if voter.is_leader() { "yes" } else { "no" };
            event!(LEADER, leader = name, term = voter.term(), commit = voter.commit(), own);
        }
        if state.active() != active {
            let at_us = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_micros() as u64;
            event!(
                REVISION,
                entry = state.active(),
                commit = voter.commit(),
                digest = hex(state.digest()),
                at_us
            );
        }
        self.told = (voter.leader(), voter.term(), state.active());
    }
}
