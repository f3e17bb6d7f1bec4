//! The storage proxy: clients in front, storage nodes behind, the scheduling policy between them.

mod fronts;
mod reload;
mod shutdown;
mod startup;

use fronts::Fronts;
use pathbank::core::{Handle, Input};
use pathbank::event;
use pathbank::logging::Logging;
use pathbank::net::agree::command;
use pathbank::net::fleet;
use pathbank::net::hot_restart::{self, HotRestart};
use pathbank::net::ids::Ids;
use pathbank::net::slots::Slots;
use startup::{Files, Proxy};
use std::error::Error;
use std::process::ExitCode;
use tokio::signal::unix::{Signal, SignalKind, signal};
use tokio::time::{Duration, sleep};

/// Time for the last lines of the log to leave when the process ends.
const LAST_LINES: Duration = Duration::from_millis(40);

fn main() -> ExitCode {
    let mut args = std::env::args().skip(1);
    match args.next().as_deref() {
        Some("agree") => command::run(std::iter::once("pathbank agree".to_string()).chain(args)),
        Some("fleet") => fleet::command::run(std::iter::once("pathbank fleet".to_string()).chain(args)),
        _ => match run() {
            Ok(()) => ExitCode::SUCCESS,
            Err(problem) => {
                eprintln!("pathbank: {problem}");
                ExitCode::FAILURE
            }
        },
    }
}

fn run() -> Result<(), Box<dyn Error>> {
    tokio::runtime::Builder::new_current_thread().enable_all().build()?.block_on(serve())
}

/// Runs the proxy from its start to its end.
async fn serve() -> Result<(), Box<dyn Error>> {
    // The handlers are installed before all else: without them either signal would end the process at once.
    let (mut terminate, hangup) = (signal(SignalKind::terminate())?, signal(SignalKind::hangup())?);
    let mut proxy = Proxy::start(Files::from_environment()?, hangup).await?;
    let slots = Slots::new(proxy.config.clients).with_capacity_share(proxy.handle.capacity_share());
    tokio::spawn(slots.clone().watch());
    let listener = proxy.listen().await?;
    let shared = proxy.config.passed_socket.is_some();
    if shared {
        let other = wait_for_other_process(&proxy.config.name, &proxy.handle, &proxy.http.ids);
        if is_terminated(other, &mut terminate, &proxy.logging).await {
            return Ok(());
        }
    }
    let fronts = Fronts::start(&mut proxy, listener, slots).await?;
    tokio::select! {
        _ = terminate.recv() => {}
        ended = &mut proxy.core => {
            event!(CORE_ENDED, reason:? = ended);
            proxy.logging.finish(LAST_LINES);
            return Err("the core ended".into());
        }
    }
    let Fronts { tasks, slots, grpc } = fronts;
    shutdown::drain(&proxy.lifecycle, shared, tasks, &proxy.handle, &slots).await;
    let (opened, attempts) = proxy.back.counts();
    fronts::log_counts(&slots, grpc.as_ref());
    event!(LEFT, opened, attempts, no_room = proxy.handle.no_room());
    proxy.logging.finish(LAST_LINES);
    Ok(())
}

/// Waits for `other`. Whether SIGTERM came first: then no connection was accepted, and nothing has to be finished.
async fn is_terminated(other: impl Future<Output = ()>, terminate: &mut Signal, logging: &Logging) -> bool {
    tokio::select! {
        () = other => false,
        _ = terminate.recv() => {
            event!(LEFT, opened = 0, attempts = 0, no_room = 0);
            logging.finish(LAST_LINES);
            true
        }
    }
}

/// With a passed socket another process of this host may run: nothing is accepted before that process was seen to keep to
/// its half of the host's limits, or to have ended.
async fn wait_for_other_process(host: &str, handle: &Handle, ids: &Ids) {
    let mut report = hot_restart::capacity_share_notifier(handle.capacity_share(), handle.clone());
    let Some(mut restart) = HotRestart::join(&std::env::temp_dir(), host).await else {
        // Whatever the cause, half of the limits is safe beside one other process.
        event!(NO_TWINS, folder = std::env::temp_dir().display().to_string());
        return report(true);
    };
    let halved = loop {
        match restart.check(&mut report) {
            stand if stand.accept => break stand.halved,
            _ => sleep(hot_restart::STARTUP_CHECK_INTERVAL).await,
        }
    };
    if let Err(problem) = ids.share(restart.ids()) {
        event!(IDS_UNWRITTEN, problem:%);
    }
    // The other process may have spent all tokens until now: those of this one grow from here on.
    handle.send(Input::CapacityShare { halved });
    tokio::spawn(hot_restart::watch(restart, report));
}
