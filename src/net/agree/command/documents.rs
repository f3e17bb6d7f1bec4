//! `show`, `history`, `diff` and `watch`: documents and their history.

use super::super::database::Record;
use super::cluster::{Cluster, RETRY_INTERVAL};
use super::error::CommandError;
use super::output::Output;
use crate::agree::{Index, report};
use serde_json::json;
use tokio::time::sleep;

pub(super) async fn show(
    cluster: &Cluster,
    output: &Output,
    only: Option<&str>,
    any: bool,
) -> Result<(), CommandError> {
    let state = cluster.state(!any).await?;
    let mut names: Vec<&str> = state.names().filter(|name| only.is_none_or(|only| only == *name)).collect();
    names.sort_unstable();
    names.dedup();
    if let (Some(only), []) = (only, &names[..]) {
        return Err(CommandError::NoDocument(only.to_string()));
    }
    for name in names {
        let in_force = state.document(name);
        let prepared = state
            .latest(name)
            .filter(|latest| in_force.is_none_or(|in_force| in_force.version < latest.version));
        if let Some(document) = in_force {
            let value = json!({"name": name, "state": "in force", "document": document});
            output.print(&report::document(name, document, ", in force"), &value)?;
        }
        if let Some(document) = prepared {
            let value = json!({"name": name, "state": "prepared", "document": document});
            output.print(&report::document(name, document, ", prepared"), &value)?;
        }
    }
    Ok(())
}

pub(super) async fn history(
    cluster: &Cluster,
    output: &Output,
    only: Option<&str>,
    after: Index,
) -> Result<(), CommandError> {
    let records = cluster.all_records(after).await?;
    if let Some(first) = records.first().filter(|first| first.index != after + 1) {
        let (from, to) = (after + 1, first.index - 1);
        eprintln!("pathbank agree: the voter that answered does not have entries {from} to {to}");
    }
    print_records(output, &records, only)
}

pub(super) async fn diff(
    cluster: &Cluster,
    output: &Output,
    document: &str,
    before: u64,
    after: u64,
) -> Result<(), CommandError> {
    let records = cluster.all_records(0).await?;
    if records.first().is_some_and(|record| record.index != 1) {
        return Err(CommandError::HistoryIncomplete);
    }
    let versions = report::versions(records.iter().map(|record| &record.entry), document);
    let find = |version: u64| {
        let found = versions.iter().find(|document| document.version == version);
        found.ok_or_else(|| CommandError::NoVersion { document: document.to_string(), version })
    };
    let (before, after) = (find(before)?, find(after)?);
    output.print(&report::diff(before, after), &json!({"before": before, "after": after}))
}

/// Prints entries as they are committed, until the program is ended.
pub(super) async fn watch(
    cluster: &Cluster,
    output: &Output,
    after: Option<Index>,
) -> Result<(), CommandError> {
    let mut last = match after {
        Some(after) => after,
        None => cluster.state(false).await?.applied(),
    };
    loop {
        // Voters may be unavailable for a while.
        if let Ok(records) = cluster.all_records(last).await {
            last = records.last().map_or(last, |record| record.index);
            print_records(output, &records, None)?;
        }
        sleep(RETRY_INTERVAL).await;
    }
}

fn print_records(output: &Output, records: &[Record], only: Option<&str>) -> Result<(), CommandError> {
    for record in records {
        if let Some(text) = report::entry(record.index, &record.entry, only) {
            output.print(&text, record)?;
        }
    }
    Ok(())
}
