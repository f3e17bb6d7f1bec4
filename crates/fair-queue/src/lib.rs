//! Fair queueing over flows that share servers, after MQFQ-Sticky.
//!
//! Each flow has one virtual time and one queue per server. A server with a free slot takes the longest queue among the
//! active flows that are not throttled, with ties to fewest in flight, and of that queue the oldest request. The
//! request's told size is added to its flow's virtual time. A flow more than the overrun ahead of the global virtual
//! time (the lowest among active flows) is throttled; a server that finds only throttled work serves the flow with the
//! lowest virtual time. A flow that comes back from being idle takes the larger of its own and the global virtual time.
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

use std::collections::BTreeMap;

/// Milliseconds of a steady clock that the caller supplies.
pub type Millis = u64;

/// The figures that the design leaves open, and those that it gives.
#[derive(Clone, Copy, Debug)]
pub struct Settings {
    /// T: how far a flow may run ahead of the global virtual time, in the largest sizes seen.
    pub overrun_sizes: f64,
    /// alpha: an emptied flow stays active for so many of its mean arrival gaps.
    pub idle_gaps: f64,
    /// For how long it stays active before a second arrival, milliseconds.
    pub first_idle: Millis,
}

impl Default for Settings {
    fn default() -> Settings {
        Settings { overrun_sizes: 4.0, idle_gaps: 2.0, first_idle: 1_000 }
    }
}

/// Weight of one arrival gap in a flow's running mean.
const GAP_WEIGHT: f64 = 0.125;
/// A flow without any request for so long is forgotten once its virtual time is behind, milliseconds.
const FORGET_AFTER: Millis = 120_000;

#[derive(Clone, Debug)]
struct Waiting<S> {
    server: S,
    size: f64,
}

#[derive(Clone, Debug)]
struct Flow<S, R> {
    virtual_time: f64,
    /// Waiting requests by their order of arrival.
    waiting: BTreeMap<(u64, R), Waiting<S>>,
    /// How many of them wait for each server.
    queued: BTreeMap<S, usize>,
    in_flight: usize,
    emptied: Millis,
    arrived: Option<Millis>,
    mean_gap: Option<f64>,
}

impl<S, R> Flow<S, R> {
    fn new(now: Millis) -> Flow<S, R> {
        Flow {
            virtual_time: 0.0,
            waiting: BTreeMap::new(),
            queued: BTreeMap::new(),
            in_flight: 0,
            emptied: now,
            arrived: None,
            mean_gap: None,
        }
    }

    fn is_active(&self, now: Millis, settings: &Settings) -> bool {
        let idle = self.mean_gap.map_or(settings.first_idle, |gap| (settings.idle_gaps * gap) as Millis);
        !self.waiting.is_empty() || now < self.emptied + idle && self.arrived.is_some()
    }

    fn note_arrival(&mut self, now: Millis) {
        if let Some(arrived) = self.arrived {
            let gap = now.saturating_sub(arrived) as f64;
            let mean = self.mean_gap.unwrap_or(gap);
            self.mean_gap = Some(mean + GAP_WEIGHT * (gap - mean));
        }
        self.arrived = Some(now);
    }
}

/// The flows and what waits in them. `F` names a flow, `S` a server, `R` a request.
#[derive(Clone, Debug)]
pub struct FairQueue<F, S, R> {
    settings: Settings,
    flows: BTreeMap<F, Flow<S, R>>,
    /// Where each waiting request stands.
    places: BTreeMap<R, (F, u64)>,
    global_virtual_time: f64,
    largest_size: f64,
    serial: u64,
}

impl<F: Ord + Clone, S: Ord + Clone, R: Ord + Copy> FairQueue<F, S, R> {
    /// An empty queue.
    pub fn new(settings: Settings) -> FairQueue<F, S, R> {
        FairQueue {
            settings,
            flows: BTreeMap::new(),
            places: BTreeMap::new(),
            global_virtual_time: 0.0,
            largest_size: 0.0,
            serial: 0,
        }
    }

    /// A request of a flow waits for a server from now on.
    pub fn push(&mut self, now: Millis, flow: F, server: S, request: R, size: f64) {
        self.advance(now);
        self.largest_size = self.largest_size.max(size);
        self.serial += 1;
        let global = self.global_virtual_time;
        let state = self.flows.entry(flow.clone()).or_insert_with(|| Flow::new(now));
        if !state.is_active(now, &self.settings) {
            state.virtual_time = state.virtual_time.max(global);
        }
        state.note_arrival(now);
        *state.queued.entry(server.clone()).or_default() += 1;
        state.waiting.insert((self.serial, request), Waiting { server, size });
        self.places.insert(request, (flow, self.serial));
    }

