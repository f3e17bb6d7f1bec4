//! One head: clients in front, nodes behind, the module between them.

use pathbank::agree::rules::Rules;
use pathbank::classes::{Directory, Numbers};
use pathbank::clock::{Clock, Pace};
use pathbank::config::agree::Agreement;
use pathbank::config::fleet::FleetView;
use pathbank::config::grpc::GrpcFront;
use pathbank::config::sftp::SecondFront;
use pathbank::config::syslog::Log;
use pathbank::config::{Config, Talking};
use pathbank::core::{Agreed, Core, Handle, Input};
use pathbank::event;
use pathbank::interface::Reports;
use pathbank::logging::{self, Logging};
use pathbank::net::agree::{command, office};
use pathbank::net::back::{Back, ProbeWork};
use pathbank::net::discovery::Discovery;
use pathbank::net::fleet::{self, Fleet};
use pathbank::net::front::{self, Front};
use pathbank::net::grpc;
use pathbank::net::hot_restart::{self, HotRestart};
use pathbank::net::ids::Ids;
use pathbank::net::lifecycle::Lifecycle;
use pathbank::net::ops::{self, Desk};
use pathbank::net::passed;
use pathbank::net::peers::Talk;
use pathbank::net::sftp;
use pathbank::net::slots::{Counts, Slots};
use pathbank::peers::Peers;
use std::error::Error;
use std::net::SocketAddr;
use std::process::ExitCode;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use tokio::net::TcpListener;
use tokio::signal::unix::{Signal, SignalKind, signal};
use tokio::sync::{Semaphore, watch};
use tokio::task::JoinHandle;
use tokio::time::{Duration, sleep, sleep_until, timeout_at};

/// An id is remembered for so long after the longest deadline.
const IDS_KEPT: Duration = Duration::from_secs(3);
const LAST_BYTES: Duration = Duration::from_millis(80);
/// For lines of the log that are on their way when the program ends.
const LAST_LINES: Duration = Duration::from_millis(40);

fn main() -> ExitCode {
    // Operators' own words go first; a head is started with none.
    let mut args = std::env::args();
    if args.nth(1).as_deref() == Some("agree") {
        return command::run(std::iter::once("pathbank agree".to_string()).chain(args));
    }
    let mut args = std::env::args();
    if args.nth(1).as_deref() == Some("fleet") {
        return fleet::command::run(std::iter::once("pathbank fleet".to_string()).chain(args));
    }
    match run() {
        Ok(()) => ExitCode::SUCCESS,
        Err(problem) => {
            eprintln!("pathbank: {problem}");
            ExitCode::FAILURE
        }
    }
}

/// Where the fleet's file wants it and the settings let heads talk.
fn keep_view(config: &Config) -> Result<Option<Fleet>, Box<dyn Error>> {
    let Some(view) = FleetView::from_environment()? else { return Ok(None) };
    let heads = config.talk.as_ref().map_or(0, |talk| talk.peers.len());
    let own = config.settings.position;
    let fleet = Fleet::new(&view, own, heads, config.seed ^ u64::from(std::process::id()));
    match &fleet {
        Some(_) => event!(FLEET, own, heads, period_ms = view.timing.probe_interval_us / 1_000),
        None => event!(
            FLEET_OFF,
            problem = format!("head {own} of {heads} `peers` with which the settings let it talk")
        ),
    }
    Ok(fleet)
}

fn run() -> Result<(), Box<dyn Error>> {
    tokio::runtime::Builder::new_current_thread().enable_all().build()?.block_on(head())
}

