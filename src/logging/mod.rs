//! Event log output. Logging a line never blocks on I/O: the line is encoded into a reused buffer and pushed to bounded
//! queues, one for standard error and one for collectors. A separate thread drains each queue.

pub mod send;
pub mod spool;
pub mod tls;
mod transport;

use crate::config::syslog::{Format, Log as LogSettings};
use crate::event;
use crate::events;
use crate::interface::Micros;
use crate::syslog::Severity;
use crate::syslog::encode::{Head, Limits, Line, MOST_SEQUENCE};
use crate::syslog::queue::{Dropped, Queue};
use log::kv::{Key, Value, VisitSource};
use log::{Level, LevelFilter, Log, Metadata, Record};
use send::Sending;
use serde::ser::{SerializeMap, Serializer as _};
use spool::Spool;
use std::cell::RefCell;
use std::fmt;
use std::io::{self, Write};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError};
use std::thread;
use std::time::{Duration, Instant};
use tokio::sync::{Notify, watch};

/// Element of lines that are not in the event catalogue. RFC 5612 reserves enterprise number 32473 for examples.
const UNCATALOGUED_ELEMENT: &str = "pathbank@32473";
/// Bytes after which a batch is written to standard error.
const BATCH: usize = 32 * 1024;
/// Longest wait for a line, and interval at which dropped lines are reported.
const POLL_INTERVAL: Duration = Duration::from_secs(1);

/// A bounded queue of lines that wakes the thread or task that drains it.
pub struct Pipe {
    queue: Mutex<Queue>,
    filled: Condvar,
    notify: Notify,
    /// The draining thread may hold lines that it has not written yet.
    busy: AtomicBool,
}

impl Pipe {
    /// Creates an empty queue that holds at most `bytes` bytes.
    pub fn new(bytes: usize) -> Arc<Pipe> {
        Arc::new(Pipe {
            queue: Mutex::new(Queue::new(bytes)),
            filled: Condvar::new(),
            notify: Notify::new(),
            busy: AtomicBool::new(false),
        })
    }

    fn queue(&self) -> MutexGuard<'_, Queue> {
        self.queue.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Queues a line and wakes the reader. A full queue drops lines by severity and age, see [`Queue::push`].
    pub fn push(&self, now: Micros, severity: Severity, id: &'static str, line: &[u8]) {
        self.queue().push(now, severity, id, line);
        self.filled.notify_one();
        self.notify.notify_one();
    }

    /// Moves the oldest line into `line`. Returns its severity and message id, or `None` if the queue is empty.
    pub fn pop(&self, line: &mut Vec<u8>) -> Option<(Severity, &'static str)> {
        self.queue().pop(line)
    }

    /// Blocks the calling thread until a line is queued or `most` has passed.
    fn wait(&self, most: Duration) {
        let queue = self.queue();
        if queue.is_empty() {
            // The caller checks the queue whether the wait was notified or timed out.
            drop(self.filled.wait_timeout(queue, most));
        }
    }

    /// Completes once a line has been pushed.
    pub async fn filled(&self) {
        self.notify.notified().await;
    }

    /// Whether the queue is empty and all lines taken from it are written.
    fn idle(&self) -> bool {
        self.queue().is_empty() && !self.busy.load(Ordering::Acquire)
    }

    /// Logs the lines dropped since the last call, one event for each message id.
    fn log_dropped(&self, place: &str) {
        let dropped = self.queue().dropped();
        for Dropped { id, count, from, until } in dropped {
            event!(DROPPED, where = place, msgid = id, count, from:% = Time(from), until:% = Time(until));
        }
    }
}

/// Unix time in microseconds, displayed in RFC 3339 format.
pub struct Time(pub Micros);

impl fmt::Display for Time {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let time = i64::try_from(self.0).ok().and_then(|at| jiff::Timestamp::from_microsecond(at).ok());
        write!(f, "{:.6}", time.unwrap_or(jiff::Timestamp::UNIX_EPOCH))
    }
}

struct Logger {
    host: String,
    level: LevelFilter,
    process: u32,
    limits: Limits,
    /// Last sequence id. Locked until the line is queued, so that lines are queued in the order of their ids.
    sequence: Mutex<u32>,
    stderr: Format,
    to_stderr: Arc<Pipe>,
    to_collectors: Option<Arc<Pipe>>,
}

thread_local! {
    static BUFFERS: RefCell<(String, Vec<u8>)> = const { RefCell::new((String::new(), Vec::new())) };
}

impl Log for Logger {
    fn enabled(&self, metadata: &Metadata) -> bool {
        metadata.level() <= self.level && metadata.target().starts_with("pathbank")
    }