    /// A waiting request waits for another server from now on, and keeps its age.
    pub fn move_to(&mut self, request: R, server: S) {
        let Some((flow, serial)) = self.places.get(&request) else { return };
        let Some(state) = self.flows.get_mut(flow) else { return };
        let Some(waiting) = state.waiting.get_mut(&(*serial, request)) else { return };
        let before = std::mem::replace(&mut waiting.server, server.clone());
        *state.queued.entry(server).or_default() += 1;
        Self::lower(&mut state.queued, &before);
    }

    /// A waiting request is given up. Returns whether it waited.
    pub fn remove(&mut self, now: Millis, request: R) -> bool {
        let Some((flow, serial)) = self.places.remove(&request) else { return false };
        let Some(state) = self.flows.get_mut(&flow) else { return false };
        let Some(waiting) = state.waiting.remove(&(serial, request)) else { return false };
        Self::lower(&mut state.queued, &waiting.server);
        if state.waiting.is_empty() {
            state.emptied = now;
        }
        true
    }

    /// A server has a free slot: the request that goes to it next, which counts as in flight from now on.
    pub fn take(&mut self, now: Millis, server: &S) -> Option<R> {
        self.advance(now);
        let horizon = self.global_virtual_time + self.settings.overrun_sizes * self.largest_size;
        let candidates = || self.flows.iter().filter(|(_, flow)| flow.queued.contains_key(server));
        let eligible = candidates().filter(|(_, flow)| flow.virtual_time <= horizon);
        let longest = eligible.max_by_key(|(_, flow)| {
            let length = flow.queued.get(server).copied().unwrap_or(0);
            (length, std::cmp::Reverse(flow.in_flight))
        });
        let lowest = || candidates().min_by(|(_, a), (_, b)| a.virtual_time.total_cmp(&b.virtual_time));
        let (name, _) = longest.or_else(lowest)?;
        let name = name.clone();
        let flow = self.flows.get_mut(&name)?;
        let (&(serial, request), waiting) =
            flow.waiting.iter().find(|(_, waiting)| waiting.server == *server)?;
        flow.virtual_time += waiting.size;
        flow.in_flight += 1;
        Self::lower(&mut flow.queued, server);
        flow.waiting.remove(&(serial, request));
        if flow.waiting.is_empty() {
            flow.emptied = now;
        }
        self.places.remove(&request);
        Some(request)
    }

    /// A request of a flow is no longer in flight.
    pub fn done(&mut self, flow: &F) {
        if let Some(state) = self.flows.get_mut(flow) {
            state.in_flight = state.in_flight.saturating_sub(1);
        }
    }

    /// Requests that wait for a server.
    pub fn queued_at(&self, server: &S) -> usize {
        self.flows.values().filter_map(|flow| flow.queued.get(server)).sum()
    }

    /// Every waiting request, and the server for which it waits.
    pub fn waiting(&self) -> impl Iterator<Item = (R, &S)> {
        self.flows
            .values()
            .flat_map(|flow| flow.waiting.iter().map(|((_, request), place)| (*request, &place.server)))
    }

    /// Requests that wait.
    pub fn len(&self) -> usize {
        self.places.len()
    }

    /// Whether none waits.
    pub fn is_empty(&self) -> bool {
        self.places.is_empty()
    }

    /// The global virtual time.
    pub fn global_virtual_time(&self) -> f64 {
        self.global_virtual_time
    }

    /// The virtual time of a flow that is known.
    pub fn virtual_time(&self, flow: &F) -> Option<f64> {
        self.flows.get(flow).map(|flow| flow.virtual_time)
    }

    /// Forgets flows that have been idle for long.
    pub fn tidy(&mut self, now: Millis) {
        let global = self.global_virtual_time;
        self.flows.retain(|_, flow| {
            let idle = flow.waiting.is_empty() && flow.in_flight == 0 && now > flow.emptied + FORGET_AFTER;
            !idle || flow.virtual_time > global
        });
    }

    /// The global virtual time is the lowest among active flows, and never goes back.
    fn advance(&mut self, now: Millis) {
        let settings = &self.settings;
        let active = self.flows.values().filter(|flow| flow.is_active(now, settings));
        let lowest = active.map(|flow| flow.virtual_time).min_by(f64::total_cmp);
        self.global_virtual_time = self.global_virtual_time.max(lowest.unwrap_or(self.global_virtual_time));
    }

    fn lower(queued: &mut BTreeMap<S, usize>, server: &S) {
        if let Some(count) = queued.get_mut(server) {
            *count -= 1;
            if *count == 0 {
                queued.remove(server);
            }
        }
    }
}
