//! The state that all tasks of an edge share. One lock guards the decision logic; no task holds it across an
//! `await`.

use super::answer_errors::AnswerErrorCounts;
use super::configuration_queue::ConfigurationQueue;
use super::core_addresses::CoreAddresses;
use super::evacuation::EvacuationNotice;
use super::generation_count::GenerationCount;
use super::pending_admissions::PendingAdmissions;
use super::report_history::ReportHistory;
use crate::clock;
use crate::memory::plan::EdgeMemory;
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
    /// Send the request to this model server now.
    Send {
        /// The model server's instance.
        instance: Instance,
        /// The model server's address.
        address: String,
    },
    /// Refuse the request; it has not run.
    Reject {
        /// The reason.
        code: ResultCode,
        /// After how many milliseconds the client may retry.
        retry_after: u64,
    },
}

/// The decision logic and its state.
pub struct DecisionState {
    /// Decides which model server gets a request.
    pub dispatcher: Dispatcher,
    /// Limits retries.
    pub budget: RetryBudget,
    /// Counts the requests of each tenant that began to run.
    pub usage: UsageCounter,
    /// The system's time of day, as cores report it.
    pub wall_clock: WallClock,
    /// The steps of the latest requests, for operators.
    pub request_log: RequestLog,
    /// The core to which this edge subscribes.
    pub core_choice: CoreChoice,
    reports: ReportHistory,
    /// Estimates how many events a stream has.
    pub event_rate: EventRate,
    /// Requests that wait for a decision.
    waiting: BTreeMap<RequestId, oneshot::Sender<Decision>>,
    /// The notices of streams that can be resumed at another model server.
    evacuation_notices: BTreeMap<RequestId, Arc<EvacuationNotice>>,
    next_id: RequestId,
}

