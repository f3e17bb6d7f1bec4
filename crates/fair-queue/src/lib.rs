//! Fair queueing over flows that share servers, after MQFQ-Sticky.
//!
//! Each flow has one virtual time and one queue per server. A server with a free slot takes the longest queue
//! among the active flows that are not throttled, and of that queue the oldest request; ties go to the flow
//! with the fewest requests in flight. The request's estimated size is added to its flow's virtual time. A
//! flow whose virtual time is more than the overrun ahead of the global virtual time (the lowest among active
//! flows) is throttled. If a server has requests of throttled flows only, it serves the flow with the lowest
//! virtual time. A flow that becomes active again takes the larger of its own and the global virtual time.
//!
//! ```
//! use pathbank_fair_queue::{FairQueue, Settings};
//!
//! let mut queue: FairQueue<&str, u32, u64> = FairQueue::new(Settings::default());
//! queue.push(0, "model-a", 1, 10, 2.0);
//! queue.push(0, "model-a", 1, 11, 2.0);
//! queue.push(0, "model-b", 1, 12, 2.0);
//! assert_eq!(queue.take(0, &1), Some(10), "the longest queue, and its oldest request");
//! ```

mod flow;

pub use flow::{Anticipation, Candidate, FlowState, Time, choose};

use std::collections::BTreeMap;
use std::collections::btree_map::Entry;

/// Milliseconds of a monotonic clock that the caller reads.
pub type Millis = Time;

/// The parameters of MQFQ-Sticky.
#[derive(Clone, Copy, Debug)]
pub struct Settings {
    /// T: how far a flow may be ahead of the global virtual time, in multiples of the largest size seen.
    pub overrun_sizes: f64,
    /// For how long a flow without queued requests stays active, milliseconds.
    pub anticipation: Anticipation,
}

impl Default for Settings {
    fn default() -> Settings {
        Settings { overrun_sizes: 4.0, anticipation: Anticipation { gaps: 2.0, first: 1_000 } }
    }
}

/// How long an idle flow is kept at least. It is also kept until the global virtual time has reached its own.
const IDLE_FLOW_RETENTION_MS: Millis = 120_000;

#[derive(Clone, Debug)]
struct QueuedRequest<S> {
    server: S,
    size: f64,
}

#[derive(Clone, Debug)]
struct Flow<S, R> {
    state: FlowState,
    /// Queued requests by their order of arrival.
    requests: BTreeMap<(u64, R), QueuedRequest<S>>,
    /// The number of queued requests at each server.
    queue_lengths: BTreeMap<S, usize>,
}

impl<S: Ord, R: Ord> Flow<S, R> {
    fn new(state: FlowState) -> Flow<S, R> {
        Flow { state, requests: BTreeMap::new(), queue_lengths: BTreeMap::new() }
    }

    /// The oldest of the eligible requests in a server's queue.
    fn oldest_at(&self, server: &S, eligible: &impl Fn(R) -> bool) -> Option<&(u64, R)>
    where
        R: Copy,
    {
        let is_eligible = |((_, request), queued): &(&(u64, R), &QueuedRequest<S>)| {
            queued.server == *server && eligible(*request)
        };
        self.requests.iter().find(is_eligible).map(|(key, _)| key)
    }
}

/// The flows and their queued requests. `F` identifies a flow, `S` a server, `R` a request.
#[derive(Clone, Debug)]
pub struct FairQueue<F, S, R> {
    settings: Settings,
    flows: BTreeMap<F, Flow<S, R>>,
    /// The flow and the arrival number of each queued request.
    positions: BTreeMap<R, (F, u64)>,
    global_virtual_time: f64,
    largest_size: f64,
    last_arrival_number: u64,
}

impl<F: Ord + Clone, S: Ord + Clone, R: Ord + Copy> FairQueue<F, S, R> {
    /// Creates an empty queue.
    pub fn new(settings: Settings) -> FairQueue<F, S, R> {
        FairQueue {
            settings,
            flows: BTreeMap::new(),
            positions: BTreeMap::new(),
            global_virtual_time: 0.0,
            largest_size: 0.0,
            last_arrival_number: 0,
        }
    }

    /// Queues a request of a flow for a server. `size`: its estimated cost.
    pub fn push(&mut self, now: Millis, flow: F, server: S, request: R, size: f64) {
        self.advance(now);
        self.largest_size = self.largest_size.max(size);
        self.last_arrival_number += 1;
        let global = self.global_virtual_time;
        let anticipation = self.settings.anticipation;
        let queued_flow = match self.flows.entry(flow.clone()) {
            Entry::Vacant(vacant) => vacant.insert(Flow::new(FlowState::first_arrival(now, global))),
            Entry::Occupied(known) => {
                let known = known.into_mut();
                known.state.arrive(now, global, anticipation);
                known
            }
        };
        queued_flow.state.enqueued();
        *queued_flow.queue_lengths.entry(server.clone()).or_default() += 1;
        queued_flow.requests.insert((self.last_arrival_number, request), QueuedRequest { server, size });
        self.positions.insert(request, (flow, self.last_arrival_number));
    }