    fn log(&self, record: &Record) {
        if !self.enabled(record.metadata()) {
            return;
        }
        BUFFERS.with(|buffers| {
            // A value that logs while it is being formatted reenters this function; that inner line is discarded.
            let Ok(mut buffers) = buffers.try_borrow_mut() else { return };
            let (line, json) = &mut *buffers;
            let mut sequence = self.sequence.lock().unwrap_or_else(PoisonError::into_inner);
            let at = jiff::Timestamp::now();
            let now = Micros::try_from(at.as_microsecond()).unwrap_or(0);
            let entry = events::entry(record.target());
            let (severity, id) = match entry {
                Some(entry) => (entry.severity, entry.id),
                None => (severity_of(record.level()), "-"),
            };
            if self.stderr == Format::Syslog || self.to_collectors.is_some() {
                *sequence = *sequence % MOST_SEQUENCE + 1;
                self.encode(line, at, severity, id, *sequence, entry, record);
            }
            match self.stderr {
                Format::Syslog => self.to_stderr.push(now, severity, id, line.as_bytes()),
                Format::Json => {
                    json.clear();
                    // A value that cannot be serialized leaves the line incomplete, and the line is discarded.
                    if self.json(json, at, severity, id, record).is_ok() {
                        self.to_stderr.push(now, severity, id, json);
                    }
                }
                Format::Off => {}
            }
            if let Some(pipe) = &self.to_collectors {
                pipe.push(now, severity, id, line.as_bytes());
            }
        });
    }

    fn flush(&self) {}
}

fn severity_of(level: Level) -> Severity {
    match level {
        Level::Error => Severity::Error,
        Level::Warn => Severity::Warning,
        Level::Info => Severity::Informational,
        Level::Debug | Level::Trace => Severity::Debug,
    }
}

impl Logger {
    #[allow(clippy::too_many_arguments)] // the fields of a line
    fn encode(
        &self,
        buffer: &mut String,
        at: jiff::Timestamp,
        severity: Severity,
        id: &str,
        sequence: u32,
        entry: Option<&events::Entry>,
        record: &Record,
    ) {
        let time = format_args!("{at:.6}");
        let head =
            Head { severity, timestamp: &time, host: &self.host, app: "pathbank", process: self.process, id };
        let mut line = Line::begin(buffer, self.limits, &head);
        if entry.is_some() || record.key_values().count() > 0 {
            line.element(entry.map_or(UNCATALOGUED_ELEMENT, |entry| entry.element));
            let _ = record.key_values().visit(&mut Parameters(&mut line)); // `Parameters` never returns an error
        }
        line.element("meta");
        line.parameter("sequenceId", &sequence);
        if entry.is_some_and(|entry| entry.identity) {
            line.element("origin");
            line.parameter("software", &env!("CARGO_PKG_NAME"));
            line.parameter("swVersion", &env!("CARGO_PKG_VERSION"));
            line.element("timeQuality");
            line.parameter("tzKnown", &"1");
            line.parameter("isSynced", &"0");
        }
        line.end(record.args());
    }

    /// Encodes the line as one JSON object, with the parameter names of the syslog format.
    fn json(
        &self,
        buffer: &mut Vec<u8>,
        at: jiff::Timestamp,
        severity: Severity,
        id: &str,
        record: &Record,
    ) -> Result<(), serde_json::Error> {
        let mut writer = serde_json::Serializer::new(buffer);
        let mut map = writer.serialize_map(None)?;
        map.serialize_entry("time", &format_args!("{at:.6}"))?;
        map.serialize_entry("severity", severity.name())?;
        map.serialize_entry("host", &self.host)?;
        map.serialize_entry("msgid", id)?;
        let text = record.args().to_string();
        if !text.is_empty() {
            map.serialize_entry("text", &text)?;
        }
        let mut fields = Fields { map: &mut map, error: None };
        let _ = record.key_values().visit(&mut fields); // the error is in `fields`
        match fields.error {
            Some(error) => Err(error),
            None => map.end(),
        }
    }
}

struct Parameters<'a, 'b>(&'a mut Line<'b>);

impl<'kvs> VisitSource<'kvs> for Parameters<'_, '_> {
    fn visit_pair(&mut self, key: Key<'kvs>, value: Value<'kvs>) -> Result<(), log::kv::Error> {
        self.0.parameter(key.as_str(), &value);
        Ok(())
    }
}

struct Fields<'a, M> {
    map: &'a mut M,
    error: Option<serde_json::Error>,
}

impl<'kvs, M: SerializeMap<Error = serde_json::Error>> VisitSource<'kvs> for Fields<'_, M> {
    fn visit_pair(&mut self, key: Key<'kvs>, value: Value<'kvs>) -> Result<(), log::kv::Error> {
        let done = match (value.to_u64(), value.to_f64()) {
            (Some(number), _) => self.map.serialize_entry(key.as_str(), &number),
            (None, Some(number)) if number.is_finite() => self.map.serialize_entry(key.as_str(), &number),
            _ => self.map.serialize_entry(key.as_str(), &format_args!("{value}")),
        };
        self.error = self.error.take().or(done.err());
        Ok(())
    }
}