async fn head() -> Result<(), Box<dyn Error>> {
    // Before all else, and before the configuration: unhandled, either signal would end the program where it
    // stands.
    let (mut terminate, hangup) = (signal(SignalKind::terminate())?, signal(SignalKind::hangup())?);
    let mut config = Config::from_environment()?;
    let mut second = SecondFront::from_environment(&mut config.settings, &config.names)?;
    if let Some(second) = &mut second {
        config.share_places(&mut second.clients);
    }
    let third = GrpcFront::from_environment(&mut config)?;
    let mut agreement = Agreement::from_environment()?;
    if let Some(agreement) = &mut agreement {
        config.share_with_agreement(agreement);
    }
    let log = Log::from_environment(&config.names, config.memory, config.syslog)?;
    let telling = log.telling.clone();
    let logging = Arc::new(logging::start(&config.name, config.log_level, log)?);
    let (mut core, wanted) = Core::new(config.settings.clone(), config.seed, config.max_open, Clock::start());
    if let Some(telling) = telling {
        core.set_request_log(telling);
    }
    let handle = core.handle();
    handle.figures().name_classes(&config.names.classes);
    let (lifecycle, watched) = Lifecycle::new(config.longest_deadline());
    tokio::spawn(lifecycle.clone().run());
    if config.ops.is_some() {
        core.enable_metrics();
    }
    let back = Back::new(config.node_connections, handle.part());
    if config.settings.probing {
        let load = config.settings.reports == Reports::Probes;
        core.set_probes(Box::new(ProbeWork { back: back.clone(), load }));
    }
    let fleet = keep_view(&config)?;
    if let Some(Talking { listen, peers, all }) = config.talk.clone() {
        let (number, heads) = (config.settings.position, peers.len());
        // Another process of this head may have the address: what is said here is never needed.
        match Talk::open(listen, Peers::new(peers, all, number, std::time::Instant::now())).await {
            Ok((mut talk, peer_sender)) => {
                event!(TALK, listen:% = talk.address()?, peers = heads);
                core.set_peer_sender(peer_sender);
                if let Some(fleet) = &fleet {
                    talk.keep(fleet.clone());
                }
                tokio::spawn(talk.run(handle.clone(), watched.clone()));
            }
            Err(problem) => event!(TALK_OFF, listen:%, problem:%),
        }
    }
    let (place, address) = watch::channel(config.discovery);
    let others = second.is_some() || third.is_some();
    let mut numbers = Numbers::new(&config.names, &config.settings, others);
    let (settings, directory) = numbers.adopt(&config.names, &config.settings);
    if let Some(agreement) = agreement {
        let pace = Pace::new(agreement.clock_ahead, agreement.clock_ppm);
        let view = office::start(agreement, &config.name, handle.clone(), pace)?;
        let known = view.lock().map(|view| view.clone()).map_err(|_| "the agreement's thread failed")?;
        core.set_agreement(Agreed { rules: Rules::new(settings, numbers.rule_names(), known), view, pace });
    }
    let core = tokio::spawn(core.run());
    let (names, names_now) = watch::channel(Arc::new(directory));
    let running = Arc::new(config);
    let config = running.clone();
    let reload = Reload {
        running,
        numbers,
        names,
        place,
        logging: logging.clone(),
        handle: handle.clone(),
        lifecycle: lifecycle.clone(),
    };
    tokio::spawn(reload.run(hangup));
    let discovery = Discovery {
        address,
        known: config.known.clone(),
        handle: handle.clone(),
        on_demand: config.settings.must_subscribe,
        stop_within: Duration::from_micros(config.settings.stop_within),
    };
    tokio::spawn(discovery.run(wanted));
    tokio::spawn(back.watch());
    let bodies = Arc::new(Semaphore::new(config.most_held));
    let front = Front {
        handle: handle.clone(),
        back: back.clone(),
        names: names_now,
        answer_margin: config.answer_margin,
        phase: watched.clone(),
        bodies: bodies.clone(),
        uploads: Arc::new(Semaphore::new(config.most_held)),
        ids: Ids::new(config.most_ids, config.longest_deadline() + IDS_KEPT),
    };
    let slots = Slots::new(config.clients).shared(handle.part());
    tokio::spawn(slots.clone().watch());
    let listener = match config.passed_socket {
        Some(descriptor) => {
            let listener = passed::take(descriptor, config.listen)
                .map_err(|problem| format!("GW_PASSED_SOCKET={descriptor}: {problem}"))?;
            TcpListener::from_std(listener)?
        }
        None => TcpListener::bind(config.listen).await?,
    };
    event!(UP, name = config.name, listen:% = listener.local_addr()?);
    if config.passed_socket.is_some() {
        tokio::select! {
            () = meet(&config.name, &handle, &front.ids) => {}
            // Nobody was accepted: what waits at the door is the other process's, and there is nothing to
            // finish.
            _ = terminate.recv() => {
                event!(LEFT, opened = 0, attempts = 0, no_room = 0);
                logging.finish(LAST_LINES);
                return Ok(());
            }
        }
    }
    let mut accepting = vec![tokio::spawn(front::serve(listener, front, slots.clone()))];
    if let Some(address) = config.ops {
        let desk = Desk { figures: handle.figures().clone(), lifecycle: lifecycle.clone(), fleet };
        let callers = config.ops_callers;
        event!(OPS_UP, listen:% = ops::start(address, callers, desk)?, callers);
    }
    let mut rooms = vec![slots];
    if let Some(second) = second {
        let listener = TcpListener::bind(second.listen).await?;
        event!(FILES_UP, listen:% = listener.local_addr()?);
        let front = sftp::front::Front {
            handle: handle.clone(),
            stores: sftp::back::Stores::new(&config, second.node_port),
            answer_margin: config.answer_margin,
            phase: watched.clone(),
            config: Arc::new(second),
        };
        let slots = Slots::new(front.config.clients);
        tokio::spawn(slots.clone().watch());
        rooms.push(slots.clone());
        accepting.push(tokio::spawn(sftp::front::serve(listener, front, slots)));
    }
    let third = match third {
        None => None,
        Some(third) => {
            let listener = TcpListener::bind(third.listen).await?;
            let (calls, channels) = (third.calls, third.channels.most);
            event!(GRPC_UP, listen:% = listener.local_addr()?, calls, channels);
            let front = grpc::front::Front {
                handle: handle.with_room_for(third.calls),
                nodes: grpc::back::Nodes::new(&third, config.node_connections.connect),
                config: Arc::new(third),
                answer_margin: config.answer_margin,
                phase: watched.clone(),
                bodies,
                counters: Arc::default(),
            };
            tokio::spawn(front.nodes.clone().watch());
            let slots = Slots::new(front.config.clients);
            tokio::spawn(slots.clone().watch());
            rooms.push(slots.clone());
            accepting.push(tokio::spawn(grpc::front::serve(listener, front.clone(), slots)));
            Some(front)
        }
    };
    tokio::select! {
        _ = terminate.recv() => {}
        ended = core => {
            event!(CORE_ENDED, reason:? = ended);
            logging.finish(LAST_LINES);
            return Err("the core ended".into());
        }
    }
    leave(&lifecycle, config.passed_socket.is_some(), accepting, &handle, &rooms).await;
    let (opened, attempts) = back.counts();
    for slots in &rooms {
        let Counts { taken, over_limit, for_others } = slots.counts();
        event!(CLIENTS, taken, over_limit, for_others);
    }
    if let Some(front) = third {
        let ((opened, attempts), no_room) = (front.nodes.counts(), front.handle.no_room());
        let calls = front.counters.calls.load(Ordering::Relaxed);
        event!(GRPC_COUNTS, calls, attempts, opened, no_room, offences = front.counters.tell());
    }
    event!(LEFT, opened, attempts, no_room = handle.no_room());
    logging.finish(LAST_LINES);
    Ok(())
}

