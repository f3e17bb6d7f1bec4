//! One head: clients in front, nodes behind, the module between them.

use log::{error, info};
use pathbank::clock::Clock;
use pathbank::config::Config;
use pathbank::core::{Core, Handle, Input};
use pathbank::logging;
use pathbank::net::back::Back;
use pathbank::net::discovery::Discovery;
use pathbank::net::front::{self, Front, Phase};
use std::error::Error;
use std::process::ExitCode;
use std::sync::Arc;
use tokio::net::TcpListener;
use tokio::signal::unix::{SignalKind, signal};
use tokio::sync::{Semaphore, watch};
use tokio::time::{Duration, Instant, sleep, sleep_until, timeout_at};

/// After SIGTERM: new connections keep coming for up to 0.4 s.
const ACCEPT_ON: Duration = Duration::from_millis(600);
/// SIGKILL comes no sooner than the longest deadline, 3 s at most, and 0.7 s: be gone well before.
const LONGEST: Duration = Duration::from_secs(3);
const LAST_ANSWERS: Duration = Duration::from_millis(350);
const LAST_BYTES: Duration = Duration::from_millis(150);

fn main() -> ExitCode {
    let done = Config::from_environment().map_err(Into::into).and_then(run);
    match done {
        Ok(()) => ExitCode::SUCCESS,
        Err(problem) => {
            eprintln!("pathbank: {problem}");
            ExitCode::FAILURE
        }
    }
}

fn run(config: Config) -> Result<(), Box<dyn Error>> {
    tokio::runtime::Builder::new_current_thread().enable_all().build()?.block_on(head(config))
}

async fn head(config: Config) -> Result<(), Box<dyn Error>> {
    logging::start(&config.name, config.log_level, config.syslog)?;
    let mut terminate = signal(SignalKind::terminate())?;
    let (core, wanted) = Core::new(config.settings.clone(), config.seed, config.max_open, Clock::start());
    let handle = core.handle();
    let core = tokio::spawn(core.run());
    let discovery = Discovery {
        address: config.discovery,
        known: config.known.clone(),
        handle: handle.clone(),
        on_demand: config.settings.must_subscribe,
    };
    tokio::spawn(discovery.run(wanted));
    let (phase, watched) = watch::channel(Phase::Serving);
    let back = Back::new(&config);
    let front = Front {
        handle: handle.clone(),
        back: back.clone(),
        names: Arc::new(config.names.clone()),
        answer_margin: config.answer_margin,
        phase: watched,
    };
    let room = Arc::new(Semaphore::new(config.clients));
    let listener = TcpListener::bind(config.listen).await?;
    info!(name = config.name, listen:% = config.listen; "up");
    tokio::spawn(front::serve(listener, front, room.clone()));
    tokio::select! {
        _ = terminate.recv() => {}
        ended = core => {
            error!("the core ended: {ended:?}");
            return Err("the core ended".into());
        }
    }
    leave(&config, &phase, &handle, &room).await;
    let (opened, attempts) = back.counts();
    info!(opened, attempts; "left");
    Ok(())
}

/// Accepts for a while longer, finishes what is held, and closes connections between requests.
async fn leave(config: &Config, phase: &watch::Sender<Phase>, handle: &Handle, room: &Arc<Semaphore>) {
    let told = Instant::now();
    info!(open = handle.open(); "leaving");
    phase.send_replace(Phase::Leaving);
    sleep(ACCEPT_ON).await;
    phase.send_replace(Phase::Closing);
    // Each connection holds a place: with all places free, all answers are out.
    let last = told + config.longest_deadline().min(LONGEST) + LAST_ANSWERS;
    let all = u32::try_from(config.clients).unwrap_or(u32::MAX);
    if timeout_at(last, room.acquire_many(all)).await.is_err() {
        handle.send(Input::Finish);
        sleep_until(last + LAST_BYTES).await;
    }
}
