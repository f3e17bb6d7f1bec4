//! What all tasks of an edge share: the deciding parts, behind one lock that is never held across a wait.

use super::admission::Admissions;
use super::generation::Generations;
use super::rollout::Rollout;
use crate::clock;
use crate::net::client::ConnectionPool;
use crate::net::mesh::Mesh;
use crate::settings::Settings;
use crate::startup::Startup;
use arc_swap::{ArcSwap, ArcSwapOption};
use pathbank_control::result_code::ResultCode;
use pathbank_control::routes::RouteTable;
use pathbank_protocol::message::{ConfigurationInForce, EdgeReport, ModelDemand, ModelVersions};
use pathbank_router::core_choice::CoreChoice;
use pathbank_router::dispatcher::{Action, Dispatcher, Offer, RequestId};
use pathbank_router::evacuation::EventRate;
use pathbank_router::model_servers::{AttemptOutcome, Instance};
use pathbank_router::prompt::ModelName;
use pathbank_router::request_log::{RequestLog, Step};
use pathbank_router::retry_budget::{RetryBudget, RetryBudgetLimits};
use pathbank_router::usage::UsageCounter;
use pathbank_router::wall_clock::WallClock;
use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, OnceLock, PoisonError};
use tokio::sync::{Notify, oneshot};

/// What the dispatcher decided for a request.
#[derive(Debug)]
pub enum Decision {
    /// It goes to this model server now.
    Send {
        /// The model server's incarnation.
        instance: Instance,
        /// Where it is reached.
        address: String,
    },
    /// Its final answer: it has not run.
    Reject {
        /// Why.
        code: ResultCode,
        /// When to come back, milliseconds.
        retry_after: u64,
    },
}

/// The deciding parts.
pub struct Deciding {
    /// Which request goes where.
    pub dispatcher: Dispatcher,
    /// Second sends.
    pub budget: RetryBudget,
    /// Requests begun.
    pub usage: UsageCounter,
    /// The system's time of day.
    pub wall_clock: WallClock,
    /// What became of the latest requests.
    pub request_log: RequestLog,
    /// Which core is listened to.
    pub core_choice: CoreChoice,
    reports: Reports,
    /// How many events streams have.
    pub event_rate: EventRate,
    waiting: BTreeMap<RequestId, oneshot::Sender<Decision>>,
    /// Streams that can be told to leave their model server.
    movable: BTreeMap<RequestId, Arc<Departure>>,
    next_id: RequestId,
}

/// Word to a stream that its model server is taken away.
#[derive(Debug, Default)]
pub struct Departure {
    gone_at: AtomicU64,
    told: Notify,
}

impl Departure {
    /// Waits for the word; when the model server is gone.
    pub async fn told(&self) -> u64 {
        self.told.notified().await;
        self.gone_at.load(Ordering::Relaxed)
    }

    fn tell(&self, gone_at: u64) {
        self.gone_at.store(gone_at, Ordering::Relaxed);
        self.told.notify_one();
    }
}

/// For how long demand is remembered for a new leader, milliseconds.
const DEMAND_REMEMBERED: u64 = 4_000;
/// A new configuration alone is reason for a report at most this often, milliseconds.
const CONFIGURATION_TOLD_EVERY: u64 = 1_000;

/// What was reported, for a leader that has heard nothing.
#[derive(Default)]
struct Reports {
    told_to: Option<SocketAddr>,
    had_loads: bool,
    demand: VecDeque<(u64, ModelDemand)>,
    /// The configuration that was told last, and when.
    configuration_index: u64,
    configuration_told: u64,
}

impl Reports {
    fn remember(&mut self, now: u64, demand: &[ModelDemand]) {
        self.demand.extend(demand.iter().cloned().map(|demand| (now, demand)));
        while self.demand.front().is_some_and(|(at, _)| now > at + DEMAND_REMEMBERED) {
            self.demand.pop_front();
        }
    }

    /// How far back what is remembered reaches, milliseconds.
    fn span(&self, now: u64) -> u64 {
        self.demand.front().map_or(0, |(at, _)| now.saturating_sub(*at))
    }

    /// Whether the leader should hear of the configuration in force although nothing else is to be told.
    fn is_configuration_due(&self, now: u64, in_force: ConfigurationInForce) -> bool {
        in_force.index != self.configuration_index
            && now >= self.configuration_told + CONFIGURATION_TOLD_EVERY
    }

    fn recent(&self) -> Vec<ModelDemand> {
        self.demand.iter().map(|(_, demand)| demand.clone()).collect()
    }
}