/// The state that all tasks share.
pub struct Shared {
    /// The settings at the start.
    pub settings: Settings,
    /// A number that differs at each start of the process.
    pub incarnation: u64,
    /// The milestones of this edge's startup.
    pub startup: Startup,
    /// The configuration in force.
    pub routes: ArcSwapOption<RouteTable>,
    /// Versions of models in training.
    pub model_versions: ArcSwap<Vec<ModelVersions>>,
    /// Admission requests to the leader that wait for a grant.
    pub admissions: PendingAdmissions,
    /// Generations of training steps that run at the moment.
    pub generations: GenerationCount,
    /// Configuration updates that are not in force yet.
    pub configurations: ConfigurationQueue,
    /// What model servers sent instead of answers.
    pub answer_errors: AnswerErrorCounts,
    /// The shares of the memory that others may make this edge hold.
    pub memory: EdgeMemory,
    /// Connections to model servers.
    pub pool: ConnectionPool,
    /// Links to the cores.
    pub mesh: OnceLock<Mesh>,
    /// Internal addresses of cores, from the settings and from the cores.
    pub cores: Mutex<CoreAddresses>,
    /// Whether a core has sent the complete list of model servers.
    pub has_server_list: AtomicBool,
    /// Whether the process is stopping.
    pub stopping: AtomicBool,
    /// Notified when a report of demand cannot wait for its interval.
    pub urgent: Notify,
    decisions: Mutex<DecisionState>,
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
        let decisions = DecisionState {
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
            memory: EdgeMemory::new(settings.memory_mb),
            settings,
            incarnation,
            startup,
            routes: ArcSwapOption::empty(),
            model_versions: ArcSwap::default(),
            admissions: PendingAdmissions::default(),
            generations: GenerationCount::default(),
            configurations: ConfigurationQueue::default(),
            answer_errors: AnswerErrorCounts::default(),
            pool: ConnectionPool::default(),
            mesh: OnceLock::new(),
            cores: Mutex::default(),
            has_server_list: AtomicBool::new(false),
            stopping: AtomicBool::new(false),
            urgent: Notify::new(),
            decisions: Mutex::new(decisions),
        })
    }

    /// Locks the decision logic. The guard is never held across an `await`.
    pub fn decisions(&self) -> MutexGuard<'_, DecisionState> {
        self.decisions.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Whether this edge can serve clients: it has a configuration and all model servers, and is not
    /// stopping.
    pub fn is_ready(&self) -> bool {
        let informed = self.routes.load().is_some() && self.has_server_list.load(Ordering::Relaxed);
        informed && !self.stopping.load(Ordering::Relaxed)
    }

    /// The number of requests that are not answered yet.
    pub fn open_requests(&self) -> usize {
        self.decisions().dispatcher.pending_requests()
    }

    /// Returns a number for a request, unique in this incarnation of the process.
    pub fn next_id(&self) -> RequestId {
        let mut decisions = self.decisions();
        decisions.next_id += 1;
        decisions.next_id
    }

    /// Offers a request to the dispatcher. The decision arrives through the receiver.
    pub fn offer(&self, offer: Offer, first: bool) -> oneshot::Receiver<Decision> {
        let (sender, receiver) = oneshot::channel();
        let mut decisions = self.decisions();
        decisions.waiting.insert(offer.id, sender);
        let actions = decisions.dispatcher.offer(clock::now(), offer, first);
        self.carry_out(decisions, actions);
        receiver
    }

    /// The notice through which a stream learns that its model server will stop.
    pub fn evacuation_notice(&self, id: RequestId) -> Arc<EvacuationNotice> {
        self.decisions().evacuation_notices.entry(id).or_default().clone()
    }

    /// Records that a request has ended, at its model server or while it waited.
    pub fn finish(&self, id: RequestId, outcome: AttemptOutcome) {
        let mut decisions = self.decisions();
        decisions.waiting.remove(&id);
        decisions.evacuation_notices.remove(&id);
        let actions = decisions.dispatcher.finish(clock::now(), id, outcome);
        self.carry_out(decisions, actions);
    }

    /// The model, the age in milliseconds and the stage of a request that waits for a model server. `None`:
    /// it does not wait.
    pub fn waiting(&self, id: RequestId) -> Option<(ModelName, u64, &'static str)> {
        let decisions = self.decisions();
        let (offer, stage) = decisions.dispatcher.queued(id)?;
        Some((offer.name.clone(), clock::now().saturating_sub(offer.arrived), stage))
    }

    /// Runs the dispatcher's periodic work.
    pub fn tick(&self, now: u64) {
        let mut decisions = self.decisions();
        let actions = decisions.dispatcher.tick(now);
        self.carry_out(decisions, actions);
    }

    /// Refuses all requests that are not at a model server, because the process is stopping.
    pub fn refuse_waiting(&self, retry_after: u64) {
        let mut decisions = self.decisions();
        let actions = decisions.dispatcher.reject_queued(clock::now(), retry_after);
        self.carry_out(decisions, actions);
    }

    /// Applies a change of the known model servers.
    pub fn update_servers(&self, update: pathbank_protocol::message::ModelServerUpdate) {
        let mut decisions = self.decisions();
        let actions = decisions.dispatcher.update_servers(clock::now(), update);
        self.carry_out(decisions, actions);
    }

    fn carry_out(&self, mut decisions: MutexGuard<'_, DecisionState>, actions: Vec<Action>) {
        for action in actions {
            let (id, decision) = match action {
                Action::Send { id, instance, address } => (id, Decision::Send { instance, address }),
                Action::Reject { id, code, retry_after } => (id, Decision::Reject { code, retry_after }),
                Action::Evacuate { id, ends_at } => {
                    if let Some(notice) = decisions.evacuation_notices.get(&id) {
                        notice.notify(ends_at);
                    }
                    continue;
                }
            };
            if let Some(waiting) = decisions.waiting.remove(&id) {
                // The waiting task may just have been dropped with its client; its `Ticket` then ends the
                // request.
                let _ = waiting.send(decision);
            }
        }
        if decisions.dispatcher.take_urgent_demand() {
            self.urgent.notify_one();
        }
    }

    /// Records a step of a request, under the client's id of the request.
    pub fn record_step(&self, id: &str, step: Step) {
        self.decisions().request_log.record(clock::now(), id, step);
    }

    /// Counts a tenant's request that began to run.
    pub fn record_start(&self, tenant: &str) {
        let mut decisions = self.decisions();
        let wall_clock = decisions.wall_clock.now(clock::now(), clock::wall_clock());
        decisions.usage.record_start(wall_clock, tenant);
    }

    /// The report that is due, and the leader's address. `None`: nothing has changed, or this edge has no
    /// link to a leader; unreported changes stay for the next report.
    pub fn report(&self) -> Option<(SocketAddr, EdgeReport)> {
        let now = clock::now();
        let mut decisions = self.decisions();
        let leader = decisions.core_choice.leader()?;
        let (demand, loads) = decisions.dispatcher.take_report();
        let changed = decisions.usage.take_changed();
        let is_new = decisions.reports.reported_to != Some(leader);
        let had_loads = std::mem::replace(&mut decisions.reports.had_loads, !loads.is_empty());
        let configuration = self.configuration_in_force(now);
        let configuration_is_due = decisions.reports.is_configuration_due(now, configuration);
        let has_counts = !(demand.is_empty() && loads.is_empty() && changed.is_empty());
        if !has_counts && !is_new && !had_loads && !configuration_is_due {
            return None;
        }
        decisions.reports.record(now, leader, &demand, configuration);
        let report = EdgeReport {
            edge: self.settings.node_name.clone(),
            incarnation: self.incarnation,
            usage: if is_new { decisions.usage.windows() } else { changed },
            demand: if is_new { decisions.reports.recent() } else { demand },
            loads,
            demand_span_ms: if is_new { decisions.reports.span_ms(now) } else { 0 },
            configuration,
        };
        Some((leader, report))
    }

    fn configuration_in_force(&self, now: u64) -> ConfigurationInForce {
        let Some(routes) = self.routes.load_full() else { return ConfigurationInForce::default() };
        let for_ms = now.saturating_sub(self.configurations.in_force_since());
        ConfigurationInForce { index: routes.index, version: routes.version, for_ms }
    }

    /// Handles the end of a link to a core. If that core leads again, it may have lost the state that was
    /// reported to it.
    pub fn on_core_disconnected(&self, address: SocketAddr) {
        let mut decisions = self.decisions();
        decisions.core_choice.disconnected(address);
        if decisions.reports.reported_to == Some(address) {
            decisions.reports.reported_to = None;
        }
    }

    /// The last report before this process ends, with all counts of usage that are kept. It goes to every
    /// core, because the leader may end soon after.
    pub fn final_report(&self) -> EdgeReport {
        EdgeReport {
            edge: self.settings.node_name.clone(),
            incarnation: self.incarnation,
            usage: self.decisions().usage.windows(),
            configuration: self.configuration_in_force(clock::now()),
            ..EdgeReport::default()
        }
    }

    /// The addresses at which cores may be reached.
    pub fn core_addresses(&self) -> Vec<SocketAddr> {
        self.cores.lock().unwrap_or_else(PoisonError::into_inner).all()
    }
}
