//! Applies configuration updates at this edge, one after the other. Each is read a few items at a time, so
//! that a long update does not stop the forwarding of streams.

use super::core_links;
use super::shared::Shared;
use crate::clock;
use crate::startup::Milestone;
use pathbank_control::configuration::Rejection;
use pathbank_control::edge_update::{EdgeUpdate, EdgeUpdateReader};
use pathbank_control::routes::RouteTable;
use pathbank_protocol::message::ConfigurationUpdate;
use std::sync::Arc;

/// Items that are read before the task yields to others.
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

/// Applies an update. Skips an update that is not newer than the configuration in force, and one that builds
/// on another configuration.
async fn apply(shared: &Shared, update: &ConfigurationUpdate) -> Result<(), Rejection> {
    let known = shared.routes.load_full().unwrap_or_default();
    if !known.accepts(update.index, update.base_index) {
        // A core's differences build on those that the same core sent before. An edge that changed cores may
        // miss one, and has to fetch it.
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
