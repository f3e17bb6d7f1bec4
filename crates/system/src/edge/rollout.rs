//! Configurations on their way into force at this edge: one after the other, each read a few items at a time,
//! so that streams are passed on meanwhile.

use super::core_links;
use super::shared::Shared;
use crate::clock;
use crate::startup::Milestone;
use pathbank_control::configuration::Rejection;
use pathbank_control::edge_update::{EdgeUpdate, EdgeUpdateReader};
use pathbank_control::routes::RouteTable;
use pathbank_protocol::message::ConfigurationUpdate;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use tokio::sync::Mutex;
use tokio::sync::mpsc::{UnboundedReceiver, UnboundedSender, unbounded_channel};

/// Items that are read before other tasks get their turn.
const ITEMS_AT_ONCE: usize = 8;

/// Updates that cores told, in the order in which they came.
pub struct Rollout {
    sender: UnboundedSender<ConfigurationUpdate>,
    /// Held by whoever takes updates over, one at a time.
    receiver: Mutex<UnboundedReceiver<ConfigurationUpdate>>,
    /// When the configuration in force came into force, milliseconds.
    in_force_since: AtomicU64,
}

impl Default for Rollout {
    fn default() -> Rollout {
        let (sender, receiver) = unbounded_channel();
        Rollout { sender, receiver: Mutex::new(receiver), in_force_since: AtomicU64::new(0) }
    }
}

impl Rollout {
    /// When the configuration in force came into force, milliseconds.
    pub fn in_force_since(&self) -> u64 {
        self.in_force_since.load(Ordering::Relaxed)
    }

    /// A core told of a configuration.
    pub fn take(&self, update: ConfigurationUpdate) {
        // The receiver lives as long as this.
        let _ = self.sender.send(update);
    }
}

/// Takes over what cores tell, until the edge ends.
pub async fn run(shared: Arc<Shared>) {
    let mut updates = shared.rollout.receiver.lock().await;
    while let Some(update) = updates.recv().await {
        if let Err(error) = take_over(&shared, &update).await {
            tracing::error!(%error, index = update.index, "configuration from a core cannot be read");
        }
    }
}

/// Takes a configuration over, unless the one in force is as new, or the update is not one of it.
async fn take_over(shared: &Shared, update: &ConfigurationUpdate) -> Result<(), Rejection> {
    let known = shared.routes.load_full().unwrap_or_default();
    if !known.accepts(update.index, update.base_index) {
        // Differences of two cores do not lead on from one another: which one was missed, no later one makes
        // good.
        if update.index > known.index {
            core_links::ask_for_difference(shared, known.index);
        }
        return Ok(());
    }
    let is_whole = update.base_index == 0;
    let items = read(&update.document, is_whole).await?;
    let table: RouteTable = known.with_update(update.index, items);
    tracing::info!(version = table.version, index = update.index, is_whole, "configuration in force");
    shared.routes.store(Some(Arc::new(table)));
    shared.startup.reach(Milestone::Configured);
    shared.rollout.in_force_since.store(clock::now(), Ordering::Relaxed);
    Ok(())
}

async fn read(document: &[u8], is_whole: bool) -> Result<EdgeUpdate, Rejection> {
    let mut reader = EdgeUpdateReader::new(document, is_whole)?;
    while !reader.read_some(ITEMS_AT_ONCE)? {
        tokio::task::yield_now().await;
    }
    Ok(reader.finish())
}
