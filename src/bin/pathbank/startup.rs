//! Startup: reads the files, starts the core and everything beside it that is not a front.

use crate::reload::Reload;
use pathbank::agree::rules::Rules;
use pathbank::classes::{Directory, Numbers};
use pathbank::clock::{Clock, LeaseClock};
use pathbank::config::agree::Agreement;
use pathbank::config::fleet::FleetView;
use pathbank::config::grpc::GrpcFront;
use pathbank::config::sftp::SftpFront;
use pathbank::config::syslog::Log;
use pathbank::config::{Config, Talking};
use pathbank::core::{Agreed, Core, Handle};
use pathbank::event;
use pathbank::interface::Reports;
use pathbank::lifecycle_state::Phase;
use pathbank::logging::{self, Logging};
use pathbank::memory::{Options, ProxyMemory};
use pathbank::net::agree::runtime;
use pathbank::net::back::{NodeClient, ProbeWork};
use pathbank::net::discovery::Discovery;
use pathbank::net::fleet::Fleet;
use pathbank::net::front::HttpFront;
use pathbank::net::ids::Ids;
use pathbank::net::lifecycle::Lifecycle;
use pathbank::net::passed;
use pathbank::net::peers::PeerSocket;
use pathbank::peers::Peers;
use std::error::Error;
use std::net::SocketAddr;
use std::sync::Arc;
use tokio::net::TcpListener;
use tokio::signal::unix::Signal;
use tokio::sync::{mpsc, watch};
use tokio::task::JoinHandle;
use tokio::time::Duration;

/// Ids of requests are remembered for the longest deadline and this.
const ID_RETENTION_MARGIN: Duration = Duration::from_secs(3);

/// What the files and the environment say.
pub struct Files {
    config: Config,
    sftp: Option<SftpFront>,
    grpc: Option<GrpcFront>,
    agreement: Option<Agreement>,
    log: Log,
}

impl Files {
    /// Reads all files that the environment names.
    pub fn from_environment() -> Result<Files, Box<dyn Error>> {
        let mut config = Config::from_environment()?;
        let mut sftp = SftpFront::from_environment(&mut config.settings, &config.names)?;
        let mut agreement = Agreement::from_environment()?;
        config.fit_into_memory(Options {
            files: sftp.is_some(),
            calls: GrpcFront::is_switched_on(),
            voter: agreement.as_ref().is_some_and(|agreement| agreement.voter.is_some()),
        });
        if let Some(sftp) = &mut sftp {
            sftp.clients.most = sftp.clients.most.min(config.memory_plan.file_connections());
            config.share_places(&mut sftp.clients);
        }
        let grpc = GrpcFront::from_environment(&mut config)?;
        if let Some(agreement) = &mut agreement {
            config.share_with_agreement(agreement);
        }
        let log = Log::from_environment(&config.names, config.memory, config.syslog)?;
        Ok(Files { config, sftp, grpc, agreement, log })
    }
}

/// A proxy whose core runs and whose fronts don't serve yet.
pub struct Proxy {
    /// The configuration.
    pub config: Arc<Config>,
    /// The core.
    pub handle: Handle,
    /// What the process does: serving, draining, ending.
    pub lifecycle: Lifecycle,
    /// The phases that follow from the lifecycle.
    pub phase: watch::Receiver<Phase>,
    /// The log.
    pub logging: Arc<Logging>,
    /// Connections to storage nodes.
    pub back: NodeClient,
    /// The memory for what others make the program hold.
    pub memory: ProxyMemory,
    /// The HTTP front.
    pub http: HttpFront,
    /// The file of the SFTP front, where it is switched on.
    pub sftp: Option<SftpFront>,
    /// The file of the gRPC front, where it is switched on.
    pub grpc: Option<GrpcFront>,
    /// The view of which processes run, where it is switched on.
    pub fleet: Option<Fleet>,
    /// The task that runs the core.
    pub core: JoinHandle<()>,
}

