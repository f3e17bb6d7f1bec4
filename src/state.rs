//! The state of the scheduling policy: flows, pending requests and nodes, with their token buckets and
//! queues. The decisions are in `policy`.

use crate::interface::*;
use fair_queue::FlowState;
use std::collections::{BTreeMap, BTreeSet, VecDeque};

/// Microseconds in a second.
pub const SECOND: f64 = 1e6;
/// The weight of one answer in a node's moving averages.
pub const EWMA_WEIGHT: f64 = 0.125;
/// The latency per queued request is measured on queues of at least this length; shorter ones are too noisy.
const MIN_MEASURED_QUEUE: f64 = 4.0;
/// How fast a queue is assumed to shrink without new reports: microseconds of wait per microsecond passed.
const QUEUE_DECAY: f64 = 0.5;

/// The index of a flow in the policy's list of flows.
pub type FlowIndex = usize;
/// Where a request may be served: at the node of a shard or, for a new object (`None`), at any node.
pub type Destination = Option<u16>;

/// A token bucket that fills at a rate up to a cap.
#[derive(Debug, Default)]
pub struct TokenBucket {
    /// The units in the bucket at time `at`.
    pub level: f64,
    /// When the bucket was last filled.
    pub at: Micros,
}

impl TokenBucket {
    /// Fills the bucket up to now, at `rate` units per second and up to `cap`, and returns its level.
    pub fn fill(&mut self, now: Micros, rate: f64, cap: f64) -> f64 {
        self.level = (self.level + rate * (now - self.at) as f64 / SECOND).min(cap);
        self.at = now;
        self.level
    }
}

/// A moving mean of units per second that leaves out the latest arrival.
#[derive(Debug, Default)]
pub struct Rate {
    sum: f64,
    latest: f64,
    /// When the latest units arrived.
    pub at: Micros,
}

impl Rate {
    /// The time constant of the mean, microseconds.
    const SPAN: f64 = 10.0 * SECOND;
    /// The shortest time that the mean is taken over, microseconds, so that a burst doesn't count as a rate.
    const MIN_SPAN: f64 = 2.0 * SECOND;

    /// Adds units that arrived now.
    pub fn add(&mut self, now: Micros, units: f64) {
        let decay = (-((now - self.at) as f64) / Self::SPAN).exp();
        (self.sum, self.latest, self.at) = ((self.sum + self.latest) * decay, units, now);
    }

    /// The mean in units per second since `start`, without the latest arrival: the mean is read just after that
    /// arrival, which would bias it upwards.
    pub fn before_latest(&self, now: Micros, start: Micros) -> f64 {
        let decay = |since| (-((now - since) as f64) / Self::SPAN).exp();
        self.sum * decay(self.at) * SECOND / (Self::SPAN * (1.0 - decay(start))).max(Self::MIN_SPAN)
    }
}

/// The state of one volume at this host.
#[derive(Debug, Default)]
pub struct Flow {
    pub plan: Plan,
    pub plan_number: usize,
    /// The number of hosts that the volume's requests come through.
    pub hosts: f64,
    /// The flow's virtual time and activity.
    pub fair: FlowState,
    /// The bucket of the volume's rate limit.
    pub limit: TokenBucket,
    /// The bucket of the volume's reserve.
    pub reserve: TokenBucket,
    /// Units per second served through this host, as of `own_use_at`.
    pub own_use: f64,
    pub own_use_at: Micros,
    /// Units per second served through other hosts, by the reports of use; `None` without a report.
    pub elsewhere: Option<f64>,
}

impl Flow {
    /// The weight of one report of use in the estimate of what the volume gets through other hosts.
    const USE_WEIGHT: f64 = 0.3;
    /// The time over which this host's own use is averaged, in use periods.
    const USE_PERIODS: f64 = 1.5;

    /// The units that the volume's rate limit admits at this host now. Each host gets an even part of rate
    /// and burst.
    pub fn limit_available(&mut self, now: Micros, share: f64) -> f64 {
        let hosts = self.hosts / share;
        self.limit.fill(now, self.plan.limit / hosts, self.plan.limit_burst / hosts)
    }

    /// This host's part of the volume's reserve, units per second: what other hosts leave unused by the
    /// reports of use, but at least an even part. Without reports it is the reserve divided by the square
    /// root of the number of hosts, more than an even part: too little at the host with most of a volume's
    /// traffic costs more than too much at the others.
    pub fn reserve_rate(&self) -> f64 {
        let reserve = self.plan.reserve;
        match self.elsewhere {
            Some(elsewhere) => (reserve - elsewhere).clamp(reserve / self.hosts, reserve),
            None => reserve / self.hosts.sqrt(),
        }
    }

    /// Records units served through this host and, if the answer reports the volume's total use, what is
    /// served through other hosts.
    pub fn observe_use(&mut self, now: Micros, units: f64, used: Option<f64>, period: f64) {
        let span = Self::USE_PERIODS * if period > 0.0 { period } else { SECOND };
        let decay = (-((now - self.own_use_at) as f64) / span).exp();
        self.own_use = self.own_use * decay + units * SECOND / span;
        self.own_use_at = now;
        if let Some(used) = used {
            let elsewhere = (used * self.plan.rate - self.own_use).max(0.0);
            let before = self.elsewhere.unwrap_or(elsewhere);
            self.elsewhere = Some(before + Self::USE_WEIGHT * (elsewhere - before));
        }
    }
}

