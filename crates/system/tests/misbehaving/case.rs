//! One edge and one core with a small memory limit, and what has to hold of them beside a crowd.

use crate::common::{System, call, document, start_server, until};
use crate::crowd::{Crowd, Reads, Script};
use crate::meter::{MIB, Meter, Peak};
use pathbank_system::stand_in::StandInSettings;
use std::io::Write;
use std::net::SocketAddr;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;

/// `limits.memory_mb` of each process, which is the bound of its memory, where a case has no other.
pub const MEMORY_MB: u64 = 96;
/// `limits.max_fds` of each process, which is the bound of its descriptors.
pub const MAX_DESCRIPTORS: u64 = 4_096;
/// `limits.max_body_bytes` of the configuration.
pub const MAX_BODY_BYTES: usize = 4 * 1_024 * 1_024;

/// Slots of the model server that streams.
const STREAMS: u32 = 1_000;
const KV_CAPACITY: u32 = 1_000_000;
/// The backend of long events.
const ENDLESS: &str = "endless";
/// The backend of long answers.
const LONG: &str = "long";
/// Long enough for all streams to be in their first event at once.
const EVENT_PAUSE: Duration = Duration::from_secs(2);
const EVENTS: u32 = 100;
const STREAM_PAUSE: Duration = Duration::from_secs(4);

/// How long a crowd that has sent what it can keeps its connections.
const CROWD_STAYS: Duration = Duration::from_secs(4);

/// One case runs at a time.
pub static ONE_AT_A_TIME: Mutex<()> = Mutex::new(());

pub struct Case {
    pub system: System,
    memory_mb: u64,
    _alone: MutexGuard<'static, ()>,
}

impl Case {
    pub fn started() -> Case {
        Case::with_memory(MEMORY_MB)
    }

    pub fn with_memory(memory_mb: u64) -> Case {
        Case::with_cores(1, memory_mb)
    }

    pub fn with_cores(cores: u8, memory_mb: u64) -> Case {
        let alone = ONE_AT_A_TIME.lock().unwrap_or_else(PoisonError::into_inner);
        let logs = std::env::var_os("PATHBANK_TEST_LOGS").is_some();
        let mut system = System::with_logs(cores, 1, logs);
        set_limits(&system, "edge-0", memory_mb);
        for core in 0..cores {
            set_limits(&system, &format!("core-{core}"), memory_mb);
        }
        system.local.start().expect("the program starts");
        system.server("i-app-1", "app", &[]);
        start_slow_streams(&system);
        system.configure(0, &configuration(3));
        system.until_ready();
        let case = Case { system, memory_mb, _alone: alone };
        case.serves("first");
        case
    }

    pub fn edge(&self) -> u32 {
        self.system.local.edges[0].process.id().expect("the edge runs")
    }

    pub fn core(&self) -> u32 {
        self.system.local.cores[0].id().expect("the core runs")
    }

    /// An ordinary request is answered.
    pub fn serves(&self, id: &str) {
        self.system.ask_until_served("/app/x", id, &[]);
    }

    /// An operator's call is answered.
    pub fn answers_operators(&self) {
        until("the configuration is read", || self.system.read_configuration().is_some());
    }

    /// Bytes that requests at the edge hold beside their bodies, as operators see it.
    pub fn held_by_requests(&self) -> Option<u64> {
        let answer = call(self.system.readiness, "GET", "/api/memory", &[], "")?;
        let shares: serde_json::Value = serde_json::from_str(&answer.body).ok()?;
        shares["requests"]["used"].as_u64()
    }

    /// The crowd sends what it can to `address`; the process with this id is measured meanwhile. An ordinary
    /// request and an operator's call are answered beside the crowd and after it.
    pub fn bear(&mut self, process: u32, address: SocketAddr, scripts: Vec<Script>, reads: Reads) -> Peak {
        let meter = Meter::start(process);
        let crowd = Crowd::start(address, scripts, reads);
        crowd.until_sent();
        self.bear_crowd(meter, crowd)
    }

    /// The same beside a crowd that may still be sending.
    fn bear_crowd(&mut self, meter: Meter, crowd: Crowd) -> Peak {
        // What it sent is read meanwhile.
        std::thread::sleep(CROWD_STAYS);
        self.serves("beside");
        self.answers_operators();
        crowd.leave();
        let peak = meter.finish();
        assert!(!self.system.local.edges[0].process.has_ended(), "the edge ended: {peak:?}");
        assert!(!self.system.local.cores[0].has_ended(), "the core ended: {peak:?}");
        self.serves("after");
        self.answers_operators();
        peak
    }

    /// [`Case::bear`] with the bounds that the settings give.
    pub fn bears(&mut self, process: u32, address: SocketAddr, scripts: Vec<Script>, reads: Reads) {
        let peak = self.bear(process, address, scripts, reads);
        self.is_within_bounds(peak);
    }

    /// The same for a crowd that sends on meanwhile, no faster than the process reads.
    pub fn bears_while_sending(&mut self, process: u32, address: SocketAddr, scripts: Vec<Script>) {
        let meter = Meter::start(process);
        let crowd = Crowd::start(address, scripts, Reads::Everything);
        let peak = self.bear_crowd(meter, crowd);
        self.is_within_bounds(peak);
    }

