//! The replica's disk, on a thread of its own: the node never waits for a sync.

use super::event::{DiskEvent, Event};
use crate::clock;
use crate::settings::Settings;
use anyhow::{Context, Result};
use pathbank_coordination::digest::digest;
use pathbank_coordination::record::{DurableState, Record};
use pathbank_coordination::store::{LogFile, OpenedLog};
use pathbank_coordination::types::{Index, Member, Membership, StoreId};
use std::net::SocketAddr;
use std::sync::mpsc;
use std::time::Duration;
use tokio::sync::mpsc::UnboundedSender;

/// Between attempts of a write that failed.
const WRITE_RETRY_BACKOFF: Duration = Duration::from_millis(100);

enum Write {
    Append { records: Vec<Record>, ticket: u64, last_index: Index },
    Rewrite { durable: Box<DurableState>, ticket: u64 },
}

/// The replica's disk.
pub struct Disk {
    writes: mpsc::Sender<Write>,
    next_ticket: u64,
    /// What the disk held at the start.
    pub durable: DurableState,
    /// This replica.
    pub me: Member,
}

impl Disk {
    /// Opens the log of the data directory, or begins one.
    pub fn open(settings: &Settings, control: SocketAddr, events: UnboundedSender<Event>) -> Result<Disk> {
        let folder = settings.data_dir.clone().context("data_dir is missing")?;
        let (mut log, opened) = LogFile::open(&folder).with_context(|| folder.display().to_string())?;
        let OpenedLog { mut durable, previous_store_lost } = opened;
        if durable.id.is_none() {
            let identity = first_identity(settings, control, previous_store_lost);
            log.append(std::slice::from_ref(&identity)).context("the first record cannot be saved")?;
            durable.apply(identity);
        }
        let me = Member {
            id: durable.id.unwrap_or(StoreId(0)),
            name: settings.node_name.clone(),
            address: settings.own_internal_address().to_string(),
            control_address: control.to_string(),
        };
        let (writes, queue) = mpsc::channel();
        std::thread::Builder::new().name("disk".into()).spawn(move || work(log, &queue, &events))?;
        Ok(Disk { writes, next_ticket: 1, durable, me })
    }

    /// Saves records behind all that was handed over before. Returns the ticket under which they will be
    /// reported.
    pub fn append(&mut self, records: Vec<Record>, last_index: Index) -> u64 {
        let ticket = self.take_ticket();
        let _ = self.writes.send(Write::Append { records, ticket, last_index });
        ticket
    }

    /// Replaces the file by the whole state, which holds all that was handed over before.
    pub fn rewrite(&mut self, durable: DurableState) -> u64 {
        let ticket = self.take_ticket();
        let _ = self.writes.send(Write::Rewrite { durable: Box::new(durable), ticket });
        ticket
    }

    fn take_ticket(&mut self) -> u64 {
        self.next_ticket += 1;
        self.next_ticket
    }
}

/// Whose store an empty disk becomes. At the very first start of the system the seeds are its voters, and
/// each knows its number among them; any other store gets a number of its own, and joins. So does one that
/// begins where another was lost (`previous_store_lost`): under the founder's number it could vote a second time,
/// with nothing of what it had acknowledged.
fn first_identity(settings: &Settings, control: SocketAddr, previous_store_lost: bool) -> Record {
    let is_founder = settings.bootstrap && settings.seeds.contains(&control) && !previous_store_lost;
    if !is_founder {
        return Record::Identity { id: StoreId(clock::entropy() | 1), initial: Membership::default() };
    }
    let founder = |seed: &SocketAddr| Member {
        id: founder_id(seed),
        name: seed.to_string(),
        address: settings.internal_address(*seed).to_string(),
        control_address: seed.to_string(),
    };
    let voters = settings.seeds.iter().map(founder).collect();
    Record::Identity { id: founder_id(&control), initial: Membership::of(voters) }
}

/// The same number at every founder: even, where later stores have odd ones.
fn founder_id(seed: &SocketAddr) -> StoreId {
    StoreId(digest(&[seed.to_string().as_bytes()]) as u64 & !1)
}

fn work(mut log: LogFile, queue: &mpsc::Receiver<Write>, events: &UnboundedSender<Event>) {
    while let Ok(first) = queue.recv() {
        let mut writes = vec![first];
        writes.extend(queue.try_iter());
        write_batch(&mut log, writes, events);
    }
}

/// Appends in a row share one sync.
fn write_batch(log: &mut LogFile, writes: Vec<Write>, events: &UnboundedSender<Event>) {
    let mut batch: Vec<Record> = Vec::new();
    let mut saved = None;
    for write in writes {
        match write {
            Write::Append { records, ticket, last_index } => {
                batch.extend(records);
                saved = Some(DiskEvent::Saved { ticket, last_index: Some(last_index) });
            }
            Write::Rewrite { durable, ticket } => {
                // The whole state holds the batch as well.
                batch.clear();
                until_done(events, || log.rewrite(&durable));
                let last_index = Some(durable.last_index());
                saved = Some(DiskEvent::Saved { ticket, last_index });
            }
        }
    }
    if !batch.is_empty() {
        until_done(events, || log.append(&batch));
    }
    if let Some(saved) = saved {
        let _ = events.send(Event::Disk(saved));
    }
}

fn until_done(events: &UnboundedSender<Event>, mut write: impl FnMut() -> std::io::Result<()>) {
    let mut failed = false;
    while let Err(error) = write() {
        if !failed {
            tracing::error!(%error, "the disk refuses writes");
            let _ = events.send(Event::Disk(DiskEvent::Impaired(true)));
        }
        failed = true;
        std::thread::sleep(WRITE_RETRY_BACKOFF);
    }
    if failed {
        tracing::info!("the disk takes writes again");
        let _ = events.send(Event::Disk(DiskEvent::Impaired(false)));
    }
}
