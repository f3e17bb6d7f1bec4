//! The replica's disk, on a thread of its own: the event loop never waits for a sync.

use super::event::{DiskEvent, Event};
use super::store_identity::first_identity;
use crate::settings::Settings;
use anyhow::{Context, Result};
use pathbank_control::state::ControlState;
use pathbank_coordination::record::{DurableState, Record};
use pathbank_coordination::store::{LogFile, OpenedLog};
use pathbank_coordination::types::{Index, Member, StoreId};
use std::net::SocketAddr;
use std::sync::mpsc;
use std::time::Duration;
use tokio::sync::mpsc::UnboundedSender;

/// Between attempts of a write that failed.
const WRITE_RETRY_BACKOFF: Duration = Duration::from_millis(100);

enum Write {
    Append { records: Vec<Record>, ticket: u64, last_index: Index },
    Rewrite { durable: Box<DurableState>, ticket: u64 },
    SetAside(Box<ControlState>),
}

/// Hands writes to the disk thread. Each has a ticket; [`DiskEvent::Saved`] reports the tickets that are synced.
pub struct Disk {
    writes: mpsc::Sender<Write>,
    last_ticket: u64,
}

/// A disk with what it held at the start.
pub struct OpenedDisk {
    /// The disk.
    pub disk: Disk,
    /// The durable state.
    pub durable: DurableState,
    /// This replica.
    pub me: Member,
}

impl Disk {
    /// Opens the log of the data directory, or begins one, and starts the disk thread.
    ///
    /// # Errors
    ///
    /// The settings name no data directory, or it cannot be read or written.
    pub fn open(
        settings: &Settings,
        control: SocketAddr,
        events: UnboundedSender<Event>,
    ) -> Result<OpenedDisk> {
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
        std::thread::Builder::new().name("disk".into()).spawn(move || run(log, &queue, &events))?;
        Ok(OpenedDisk { disk: Disk { writes, last_ticket: 0 }, durable, me })
    }

    /// Appends records behind all earlier writes. Returns the ticket.
    pub fn append(&mut self, records: Vec<Record>, last_index: Index) -> u64 {
        let ticket = self.next_ticket();
        let _ = self.writes.send(Write::Append { records, ticket, last_index });
        ticket
    }

    /// Replaces the file by a complete state, which includes all earlier writes. Returns the ticket.
    pub fn rewrite(&mut self, durable: DurableState) -> u64 {
        let ticket = self.next_ticket();
        let _ = self.writes.send(Write::Rewrite { durable: Box::new(durable), ticket });
        ticket
    }

    /// Sets the log aside behind all earlier writes, with a state that differs from that of the group, and ends the disk
    /// thread. [`DiskEvent::StoreSetAside`] is the last that it reports.
    pub fn set_aside(&mut self, state: ControlState) {
        let _ = self.writes.send(Write::SetAside(Box::new(state)));
    }

    fn next_ticket(&mut self) -> u64 {
        self.last_ticket += 1;
        self.last_ticket
    }
}

/// The disk thread: all writes that are queued go together.
fn run(mut log: LogFile, queue: &mpsc::Receiver<Write>, events: &UnboundedSender<Event>) {
    while let Ok(first) = queue.recv() {
        let mut writes = vec![first];
        writes.extend(queue.try_iter());
        let diverged = take_diverged(&mut writes);
        write_batch(&mut log, writes, events);
        if let Some(state) = diverged {
            let state = state.encode();
            retry(events, || log.set_diverged_aside(&state));
            let _ = events.send(Event::Disk(DiskEvent::StoreSetAside));
            return;
        }
    }
}

/// The state with which the log is to be set aside, if that is asked for.
fn take_diverged(writes: &mut Vec<Write>) -> Option<Box<ControlState>> {
    let is_last = |write: &mut Write| matches!(write, Write::SetAside(_));
    match writes.pop_if(is_last)? {
        Write::SetAside(state) => Some(state),
        Write::Append { .. } | Write::Rewrite { .. } => None,
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
                // The complete state includes the batch.
                batch.clear();
                retry(events, || log.rewrite(&durable));
                let last_index = Some(durable.last_index());
                saved = Some(DiskEvent::Saved { ticket, last_index });
            }
            Write::SetAside(_) => {}
        }
    }
    if !batch.is_empty() {
        retry(events, || log.append(&batch));
    }
    if let Some(saved) = saved {
        let _ = events.send(Event::Disk(saved));
    }
}

/// Repeats a write until it succeeds, and reports when the disk becomes impaired and when it works again.
fn retry(events: &UnboundedSender<Event>, mut write: impl FnMut() -> std::io::Result<()>) {
    let mut failed = false;
    while let Err(error) = write() {
        if !failed {
            tracing::error!(%error, "disk write failed");
            let _ = events.send(Event::Disk(DiskEvent::Impaired(true)));
        }
        failed = true;
        std::thread::sleep(WRITE_RETRY_BACKOFF);
    }
    if failed {
        tracing::info!("disk writes succeed again");
        let _ = events.send(Event::Disk(DiskEvent::Impaired(false)));
    }
}
