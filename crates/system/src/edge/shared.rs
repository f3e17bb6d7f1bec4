//! The state that all tasks of an edge share. Its decision logic is behind one lock that is never held across an `await`.

use super::configuration_queue::ConfigurationQueue;
use super::core_addresses::CoreAddresses;
use super::evacuation::EvacuationNotice;
use super::generation_count::GenerationCount;
use super::pending_admissions::PendingAdmissions;
use super::report_history::ReportHistory;
use crate::clock;
use crate::net::client::ConnectionPool;
use crate::net::mesh::Mesh;
use crate::settings::Settings;
use crate::startup::Startup;
use arc_swap::{ArcSwap, ArcSwapOption};
use pathbank_control::result_code::ResultCode;
use pathbank_control::routes::RouteTable;
use pathbank_protocol::message::{ConfigurationInForce, EdgeReport, ModelVersions};
use pathbank_router::core_choice::CoreChoice;
use pathbank_router::dispatcher::{Action, Dispatcher, Offer, RequestId};
use pathbank_router::evacuation::EventRate;
use pathbank_router::model_servers::{AttemptOutcome, Instance};
use pathbank_router::prompt::ModelName;
use pathbank_router::request_log::{RequestLog, Step};
use pathbank_router::retry_budget::{RetryBudget, RetryBudgetLimits};
use pathbank_router::usage::UsageCounter;
use pathbank_router::wall_clock::WallClock;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, OnceLock, PoisonError};
use tokio::sync::{Notify, oneshot};

/// The dispatcher's decision on a request.
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

/// The decision logic and its state.
pub struct Deciding {
    /// Which request goes where.
    pub dispatcher: Dispatcher,
    /// The budget of retries.
    pub budget: RetryBudget,
    /// Requests begun.
    pub usage: UsageCounter,
    /// The system's time of day.
    pub wall_clock: WallClock,
    /// What became of the latest requests.
    pub request_log: RequestLog,
    /// The core to which this edge subscribes.
    pub core_choice: CoreChoice,
    reports: ReportHistory,
    /// How many events streams have.
    pub event_rate: EventRate,
    waiting: BTreeMap<RequestId, oneshot::Sender<Decision>>,
    /// Notices to streams that can be resumed at another model server.
    evacuation_notices: BTreeMap<RequestId, Arc<EvacuationNotice>>,
    next_id: RequestId,
}

/// The state that all tasks share.
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
    /// Requests for admission at the leader.
    pub admissions: PendingAdmissions,
    /// Generations of training steps.
    pub generations: GenerationCount,
    /// Configurations that are not in force yet.
    pub configurations: ConfigurationQueue,
    /// Connections to model servers.
    pub pool: ConnectionPool,
    /// Links to the cores.
    pub mesh: OnceLock<Mesh>,
    /// Control-plane addresses of the settings and addresses that cores told.
    pub cores: Mutex<CoreAddresses>,
    /// A core has sent the complete list of model servers.
    pub has_servers: AtomicBool,
    /// The process stops.
    pub stopping: AtomicBool,
    /// Demand has to be reported at once.
    pub urgent: Notify,
    deciding: Mutex<Deciding>,
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
            reports: ReportHistory::default(),
            event_rate: EventRate::default(),
            waiting: BTreeMap::new(),
            evacuation_notices: BTreeMap::new(),
            next_id: 1,
        };
        Arc::new(Shared {
            settings,
            incarnation,
            startup,
            routes: ArcSwapOption::empty(),
            model_versions: ArcSwap::default(),
            admissions: PendingAdmissions::default(),
            generations: GenerationCount::default(),
            configurations: ConfigurationQueue::default(),
            pool: ConnectionPool::default(),
            mesh: OnceLock::new(),
            cores: Mutex::default(),
            has_servers: AtomicBool::new(false),
            stopping: AtomicBool::new(false),
            urgent: Notify::new(),
            deciding: Mutex::new(deciding),
        })
    }

    /// The decision logic; never held across an `await`.
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

    /// The notice that a stream gets when its model server will end.
    pub fn evacuation_notice(&self, id: RequestId) -> Arc<EvacuationNotice> {
        self.deciding().evacuation_notices.entry(id).or_default().clone()
    }

    /// A request has ended, at its model server or while it waited.
    pub fn finish(&self, id: RequestId, outcome: AttemptOutcome) {
        let mut deciding = self.deciding();
        deciding.waiting.remove(&id);
        deciding.evacuation_notices.remove(&id);
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
                    if let Some(notice) = deciding.evacuation_notices.get(&id) {
                        notice.notify(ends_at);
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
    pub fn record_step(&self, id: &str, step: Step) {
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
        let is_new = deciding.reports.reported_to != Some(leader);
        let had_loads = std::mem::replace(&mut deciding.reports.had_loads, !loads.is_empty());
        let configuration = self.configuration_in_force(now);
        let configuration_is_due = deciding.reports.is_configuration_due(now, configuration);
        let has_counts = !(demand.is_empty() && loads.is_empty() && changed.is_empty());
        if !has_counts && !is_new && !had_loads && !configuration_is_due {
            return None;
        }
        deciding.reports.record(now, leader, &demand, configuration);
        let report = EdgeReport {
            edge: self.settings.node_name.clone(),
            incarnation: self.incarnation,
            usage: if is_new { deciding.usage.windows() } else { changed },
            demand: if is_new { deciding.reports.recent() } else { demand },
            loads,
            demand_span_ms: if is_new { deciding.reports.span_ms(now) } else { 0 },
            configuration,
        };
        Some((leader, report))
    }

    fn configuration_in_force(&self, now: u64) -> ConfigurationInForce {
        let Some(routes) = self.routes.load_full() else { return ConfigurationInForce::default() };
        let for_ms = now.saturating_sub(self.configurations.in_force_since());
        ConfigurationInForce { index: routes.index, version: routes.version, for_ms }
    }

    /// The link to a core has ended. If it leads again, it may have forgotten what it was told.
    pub fn core_lost(&self, address: SocketAddr) {
        let mut deciding = self.deciding();
        deciding.core_choice.disconnected(address);
        if deciding.reports.reported_to == Some(address) {
            deciding.reports.reported_to = None;
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
        self.cores.lock().unwrap_or_else(PoisonError::into_inner).all()
    }
}