/// What is known of an attempt.
#[derive(Debug, PartialEq, Clone, Copy)]
pub enum AttemptState {
    /// Sent and not ended.
    InFlight,
    /// Ended, and the node did not run it.
    NotRun,
    /// Ended, and the node may have run it.
    MayHaveRun,
}

/// One attempt of a request.
#[derive(Debug)]
pub struct Attempt {
    /// The node, with its zone and shard: the node may be removed before the request ends.
    pub node: NodeId,
    pub zone: u16,
    pub shard: u16,
    pub sent: Micros,
    pub state: AttemptState,
}

/// A request without a final answer, or with attempts in flight.
#[derive(Debug)]
pub struct PendingRequest {
    pub flow: FlowIndex,
    pub destination: Destination,
    pub class: usize,
    /// The key, if the request's class is ordered; otherwise 0.
    pub key: u64,
    pub units: f64,
    /// Order of arrival at this host.
    pub serial: u64,
    /// When the latency target ends.
    pub target_at: Micros,
    /// Two ticks before the client's deadline: a request with nothing in flight gets its final answer then at
    /// the latest. Attempts in flight then continue until the deadline, which the core enforces.
    pub answer_by: Micros,
    /// When the request is given up if no attempt may have run by then.
    pub give_up_at: Micros,
    /// The request is within its volume's reserve.
    pub reserved: bool,
    /// The rate limit was charged for the request.
    pub limit_charged: bool,
    /// The answer of an attempt has begun, or an attempt is bound to a body that is too long to keep.
    pub streaming: bool,
    /// The setting at the time of the request's arrival.
    pub max_attempts: u32,
    /// The request has its final answer, or its client left.
    pub over: bool,
    pub attempts: Vec<Attempt>,
}

impl PendingRequest {
    /// Whether an attempt is in flight.
    pub fn has_attempt_in_flight(&self) -> bool {
        self.attempts.iter().any(|a| a.state == AttemptState::InFlight)
    }

    /// The first attempt that may have run, including one in flight.
    pub fn first_that_may_have_run(&self) -> Option<&Attempt> {
        self.attempts.iter().find(|a| a.state != AttemptState::NotRun)
    }
}

/// The state of one attempt in flight at a node.
#[derive(Debug, Default)]
pub struct InFlightMark {
    /// The number of later requests that the node has answered.
    pub overtaken: u32,
    /// The attempt was cancelled because it is lost.
    pub cancelled: bool,
    /// The request's body or the answer is being streamed, which may take any time.
    pub streaming: bool,
}

/// A storage node as this host knows it.
#[derive(Debug)]
pub struct Node {
    pub zone: u16,
    pub shard: u16,
    /// The node takes requests.
    pub ready: bool,
    /// The node is off the list, and dropped once it has nothing in flight.
    pub removed: bool,
    /// The time of its last start, as listed; 0: long ago.
    pub started: Micros,
    /// The number of tokens that this process has at the node.
    pub depth: f64,
    /// The attempts in flight, oldest first.
    pub in_flight: BTreeMap<(Micros, RequestId), InFlightMark>,
    /// When the node last answered a request of this host, or another host reported an answer's queue
    /// length.
    pub last_answer_at: Micros,
    /// Moving mean of the latency, microseconds.
    pub latency: f64,
    /// Moving mean of the units of an answer.
    pub units: f64,
    /// The lowest recent latency per unit, microseconds.
    pub best_latency_per_unit: f64,
    /// The node gets no work before this.
    pub ejected_until: Micros,
    /// Since when the node has been silent, if it is unresponsive.
    pub unresponsive_since: Option<Micros>,
    /// Failed connections and attempts that timed out since the node's last answer.
    pub failures: u32,
    /// When slow start began, if it has not ended.
    pub slow_start_since: Option<Micros>,
    /// Time and units of recent sends during slow start.
    pub slow_start_sends: VecDeque<(Micros, f64)>,
    /// This host's unused part of the node's capacity during slow start.
    pub slow_start_credit: TokenBucket,
    /// The wait in the node's queue as last reported by the node or another host, or as this host inferred
    /// it from a latency, microseconds.
    pub queue_wait: f64,
    /// When `queue_wait` was reported or inferred.
    pub queue_wait_at: Micros,
    /// When the queue was last reported to or by other hosts, or probed.
    pub queue_view_at: Micros,
    /// The latency per queued request, microseconds.
    pub latency_per_queued: f64,
    /// The fraction of hosts that may send work outside the reserve or new objects, as of `admitted_at`.
    pub admitted_fraction: f64,
    pub admitted_at: Micros,
    /// When the probe in flight was sent, if there is one.
    pub probe_sent_at: Option<Micros>,
}