impl Proxy {
    /// Starts the log, the core, its timers, discovery and the reload on SIGHUP.
    pub async fn start(files: Files, hangup: Signal) -> Result<Proxy, Box<dyn Error>> {
        let Files { config, sftp, grpc, agreement, log } = files;
        let request_log = log.request_log.clone();
        let logging = Arc::new(logging::start(&config.name, config.log_level, log)?);
        let (mut core, subscriptions) =
            Core::new(config.settings.clone(), config.seed, config.max_open, Clock::start());
        if let Some(request_log) = request_log {
            core.set_request_log(request_log);
        }
        let handle = core.handle();
        handle.metrics().name_classes(&config.names.classes);
        let (lifecycle, phase) = Lifecycle::new(config.longest_deadline());
        tokio::spawn(lifecycle.clone().run());
        if config.ops.is_some() {
            core.enable_metrics();
        }
        let memory = config.memory_plan.shares();
        let back = NodeClient::new(config.node_connections, handle.capacity_share(), &memory);
        if config.settings.probing {
            let load = config.settings.reports == Reports::Probes;
            core.set_probes(Box::new(ProbeWork { back: back.clone(), load }));
        }
        let fleet = start_fleet_view(&config)?;
        talk_to_peers(&config, &mut core, fleet.as_ref(), &phase).await?;
        let (discovery_address, address) = watch::channel(config.discovery);
        let mut numbers = Numbers::new(&config.names, &config.settings, sftp.is_some() || grpc.is_some());
        let (settings, directory) = numbers.adopt(&config.names, &config.settings);
        if let Some(agreement) = agreement {
            let lease_clock = LeaseClock::new(agreement.clock_ahead, agreement.clock_ppm);
            let view =
                runtime::start(agreement, &config.name, handle.clone(), lease_clock, memory.voter.clone())?;
            let known = view.lock().map(|view| view.clone()).map_err(|_| "the agreement's thread failed")?;
            core.set_agreement(Agreed {
                rules: Rules::new(settings, numbers.rule_names(), known),
                view,
                lease_clock,
            });
        }
        let core = tokio::spawn(core.run());
        let (names, names_in_force) = watch::channel(Arc::new(directory));
        let config = Arc::new(config);
        let reload = Reload {
            running: config.clone(),
            numbers,
            names,
            discovery_address,
            logging: logging.clone(),
            handle: handle.clone(),
            lifecycle: lifecycle.clone(),
        };
        tokio::spawn(reload.run(hangup));
        start_discovery(&config, &handle, address, subscriptions);
        tokio::spawn(back.watch());
        let http = http_front(&config, &handle, &back, names_in_force, &phase, &memory);
        Ok(Proxy { config, handle, lifecycle, phase, logging, back, memory, http, sftp, grpc, fleet, core })
    }

    /// Binds the clients' address, or takes over the socket that was passed.
    pub async fn listen(&self) -> Result<TcpListener, Box<dyn Error>> {
        let config = &self.config;
        let listener = match config.passed_socket {
            Some(descriptor) => {
                let listener = passed::take(descriptor, config.listen)
                    .map_err(|problem| format!("GW_PASSED_SOCKET={descriptor}: {problem}"))?;
                TcpListener::from_std(listener)?
            }
            None => TcpListener::bind(config.listen).await?,
        };
        event!(UP, name = config.name, listen:% = listener.local_addr()?);
        Ok(listener)
    }
}

fn http_front(
    config: &Config,
    handle: &Handle,
    back: &NodeClient,
    names: watch::Receiver<Arc<Directory>>,
    phase: &watch::Receiver<Phase>,
    memory: &ProxyMemory,
) -> HttpFront {
    HttpFront {
        handle: handle.clone(),
        back: back.clone(),
        names,
        answer_margin: config.answer_margin,
        phase: phase.clone(),
        memory: memory.clone(),
        ids: Ids::new(config.most_ids, config.longest_deadline() + ID_RETENTION_MARGIN),
    }
}

fn start_discovery(
    config: &Config,
    handle: &Handle,
    address: watch::Receiver<SocketAddr>,
    subscriptions: mpsc::UnboundedReceiver<()>,
) {
    let discovery = Discovery {
        address,
        known: config.known.clone(),
        handle: handle.clone(),
        on_demand: config.settings.must_subscribe,
        stop_within: Duration::from_micros(config.settings.drain_grace),
    };
    tokio::spawn(discovery.run(subscriptions));
}

/// The view of which processes run, where its file asks for it and the settings allow messages between hosts.
fn start_fleet_view(config: &Config) -> Result<Option<Fleet>, Box<dyn Error>> {
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

/// Opens the socket for messages between hosts, where the settings allow them.
async fn talk_to_peers(
    config: &Config,
    core: &mut Core,
    fleet: Option<&Fleet>,
    phase: &watch::Receiver<Phase>,
) -> Result<(), Box<dyn Error>> {
    let Some(Talking { listen, peers, all }) = config.talk.clone() else { return Ok(()) };
    let (number, heads) = (config.settings.position, peers.len());
    // Another process of this host may have the address: messages between hosts are never needed.
    match PeerSocket::open(listen, Peers::new(peers, all, number, std::time::Instant::now())).await {
        Ok((mut peer_socket, peer_sender)) => {
            event!(TALK, listen:% = peer_socket.address()?, peers = heads);
            core.set_peer_sender(peer_sender);
            if let Some(fleet) = fleet {
                peer_socket.set_fleet(fleet.clone());
            }
            tokio::spawn(peer_socket.run(core.handle(), phase.clone()));
        }
        Err(problem) => event!(TALK_OFF, listen:%, problem:%),
    }
    Ok(())
}