/// What all tasks share.
pub struct Shared {
    /// The settings at the start.
    pub settings: Settings,
    /// Another number at each start.
    pub incarnation: u64,
    /// How this edge came to serve.
    pub startup: Startup,
    /// The configuration in force.
    pub routes: ArcSwapOption<RouteTable>,
    /// Versions of models in training.
    pub model_versions: ArcSwap<Vec<ModelVersions>>,
    /// Questions to the leader where prompts should go.
    pub admissions: Admissions,
    /// Generations of training steps.
    pub generations: Generations,
    /// Configurations that cores told and that are not in force yet.
    pub rollout: Rollout,
    /// Connections to model servers.
    pub pool: ConnectionPool,
    /// Links to the cores.
    pub mesh: OnceLock<Mesh>,
    /// Control-plane addresses of the settings and addresses that cores told.
    pub cores: Mutex<core_addresses::CoreAddresses>,
    /// A core told all model servers that it knows.
    pub has_servers: AtomicBool,
    /// The process stops.
    pub stopping: AtomicBool,
    /// The cores should hear of demand at once.
    pub urgent: Notify,
    deciding: Mutex<Deciding>,
}

/// Where cores may be.
pub mod core_addresses {
    use std::net::SocketAddr;

    /// Addresses for messages.
    #[derive(Debug, Default)]
    pub struct CoreAddresses {
        /// From the settings file.
        pub seeds: Vec<SocketAddr>,
        /// From the cores themselves.
        pub members: Vec<SocketAddr>,
    }
}

impl Shared {
    /// The state of an edge that has just started.
    pub fn new(settings: Settings, startup: Startup) -> Arc<Shared> {
        let bounds = RetryBudgetLimits {
            ratio: settings.bounds.retry_budget_ratio,
            slack: settings.bounds.retry_budget_slack,
            window: settings.bounds.budget_window_ms,
        };
        let incarnation = clock::entropy();
        let deciding = Deciding {
            dispatcher: Dispatcher::new(settings.zone.clone(), incarnation),
            budget: RetryBudget::new(bounds),
            usage: UsageCounter::new(settings.bounds.report_window_ms),
            wall_clock: WallClock::default(),
            request_log: RequestLog::default(),
            core_choice: CoreChoice::new(settings.zone.clone(), incarnation),
            reports: Reports::default(),
            event_rate: EventRate::default(),
            waiting: BTreeMap::new(),
            movable: BTreeMap::new(),
            next_id: 1,
        };
        Arc::new(Shared {
            settings,
            incarnation,
            startup,
            routes: ArcSwapOption::empty(),
            model_versions: ArcSwap::default(),
            admissions: Admissions::default(),
            generations: Generations::default(),
            rollout: Rollout::default(),
            pool: ConnectionPool::default(),
            mesh: OnceLock::new(),
            cores: Mutex::default(),
            has_servers: AtomicBool::new(false),
            stopping: AtomicBool::new(false),
            urgent: Notify::new(),
            deciding: Mutex::new(deciding),
        })
    }

    /// The deciding parts; never held across a wait.
    pub fn deciding(&self) -> MutexGuard<'_, Deciding> {
        self.deciding.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Whether clients should come here.
    pub fn is_ready(&self) -> bool {
        let informed = self.routes.load().is_some() && self.has_servers.load(Ordering::Relaxed);
        informed && !self.stopping.load(Ordering::Relaxed)
    }

    /// Requests that are not answered yet.
    pub fn open_requests(&self) -> usize {
        self.deciding().dispatcher.pending_requests()
    }

    /// A number for a request, unique in this process's incarnation.
    pub fn next_id(&self) -> RequestId {
        let mut deciding = self.deciding();
        deciding.next_id += 1;
        deciding.next_id
    }

    /// Offers a request; what is decided comes through the receiver.
    pub fn offer(&self, offer: Offer, first: bool) -> oneshot::Receiver<Decision> {
        let (sender, receiver) = oneshot::channel();
        let mut deciding = self.deciding();
        deciding.waiting.insert(offer.id, sender);
        let actions = deciding.dispatcher.offer(clock::now(), offer, first);
        self.carry_out(deciding, actions);
        receiver
    }

    /// The word that a stream may get at its model server.
    pub fn departure(&self, id: RequestId) -> Arc<Departure> {
        self.deciding().movable.entry(id).or_default().clone()
    }

    /// A request has ended, at its model server or while it waited.
    pub fn finish(&self, id: RequestId, outcome: AttemptOutcome) {
        let mut deciding = self.deciding();
        deciding.waiting.remove(&id);
        deciding.movable.remove(&id);
        let actions = deciding.dispatcher.finish(clock::now(), id, outcome);
        self.carry_out(deciding, actions);
    }

    /// What a request that is at no model server waits for, and since when it has been here.
    pub fn waiting(&self, id: RequestId) -> Option<(ModelName, u64, &'static str)> {
        let deciding = self.deciding();
        let (offer, stage) = deciding.dispatcher.queued(id)?;
        Some((offer.name.clone(), clock::now().saturating_sub(offer.arrived), stage))
    }

