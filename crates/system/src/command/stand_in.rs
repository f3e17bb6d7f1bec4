//! A stand-in model server as a process of its own, for rehearsals.

use crate::clock;
use crate::net::socket;
use crate::stand_in::drawn::DrawnLog;
use crate::stand_in::store::WeightStore;
use crate::stand_in::{self, StandInSettings, StandInState};
use anyhow::{Context, Result};
use clap::Args;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::Arc;
use std::time::Duration;

/// What a stand-in model server is started with.
#[derive(Clone, Debug, Args)]
pub struct StandInArguments {
    /// The machine's name; each start is an incarnation of its own.
    #[arg(long)]
    name: String,
    /// Its service.
    #[arg(long)]
    backend: String,
    /// Its zone.
    #[arg(long)]
    zone: String,
    /// Where it serves, `ip:port`.
    #[arg(long)]
    listen: SocketAddr,
    /// The models that it holds at first.
    #[arg(long, value_delimiter = ',')]
    models: Vec<String>,
    /// Control planes that take its heartbeats.
    #[arg(long, value_delimiter = ',', required = true)]
    control: Vec<SocketAddr>,
    /// The file with the newest version of the weights.
    #[arg(long)]
    store: PathBuf,
    /// The file that tells what was drawn for training steps.
    #[arg(long)]
    drawn: PathBuf,
    /// Requests at once.
    #[arg(long, default_value_t = 8)]
    capacity: u32,
    /// What a load takes, milliseconds.
    #[arg(long, default_value_t = 200)]
    load_ms: u64,
    /// Pieces of a stream.
    #[arg(long, default_value_t = 5)]
    pieces: u32,
    /// The pause between two pieces, milliseconds.
    #[arg(long, default_value_t = 20)]
    pause_ms: u64,
}

/// Serves as a model server until the process ends.
///
/// # Errors
///
/// The address cannot be had, or the file of what was drawn cannot be opened.
pub async fn run(arguments: StandInArguments) -> Result<()> {
    let instance = format!("{}.{:08x}", arguments.name, clock::entropy() as u32);
    let settings = StandInSettings {
        models: arguments.models,
        store: Arc::new(WeightStore::File(arguments.store)),
        capacity: arguments.capacity,
        load_ms: arguments.load_ms,
        stream_pieces: arguments.pieces,
        stream_pause: Duration::from_millis(arguments.pause_ms),
        ..StandInSettings::new(&instance, &arguments.backend, &arguments.zone, &[], &arguments.control)
    };
    let drawn = DrawnLog::at(&arguments.drawn).with_context(|| arguments.drawn.display().to_string())?;
    let listener = socket::listen(arguments.listen).with_context(|| arguments.listen.to_string())?;
    let state = StandInState::new(&settings, drawn);
    stand_in::run(listener, settings, state).await.map_err(|error| anyhow::anyhow!("{error}"))
}