    fn is_within_bounds(&self, peak: Peak) {
        let memory_mib = peak.memory_bytes / MIB;
        let most = self.memory_mb;
        println!("peak: {memory_mib} MiB of {most}, {} descriptors", peak.descriptors);
        assert!(memory_mib < most, "{memory_mib} MiB are over limits.memory_mb={most}");
        assert!(peak.descriptors < MAX_DESCRIPTORS, "{peak:?}");
    }
}

/// Sets the limits of a process that is not started yet.
pub fn set_limits(system: &System, name: &str, memory_mb: u64) {
    let path = system.local.folder.join(format!("{name}.conf"));
    let mut file = std::fs::OpenOptions::new().append(true).open(path).expect("the settings are there");
    let limits = format!("limits.memory_mb={memory_mb}\nlimits.max_fds={MAX_DESCRIPTORS}\n");
    file.write_all(limits.as_bytes()).expect("the settings are written");
}

/// A model server with many slots whose streams outlast every crowd.
fn start_slow_streams(system: &System) {
    let settings = StandInSettings::new("i-llm-1", "llm", "z1", &["m1"], &system.control);
    let slow = StandInSettings { stream_pause: STREAM_PAUSE, capacity: STREAMS, ..settings };
    start_server(system.runtime.handle(), slow, SocketAddr::new(system.ingress.ip(), 0));
}

/// A model server whose events begin with this many bytes and end only when the next one begins.
pub fn start_endless_events(system: &System, event_bytes: usize) {
    let settings = StandInSettings::new("i-endless-1", ENDLESS, "z1", &["m1"], &system.control);
    let endless = StandInSettings {
        stream_pause: EVENT_PAUSE,
        stream_pieces: EVENTS,
        event_padding: event_bytes,
        capacity: STREAMS,
        ..settings
    };
    start_server(system.runtime.handle(), endless, SocketAddr::new(system.ingress.ip(), 0));
}

/// A model server that answers by this many bytes.
pub fn start_long_answers(system: &System, answer_bytes: usize) {
    let settings = StandInSettings::new("i-long-1", LONG, "z1", &[], &system.control);
    let long = StandInSettings { answer_padding: answer_bytes, capacity: STREAMS, ..settings };
    start_server(system.runtime.handle(), long, SocketAddr::new(system.ingress.ip(), 0));
}

/// The common configuration with a longer body, an idempotent route, and model servers with many slots.
pub fn configuration(version: u64) -> String {
    let mut document: serde_json::Value = serde_json::from_str(&document(version)).unwrap();
    document["limits"]["max_body_bytes"] = MAX_BODY_BYTES.into();
    document["backends"][1]["runtime"]["capacity"] = STREAMS.into();
    document["backends"][1]["runtime"]["kv_capacity"] = KV_CAPACITY.into();
    let routes = document["routes"].as_array_mut().unwrap();
    let mut again = routes[0].clone();
    again["name"] = "r4".into();
    again["path_prefix"] = "/again/".into();
    again["type"] = "idempotent".into();
    again["max_attempts"] = 2.into();
    routes.push(again);
    let mut endless = routes[1].clone();
    endless["name"] = "r5".into();
    endless["path_prefix"] = "/endless/".into();
    endless["backend"] = ENDLESS.into();
    endless["resumable"] = false.into();
    routes.push(endless);
    let mut long = routes[0].clone();
    long["name"] = "r6".into();
    long["path_prefix"] = "/long/".into();
    long["backend"] = LONG.into();
    routes.push(long);
    let backends = document["backends"].as_array_mut().unwrap();
    let mut endless = backends[1].clone();
    endless["name"] = ENDLESS.into();
    backends.push(endless);
    let mut long = backends[0].clone();
    long["name"] = LONG.into();
    backends.push(long);
    document.to_string()
}

/// The same with a document that is longer by this many bytes.
pub fn long_configuration(version: u64, padding: usize) -> String {
    let mut document: serde_json::Value = serde_json::from_str(&configuration(version)).unwrap();
    let routes = document["routes"].as_array_mut().unwrap();
    let mut route = routes[0].clone();
    route["name"] = "padding".into();
    route["path_prefix"] = "/padding/".into();
    route["note"] = "x".repeat(padding).into();
    routes.push(route);
    document.to_string()
}

/// A whole body of this many bytes, on a connection of its own. Returns the answer's status and length.
pub fn send_body(case: &Case, id: &str, bytes: usize) -> Option<(u16, usize)> {
    let body = "x".repeat(bytes);
    let headers = [
        ("Host", "shop.example"),
        ("X-Pathbank-Request-Id", id),
        ("X-Pathbank-Deadline-Ms", "5000"),
        ("X-Pathbank-Credential", "key-1"),
    ];
    let answer = call(case.system.ingress, "POST", "/app/x", &headers, &body)?;
    Some((answer.status, answer.body.len()))
}
