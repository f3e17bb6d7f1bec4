//! The virtual time and activity of a flow, and the choice among flows. Every scheduler that follows
//! MQFQ-Sticky can use these parts, whatever its requests are and wherever they are queued.

/// The time of a monotonic clock that the caller reads, in a unit that the caller chooses for all calls.
pub type Time = u64;

/// Weight of the newest inter-arrival time in a flow's moving average.
const GAP_WEIGHT: f64 = 0.125;

/// For how long a flow without queued requests stays active.
#[derive(Clone, Copy, Debug)]
pub struct Anticipation {
    /// Alpha of MQFQ-Sticky: the time in multiples of the flow's mean inter-arrival time.
    pub gaps: f64,
    /// The time that applies until the flow's second arrival, while it has no inter-arrival time.
    pub first: Time,
}

/// The state of one flow.
#[derive(Clone, Debug, Default)]
pub struct FlowState {
    /// Starts at the global virtual time, and grows by the size of each dispatched request divided by the
    /// flow's weight. When the flow becomes active again, it is raised to at least the global virtual time.
    pub virtual_time: f64,
    /// Queued requests, at all servers.
    pub queued: usize,
    /// Requests in flight.
    pub in_flight: usize,
    /// When the flow's last queued request left its queue.
    emptied_at: Time,
    last_arrival: Option<Time>,
    mean_gap: Option<f64>,
}

impl FlowState {
    /// The state of a flow whose first request arrives now.
    pub fn first_arrival(now: Time, virtual_time: f64) -> FlowState {
        FlowState { virtual_time, emptied_at: now, last_arrival: Some(now), ..FlowState::default() }
    }

    /// When the latest request arrived, if ever.
    pub fn last_arrival(&self) -> Option<Time> {
        self.last_arrival
    }

    /// Whether the flow has queued requests, or is expected to have some soon.
    pub fn is_active(&self, now: Time, anticipation: Anticipation) -> bool {
        let idle = self.mean_gap.map_or(anticipation.first, |gap| (anticipation.gaps * gap) as Time);
        self.queued > 0 || self.last_arrival.is_some() && now < self.emptied_at + idle
    }

    /// Records the arrival of a further request. A flow that was not active takes the larger of its own and
    /// the global virtual time.
    pub fn arrive(&mut self, now: Time, global_virtual_time: f64, anticipation: Anticipation) {
        if !self.is_active(now, anticipation) {
            self.virtual_time = self.virtual_time.max(global_virtual_time);
        }
        if let Some(arrived) = self.last_arrival {
            let gap = now.saturating_sub(arrived) as f64;
            let mean = self.mean_gap.unwrap_or(gap);
            self.mean_gap = Some(mean + GAP_WEIGHT * (gap - mean));
        }
        self.last_arrival = Some(now);
    }

    /// Records that a request was queued.
    pub fn enqueued(&mut self) {
        self.queued += 1;
    }

    /// Records that a request left its queue because it was dispatched or removed.
    pub fn dequeued(&mut self, now: Time) {
        self.queued = self.queued.saturating_sub(1);
        if self.queued == 0 {
            self.emptied_at = now;
        }
    }

    /// Records that a request was dispatched. `cost`: its size divided by the flow's weight.
    pub fn dispatched(&mut self, cost: f64) {
        self.virtual_time += cost;
        self.in_flight += 1;
    }

    /// Records that a request is no longer in flight.
    pub fn completed(&mut self) {
        self.in_flight = self.in_flight.saturating_sub(1);
    }
}

/// One flow's queue at a server with a free slot.
#[derive(Clone, Copy, Debug)]
pub struct Candidate<K> {
    /// The flow.
    pub flow: K,
    /// The flow's virtual time.
    pub virtual_time: f64,
    /// The length of the queue.
    pub length: usize,
    /// The flow's requests in flight, at all servers.
    pub in_flight: usize,
    /// The arrival number of the oldest request in the queue.
    pub oldest: u64,
}

/// Chooses the flow that a free slot serves.
///
/// Among the flows whose virtual time is at most `horizon` (the global virtual time plus T), the longest
/// queue goes first. Ties go to the flow with the fewest requests in flight, then to the oldest request. If
/// all flows are above `horizon` (throttled), the flow with the lowest virtual time is chosen.
pub fn choose<K: Copy>(candidates: &[Candidate<K>], horizon: f64) -> Option<K> {
    let eligible = candidates.iter().filter(|candidate| candidate.virtual_time <= horizon);
    let longest = eligible.max_by_key(|candidate| {
        (candidate.length, std::cmp::Reverse((candidate.in_flight, candidate.oldest)))
    });
    let lowest = || candidates.iter().min_by(|one, other| one.virtual_time.total_cmp(&other.virtual_time));
    longest.or_else(lowest).map(|candidate| candidate.flow)
}