/// Where the platform holds the clients' socket, another process of this head may live: nothing is accepted
/// before it has been seen to keep to its half, or to be gone.
async fn meet(head: &str, handle: &Handle, ids: &Ids) {
    let mut tell = hot_restart::teller(handle.part(), handle.clone());
    let Some(mut restart) = HotRestart::join(&std::env::temp_dir(), head).await else {
        // Whatever the cause: half is safe beside one other, and says so in the log.
        event!(NO_TWINS, folder = std::env::temp_dir().display().to_string());
        return tell(true);
    };
    let halved = loop {
        match restart.look(&mut tell) {
            stand if stand.accept => break stand.halved,
            _ => sleep(hot_restart::SOON).await,
        }
    };
    if let Err(problem) = ids.share(restart.ids()) {
        event!(IDS_UNWRITTEN, problem:%);
    }
    // Until now the other one may have spent all: what this one has to spend grows from here on.
    handle.send(Input::CapacityShare { halved });
    tokio::spawn(hot_restart::watch(restart, tell));
}

/// Reads the configuration again with each SIGHUP, for as long as the program runs. What a running head can
/// change are its settings, where discovery is, and the collectors of its log with their certificates; all
/// else waits for its next start.
struct Reload {
    running: Arc<Config>,
    numbers: Numbers,
    names: watch::Sender<Arc<Directory>>,
    place: watch::Sender<SocketAddr>,
    logging: Arc<Logging>,
    handle: Handle,
    lifecycle: Lifecycle,
}

impl Reload {
    /// One file after the other: signals that come while one is taken over are one more reload.
    async fn run(mut self, mut hangup: Signal) {
        while hangup.recv().await.is_some() {
            // Both files or neither.
            let read = self.running.again().and_then(|config| {
                let log = Log::from_environment(&config.names, config.memory, config.syslog)?;
                Ok((config, log))
            });
            self.handle.figures().loaded(read.is_ok());
            match read {
                Ok((config, log)) => self.take(config, log),
                Err(problem) => event!(RELOAD_FAILED, problem:%),
            }
        }
    }

    fn take(&mut self, config: Config, log: Log) {
        self.logging.reload(log);
        let classes = config.names.classes.join(" ");
        event!(RELOADED, discovery:% = config.discovery, classes);
        let (settings, directory) = self.numbers.adopt(&config.names, &config.settings);
        let names = self.numbers.rule_names();
        // The core knows a number before any front can give it one.
        self.handle.send(Input::Settings { settings: Box::new(settings), names });
        self.names.send_replace(Arc::new(directory));
        self.lifecycle.set_longest(config.longest_deadline());
        self.place.send_if_modified(|now| std::mem::replace(now, config.discovery) != config.discovery);
    }
}

/// Serves as `life` has it until nobody is connected any more, or until the last answers are due: then what
/// is open fails.
async fn leave(
    lifecycle: &Lifecycle,
    shared: bool,
    accepting: Vec<JoinHandle<()>>,
    handle: &Handle,
    rooms: &[Slots],
) {
    event!(LEAVING, open = handle.open());
    lifecycle.end(shared);
    let Some(last) = lifecycle.last() else { return };
    // Each connection holds a place: with none accepted any more and no place held, all answers are out.
    let gone = async {
        for front in accepting {
            let _ = front.await; // one that panicked accepts nothing either
        }
        for slots in rooms {
            slots.empty().await;
        }
    };
    if timeout_at(last, gone).await.is_err() {
        handle.send(Input::Finish);
        sleep_until(last + LAST_BYTES).await;
    }
}
