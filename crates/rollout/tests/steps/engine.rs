//! An engine that follows the published protocol: slots, one order at a time, loads of the newest version,
//! and versions in each answer; with the faults that it may have.

use pathbank_rollout::controller::Draw;
use pathbank_rollout::evidence::VersionTrail;
use pathbank_rollout::worker::WorkerReport;

pub const CAPACITY: u32 = 8;
pub const LOAD_MS: u64 = 800;
pub const DRAW_MS: u64 = 400;
pub const REQUEST_MS: u64 = 200;

/// A generation that an engine runs.
pub struct Running {
    pub draw: Draw,
    pub began: u64,
    pub ends: u64,
    /// Versions that it was really drawn from.
    pub drawn_from: Vec<u64>,
    pub over_at: u64,
}

pub struct Engine {
    pub number: usize,
    pub incarnation: u64,
    pub version: Option<u64>,
    pub sequence: u64,
    /// A load under way, and its end; `u64::MAX`: it never ends.
    pub loading: Option<u64>,
    pub running: Vec<Running>,
    pub requests: Vec<u64>,
    pub dead_until: u64,
    pub frozen_until: u64,
    pub partitioned_from_cores_until: u64,
    pub partitioned_from_edges_until: u64,
    /// It draws from another version than it says.
    pub names_wrong_version_until: u64,
    /// Its answers tell no version.
    pub names_no_version_until: u64,
    pub next_load_hangs: bool,
}

impl Engine {
    pub fn new(number: usize, version: u64) -> Engine {
        Engine {
            number,
            incarnation: 1,
            version: Some(version),
            sequence: 0,
            loading: None,
            running: Vec::new(),
            requests: Vec::new(),
            dead_until: 0,
            frozen_until: 0,
            partitioned_from_cores_until: 0,
            partitioned_from_edges_until: 0,
            names_wrong_version_until: 0,
            names_no_version_until: 0,
            next_load_hangs: false,
        }
    }

    pub fn id(&self) -> String {
        format!("w{:03}.{}", self.number, self.incarnation)
    }

    pub fn is_dead(&self, now: u64) -> bool {
        now < self.dead_until
    }

    pub fn stands_still(&self, now: u64) -> bool {
        now < self.frozen_until || self.is_dead(now)
    }

    pub fn report(&self) -> WorkerReport {
        WorkerReport {
            worker: self.id(),
            zone: "z".into(),
            loaded_version: self.version,
            busy: self.loading.is_some(),
            sequence: self.sequence,
            active: (self.running.len() + self.requests.len()) as u32,
            capacity: CAPACITY,
        }
    }

    pub fn has_slot(&self) -> bool {
        self.running.len() + self.requests.len() < CAPACITY as usize
    }

    /// An order to load; false: it is turned away.
    pub fn order(&mut self, now: u64, if_revision: u64) -> bool {
        if self.loading.is_some() || self.sequence != if_revision {
            return false;
        }
        self.sequence += 1;
        let sticks = std::mem::take(&mut self.next_load_hangs);
        self.loading = Some(if sticks { now + 20 * LOAD_MS } else { now + LOAD_MS });
        true
    }

    /// A generation begins, or is turned away: another incarnation, or another version than expected.
    pub fn begin(&mut self, now: u64, draw: &Draw) -> bool {
        let expected = self.version == Some(draw.version);
        if draw.worker != self.id() || !expected || self.loading.is_some() || !self.has_slot() {
            return false;
        }
        let lies = now < self.names_wrong_version_until;
        let really = if lies { draw.version - 1 } else { draw.version };
        self.running.push(Running {
            draw: draw.clone(),
            began: now,
            ends: now + DRAW_MS,
            drawn_from: vec![really],
            over_at: now + draw.within,
        });
        true
    }

    /// What the answer says of versions: a lie comes out in a late event.
    pub fn trail(&self, now: u64, running: &Running) -> VersionTrail {
        if now < self.names_no_version_until {
            return VersionTrail::begin(None);
        }
        let mut trail = VersionTrail::begin(Some(running.draw.version));
        running.drawn_from.iter().for_each(|version| trail.record_event(*version));
        trail.finish();
        trail
    }

    /// It restarts with nothing under another incarnation, and loads what is the newest then.
    pub fn restart(&mut self, newest: u64) {
        self.incarnation += 1;
        (self.sequence, self.loading, self.version) = (0, None, Some(newest));
        self.running.clear();
        self.requests.clear();
    }
}