    /// Time has passed.
    pub fn tick(&self, now: u64) {
        let mut deciding = self.deciding();
        let actions = deciding.dispatcher.tick(now);
        self.carry_out(deciding, actions);
    }

    /// The process stops: whatever is not at a model server is refused.
    pub fn refuse_waiting(&self, retry_after: u64) {
        let mut deciding = self.deciding();
        let actions = deciding.dispatcher.reject_queued(clock::now(), retry_after);
        self.carry_out(deciding, actions);
    }

    /// Model servers changed.
    pub fn update_servers(&self, update: pathbank_protocol::message::ModelServerUpdate) {
        let mut deciding = self.deciding();
        let actions = deciding.dispatcher.update_servers(clock::now(), update);
        self.carry_out(deciding, actions);
    }

    fn carry_out(&self, mut deciding: MutexGuard<'_, Deciding>, actions: Vec<Action>) {
        for action in actions {
            let (id, decision) = match action {
                Action::Send { id, instance, address } => (id, Decision::Send { instance, address }),
                Action::Reject { id, code, retry_after } => (id, Decision::Reject { code, retry_after }),
                Action::Evacuate { id, ends_at } => {
                    if let Some(departure) = deciding.movable.get(&id) {
                        departure.tell(ends_at);
                    }
                    continue;
                }
            };
            if let Some(waiting) = deciding.waiting.remove(&id) {
                // Whoever waited may just have left; its guard ends the request.
                let _ = waiting.send(decision);
            }
        }
        if deciding.dispatcher.take_urgent_demand() {
            self.urgent.notify_one();
        }
    }

    /// A step of a request's way, by the client's id.
    pub fn note_step(&self, id: &str, step: Step) {
        self.deciding().request_log.record(clock::now(), id, step);
    }

    /// A request of a tenant began to run.
    pub fn began(&self, tenant: &str) {
        let mut deciding = self.deciding();
        let wall_clock = deciding.wall_clock.now(clock::now(), clock::wall_clock());
        deciding.usage.record_start(wall_clock, tenant);
    }

    /// What the leader should hear now, and where it is; `None`: nothing has changed, or no leader is
    /// reached. What is not told stays for the next one.
    pub fn report(&self) -> Option<(SocketAddr, EdgeReport)> {
        let now = clock::now();
        let mut deciding = self.deciding();
        let leader = deciding.core_choice.leader()?;
        let (demand, loads) = deciding.dispatcher.take_report();
        let changed = deciding.usage.take_changed();
        let is_new = deciding.reports.told_to != Some(leader);
        let had_loads = std::mem::replace(&mut deciding.reports.had_loads, !loads.is_empty());
        let configuration = self.configuration_in_force(now);
        let has_news = deciding.reports.is_configuration_due(now, configuration);
        let has_counts = !(demand.is_empty() && loads.is_empty() && changed.is_empty());
        if !has_counts && !is_new && !had_loads && !has_news {
            return None;
        }
        deciding.reports.configuration_index = configuration.index;
        deciding.reports.configuration_told = now;
        deciding.reports.told_to = Some(leader);
        deciding.reports.remember(now, &demand);
        let report = EdgeReport {
            edge: self.settings.node_name.clone(),
            incarnation: self.incarnation,
            usage: if is_new { deciding.usage.windows() } else { changed },
            demand: if is_new { deciding.reports.recent() } else { demand },
            loads,
            demand_span_ms: if is_new { deciding.reports.span(now) } else { 0 },
            configuration,
        };
        Some((leader, report))
    }

    fn configuration_in_force(&self, now: u64) -> ConfigurationInForce {
        let Some(routes) = self.routes.load_full() else { return ConfigurationInForce::default() };
        let for_ms = now.saturating_sub(self.rollout.in_force_since());
        ConfigurationInForce { index: routes.index, version: routes.version, for_ms }
    }

    /// The link to a core has ended. If it leads again, it may have forgotten what it was told.
    pub fn core_lost(&self, address: SocketAddr) {
        let mut deciding = self.deciding();
        deciding.core_choice.disconnected(address);
        if deciding.reports.told_to == Some(address) {
            deciding.reports.told_to = None;
        }
    }

    /// All counts of usage that are kept, for every core: this process ends, and the leader may end after it.
    pub fn farewell(&self) -> EdgeReport {
        EdgeReport {
            edge: self.settings.node_name.clone(),
            incarnation: self.incarnation,
            usage: self.deciding().usage.windows(),
            configuration: self.configuration_in_force(clock::now()),
            ..EdgeReport::default()
        }
    }

    /// The addresses at which cores may be.
    pub fn core_addresses(&self) -> Vec<SocketAddr> {
        let cores = self.cores.lock().unwrap_or_else(PoisonError::into_inner);
        let mut addresses: Vec<SocketAddr> = cores.seeds.iter().chain(&cores.members).copied().collect();
        addresses.sort_unstable();
        addresses.dedup();
        addresses
    }
}