impl Node {
    /// Creates a newly listed node, with nothing in flight and no estimates.
    pub fn new(entry: &NodeEntry, now: Micros, depth: f64) -> Self {
        Node {
            zone: entry.zone,
            shard: entry.shard,
            ready: false,
            removed: false,
            started: entry.started,
            depth,
            in_flight: BTreeMap::new(),
            last_answer_at: 0,
            latency: 0.0,
            units: 0.0,
            best_latency_per_unit: 0.0,
            ejected_until: 0,
            unresponsive_since: None,
            failures: 0,
            slow_start_since: None,
            slow_start_sends: VecDeque::new(),
            slow_start_credit: TokenBucket::default(),
            queue_wait: 0.0,
            queue_wait_at: 0,
            queue_view_at: 0,
            latency_per_queued: 0.0,
            admitted_fraction: 1.0,
            admitted_at: now,
            probe_sent_at: None,
        }
    }
}

impl Node {
    /// How long a request sent now would wait in the node's own queue, microseconds.
    pub fn queue_wait(&self, now: Micros) -> f64 {
        (self.queue_wait - QUEUE_DECAY * (now - self.queue_wait_at) as f64).max(0.0)
    }

    /// Records a report of `queue` queued requests, with the latency of the answer that waited behind them;
    /// the latency is `None` for the answer to a probe.
    /// `typical` is the latency per queued request of other nodes, used where this node's is unknown.
    pub fn observe_queue(&mut self, now: Micros, queue: f64, latency: Option<f64>, typical: f64) {
        let idle = self.best_latency_per_unit * self.units;
        if let Some(latency) = latency.filter(|_| queue >= MIN_MEASURED_QUEUE) {
            let per_request = (latency - idle).max(0.0) / queue;
            self.latency_per_queued += if self.latency_per_queued > 0.0 {
                EWMA_WEIGHT * (per_request - self.latency_per_queued)
            } else {
                per_request
            };
        }
        let per_request = [self.latency_per_queued, idle / 2.0, typical]
            .into_iter()
            .find(|per_request| *per_request > 0.0)
            .unwrap_or(0.0);
        (self.queue_wait, self.queue_wait_at) = (queue * per_request, now);
    }

    /// Whether the node gets no work now, or only one request at a time.
    pub fn avoided(&self, now: Micros) -> bool {
        !self.ready || self.unresponsive_since.is_some() || self.ejected_until > now
    }
}

/// The flows' queues, one for each flow and destination, each in order of arrival.
#[derive(Debug, Default)]
pub struct Queues(BTreeMap<(Destination, FlowIndex), BTreeSet<(u64, RequestId)>>);

impl Queues {
    /// Adds a request, given by its order of arrival and id.
    pub fn insert(&mut self, destination: Destination, flow: FlowIndex, request: (u64, RequestId)) {
        self.0.entry((destination, flow)).or_default().insert(request);
    }

    /// Removes a request, and returns whether it was queued.
    pub fn remove(&mut self, destination: Destination, flow: FlowIndex, request: (u64, RequestId)) -> bool {
        let Some(queue) = self.0.get_mut(&(destination, flow)) else { return false };
        let removed = queue.remove(&request);
        if queue.is_empty() {
            self.0.remove(&(destination, flow));
        }
        removed
    }

    /// Whether no request is queued.
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }

    /// All queues that are not empty.
    pub fn iter(&self) -> impl Iterator<Item = (Destination, FlowIndex, &BTreeSet<(u64, RequestId)>)> {
        self.0.iter().map(|((destination, flow), queue)| (*destination, *flow, queue))
    }

    /// The queued requests of one flow, for all destinations.
    pub fn of(&self, flow: FlowIndex) -> impl Iterator<Item = &RequestId> {
        self.iter().filter(move |(_, of, _)| *of == flow).flat_map(|(.., queue)| queue).map(|(_, id)| id)
    }

    /// The queues for one destination.
    pub fn at(
        &self,
        destination: Destination,
    ) -> impl Iterator<Item = (FlowIndex, &BTreeSet<(u64, RequestId)>)> {
        self.0
            .range((destination, 0)..=(destination, FlowIndex::MAX))
            .map(|((_, flow), queue)| (*flow, queue))
    }
}

/// The pending requests of one key of an ordered class.
#[derive(Debug, Default)]
pub struct KeyQueue {
    /// Pending requests in order of arrival; only the first may be sent.
    pub queue: VecDeque<RequestId>,
    /// No request is sent before this, because an earlier attempt may still run.
    pub blocked_until: Micros,
}

/// Drops times that are more than `window` ago.
pub fn drop_expired(times: &mut VecDeque<Micros>, now: Micros, window: Micros) {
    while times.front().is_some_and(|t| t + window < now) {
        times.pop_front();
    }
}

/// A pseudo-random number from 0 to 1, determined by the host's seed and a value.
pub fn hash_fraction(seed: u64, value: u64) -> f64 {
    let mixed = (seed ^ value.wrapping_mul(0x9e37_79b9_7f4a_7c15)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    ((mixed ^ (mixed >> 31)).wrapping_mul(0x94d0_49bb_1331_11eb) >> 11) as f64 / (1u64 << 53) as f64
}