/// The running event log.
pub struct Logging {
    to_stderr: Arc<Pipe>,
    to_collectors: Option<(Arc<Pipe>, watch::Sender<LogSettings>, Arc<AtomicBool>)>,
}

impl Logging {
    /// Applies new collectors and certificates. Lines already queued are still sent.
    pub fn reload(&self, setup: LogSettings) {
        if let Some((_, sender, _)) = &self.to_collectors {
            sender.send_replace(setup);
        }
    }

    /// Waits at most `most` until all logged lines are written. Returns whether they are.
    pub fn finish(&self, most: Duration) -> bool {
        let until = Instant::now() + most;
        loop {
            let collected = match &self.to_collectors {
                Some((pipe, _, all_delivered)) => pipe.idle() && all_delivered.load(Ordering::Acquire),
                None => true,
            };
            if self.to_stderr.idle() && collected {
                return true;
            }
            if Instant::now() >= until {
                return false;
            }
            thread::sleep(Duration::from_millis(1));
        }
    }
}

/// Starts the event log and installs it as the logger of the process.
///
/// # Errors
///
/// Fails if a logger is already installed, or a thread or the runtime cannot be started.
pub fn start(host: &str, level: LevelFilter, setup: LogSettings) -> io::Result<Logging> {
    let to_stderr = Pipe::new(setup.stderr_queue);
    let to_collectors = (!setup.collectors.is_empty()).then(|| Pipe::new(setup.queue));
    let logger = Logger {
        host: host.to_string(),
        level,
        process: std::process::id(),
        limits: setup.limits,
        sequence: Mutex::new(0),
        stderr: setup.stderr,
        to_stderr: to_stderr.clone(),
        to_collectors: to_collectors.clone(),
    };
    log::set_boxed_logger(Box::new(logger)).map_err(io::Error::other)?;
    log::set_max_level(level);
    let pipe = to_stderr.clone();
    thread::Builder::new().name("stderr".into()).spawn(move || write_stderr(&pipe, &mut io::stderr()))?;
    let to_collectors = match to_collectors {
        None => None,
        Some(pipe) => {
            let (sender, watched) = watch::channel(setup.clone());
            let all_delivered = Arc::new(AtomicBool::new(true));
            let spool = setup.spool.as_ref().map(|limits| Arc::new(Spool::open(limits)));
            if let Some(spool) = &spool {
                let (pipe, spool) = (pipe.clone(), spool.clone());
                thread::Builder::new().name("spool".into()).spawn(move || fill_spool(&pipe, &spool))?;
            }
            let sending = Sending::new(pipe.clone(), spool, watched, all_delivered.clone());
            let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
            thread::Builder::new()
                .name("collectors".into())
                .spawn(move || runtime.block_on(sending.run()))?;
            Some((pipe, sender, all_delivered))
        }
    };
    Ok(Logging { to_stderr, to_collectors })
}

/// Writes queued lines to standard error. Only this thread blocks on its reader; while nothing reads, the queue drops
/// and counts lines.
fn write_stderr(pipe: &Pipe, out: &mut impl Write) {
    let (mut line, mut batch, mut last_report) = (Vec::new(), Vec::new(), Instant::now());
    loop {
        pipe.wait(POLL_INTERVAL);
        pipe.busy.store(true, Ordering::Release);
        batch.clear();
        while batch.len() < BATCH && pipe.pop(&mut line).is_some() {
            batch.extend_from_slice(&line);
            batch.push(b'\n');
        }
        // A closed standard error must not stop the process.
        let _ = out.write_all(&batch);
        pipe.busy.store(false, Ordering::Release);
        if last_report.elapsed() >= POLL_INTERVAL {
            last_report = Instant::now();
            pipe.log_dropped("stderr");
        }
    }
}

/// Moves queued lines to the spool on disk, in batches of the lines that have arrived.
fn fill_spool(pipe: &Pipe, spool: &Spool) {
    loop {
        pipe.wait(POLL_INTERVAL);
        pipe.busy.store(true, Ordering::Release);
        let mut batch = Vec::new();
        let (mut line, mut bytes) = (Vec::new(), 0);
        while bytes < spool::BATCH
            && let Some((severity, id)) = pipe.pop(&mut line)
        {
            bytes += line.len();
            batch.push((severity, id, line.clone()));
        }
        spool.append(batch);
        pipe.busy.store(false, Ordering::Release);
        for problem in spool.problems() {
            event!(SPOOL, problem:% = problem, lines = spool.lines());
        }
        for Dropped { id, count, from, until } in spool.dropped() {
            event!(DROPPED, where = "spool", msgid = id, count, from:% = Time(from), until:% = Time(until));
        }
    }
}

#[cfg(test)]
mod tests;