    /// Moves a queued request to another server's queue. It keeps its order of arrival.
    pub fn reassign(&mut self, request: R, server: S) {
        let Some((flow, arrival_number)) = self.positions.get(&request) else { return };
        let Some(flow) = self.flows.get_mut(flow) else { return };
        let Some(queued) = flow.requests.get_mut(&(*arrival_number, request)) else { return };
        let previous = std::mem::replace(&mut queued.server, server.clone());
        *flow.queue_lengths.entry(server).or_default() += 1;
        Self::decrement(&mut flow.queue_lengths, &previous);
    }

    /// Removes a queued request. Returns whether it was queued.
    pub fn remove(&mut self, now: Millis, request: R) -> bool {
        let Some((flow, arrival_number)) = self.positions.remove(&request) else { return false };
        let Some(flow) = self.flows.get_mut(&flow) else { return false };
        let Some(queued) = flow.requests.remove(&(arrival_number, request)) else { return false };
        Self::decrement(&mut flow.queue_lengths, &queued.server);
        flow.state.dequeued(now);
        true
    }

    /// Takes the next request for a free slot of a server. It counts as in flight until
    /// [`FairQueue::complete`].
    pub fn take(&mut self, now: Millis, server: &S) -> Option<R> {
        self.take_where(now, server, |_| true)
    }

    /// Like [`FairQueue::take`], but takes an eligible request only: the caller may reserve a server's last
    /// slots for some requests.
    pub fn take_where(&mut self, now: Millis, server: &S, eligible: impl Fn(R) -> bool) -> Option<R> {
        self.advance(now);
        let horizon = self.global_virtual_time + self.settings.overrun_sizes * self.largest_size;
        let candidate = |(name, flow)| Self::candidate(name, flow, server, &eligible);
        let candidates: Vec<Candidate<&F>> = self.flows.iter().filter_map(candidate).collect();
        let name = choose(&candidates, horizon)?.clone();
        let flow = self.flows.get_mut(&name)?;
        let &(arrival_number, request) = flow.oldest_at(server, &eligible)?;
        let queued = flow.requests.remove(&(arrival_number, request))?;
        Self::decrement(&mut flow.queue_lengths, server);
        flow.state.dequeued(now);
        flow.state.dispatched(queued.size);
        self.positions.remove(&request);
        Some(request)
    }

    /// A flow's queue at a server, if it has an eligible request.
    fn candidate<'a>(
        name: &'a F,
        flow: &Flow<S, R>,
        server: &S,
        eligible: &impl Fn(R) -> bool,
    ) -> Option<Candidate<&'a F>> {
        let length = flow.queue_lengths.get(server).copied()?;
        let (oldest, _) = *flow.oldest_at(server, eligible)?;
        let FlowState { virtual_time, in_flight, .. } = flow.state;
        Some(Candidate { flow: name, virtual_time, length, in_flight, oldest })
    }

    /// Records that a request of a flow is no longer in flight.
    pub fn complete(&mut self, flow: &F) {
        if let Some(flow) = self.flows.get_mut(flow) {
            flow.state.completed();
        }
    }

    /// The length of a server's queue.
    pub fn queued_at(&self, server: &S) -> usize {
        self.flows.values().filter_map(|flow| flow.queue_lengths.get(server)).sum()
    }

    /// Every queued request and its server.
    pub fn waiting(&self) -> impl Iterator<Item = (R, &S)> {
        self.flows
            .values()
            .flat_map(|flow| flow.requests.iter().map(|((_, request), queued)| (*request, &queued.server)))
    }

    /// The number of queued requests.
    pub fn len(&self) -> usize {
        self.positions.len()
    }

    /// Whether no request is queued.
    pub fn is_empty(&self) -> bool {
        self.positions.is_empty()
    }

    /// The global virtual time.
    pub fn global_virtual_time(&self) -> f64 {
        self.global_virtual_time
    }

    /// The virtual time of a flow; `None`: the flow is not known.
    pub fn virtual_time(&self, flow: &F) -> Option<f64> {
        self.flows.get(flow).map(|flow| flow.state.virtual_time)
    }

    /// Removes flows that have been idle for long.
    pub fn remove_idle_flows(&mut self, now: Millis) {
        let global = self.global_virtual_time;
        self.flows.retain(|_, flow| {
            let state = &flow.state;
            let silent = state.last_arrival().is_none_or(|arrived| now > arrived + IDLE_FLOW_RETENTION_MS);
            let idle = flow.requests.is_empty() && state.in_flight == 0 && silent;
            !idle || state.virtual_time > global
        });
    }

    /// Raises the global virtual time to the lowest virtual time among active flows. It never decreases.
    fn advance(&mut self, now: Millis) {
        let anticipation = self.settings.anticipation;
        let states = self.flows.values().map(|flow| &flow.state);
        let active = states.filter(|state| state.is_active(now, anticipation));
        let lowest = active.map(|state| state.virtual_time).min_by(f64::total_cmp);
        self.global_virtual_time = self.global_virtual_time.max(lowest.unwrap_or(self.global_virtual_time));
    }

    fn decrement(queue_lengths: &mut BTreeMap<S, usize>, server: &S) {
        if let Some(count) = queue_lengths.get_mut(server) {
            *count -= 1;
            if *count == 0 {
                queue_lengths.remove(server);
            }
        }
    }
}
