//! Brings configurations into force at this edge, one after the other. Each is read a few items at a time, so that streams are
//! forwarded meanwhile.

use super::core_links;
use super::shared::Shared;
use crate::clock;
use crate::startup::Milestone;
use pathbank_control::configuration::Rejection;
use pathbank_control::edge_update::{EdgeUpdate, EdgeUpdateReader};
use pathbank_control::routes::RouteTable;
use pathbank_protocol::message::ConfigurationUpdate;
use std::sync::Arc;

/// Items that are read before other tasks get their turn.
const ITEMS_PER_TURN: usize = 8;

/// Applies updates from cores until the edge ends.
pub async fn run(shared: Arc<Shared>) {
    let mut updates = shared.configurations.receiver.lock().await;
    while let Some(update) = updates.recv().await {
        if let Err(error) = apply(&shared, &update).await {
            tracing::error!(%error, index = update.index, "configuration update unreadable");
        }
    }
}

/// Applies an update, unless the configuration in force is as new, or the update builds on another one.
async fn apply(shared: &Shared, update: &ConfigurationUpdate) -> Result<(), Rejection> {
    let known = shared.routes.load_full().unwrap_or_default();
    if !known.accepts(update.index, update.base_index) {
        // Differences from two cores don't build on one another: a missed one has to be fetched.
        if update.index > known.index {
            core_links::ask_for_difference(shared, known.index);
        }
        return Ok(());
    }
    let is_complete = update.base_index == 0;
    let items = read(&update.document, is_complete).await?;
    let table: RouteTable = known.with_update(update.index, items);
    tracing::info!(version = table.version, index = update.index, is_complete, "configuration in force");
    shared.routes.store(Some(Arc::new(table)));
    shared.startup.reach(Milestone::Configured);
    shared.configurations.set_in_force_since(clock::now());
    Ok(())
}

async fn read(document: &[u8], is_complete: bool) -> Result<EdgeUpdate, Rejection> {
    let mut reader = EdgeUpdateReader::new(document, is_complete)?;
    while !reader.read_some(ITEMS_PER_TURN)? {
        tokio::task::yield_now().await;
    }
    Ok(reader.finish())
}
