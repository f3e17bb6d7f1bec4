//! Discovery of storage nodes: starts from the node list in the configuration file, then watches the
//! discovery service for changes.

use crate::config::{ListedState, NodeList};
use crate::core::{Handle, Input};
use crate::event;
use crate::interface::ListUpdate;
use crate::staleness::{CHANGE_TOLD_AFTER, HEARTBEAT_INTERVAL};
use bytes::{Buf, Bytes, BytesMut};
use http_body_util::{BodyExt, Empty};
use hyper::body::Incoming;
use hyper::{StatusCode, Uri};
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;
use std::collections::BTreeMap;
use std::fmt;
use std::net::SocketAddr;
use std::pin::Pin;
use tokio::sync::{mpsc, watch};
use tokio::time::{Duration, Instant, sleep, timeout, timeout_at};

/// A watch that receives no byte for one and a quarter heartbeat intervals has failed, even if its connection
/// is open.
const SILENCE_TIMEOUT: Duration = Duration::from_micros(HEARTBEAT_INTERVAL * 5 / 4);
/// Time from the request to the first list of a watch. The service handles requests in order and itself fails
/// those that waited too long, so a request without any answer is treated like a watch that has gone silent.
const FIRST_LIST_TIMEOUT: Duration = Duration::from_micros(HEARTBEAT_INTERVAL * 3 / 2);
/// A watch that receives bytes but completes neither a list nor a heartbeat within this time has failed too.
const MESSAGE_TIMEOUT: Duration = Duration::from_micros(CHANGE_TOLD_AFTER);
/// Time to establish the TCP connection to the discovery service.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(2);
/// Limit on the bytes of a list. A host has little memory, and 1,024 nodes take 300 kB of indented JSON.
const MAX_LIST_BYTES: usize = 1024 * 1024;
/// Where lists are pushed, an agent (the local program that pushes them) answers at once. A change counts as
/// told, which means that the platform expects the host to know it, as soon as the agent has it. A failed
/// watch is therefore reopened after this fraction (one tenth) of the time within which sends to a node must
/// end.
const RECONNECT_DIVISOR: u32 = 10;
/// Where lists are pushed, a request waits this many reconnect delays for its first list.
const FIRST_LIST_RECONNECT_DELAYS: u32 = 4;
/// Longest delay before a failed watch is reopened.
const MAX_RECONNECT_DELAY: Duration = Duration::from_millis(700);

/// Why a watch failed or could not be opened.
#[derive(Debug, PartialEq)]
enum WatchError {
    Call(String),
    Status(StatusCode),
    Silent,
    /// A request got no answer in time, or none that completed a list.
    Unanswered,
    LongList,
    BadList(String),
    Ended,
}

impl fmt::Display for WatchError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            WatchError::Call(reason) => write!(f, "the call failed: {reason}"),
            WatchError::Status(status) => write!(f, "answered {status}"),
            WatchError::Silent => write!(f, "silent past its beat"),
            WatchError::Unanswered => write!(f, "a call got no list in time"),
            WatchError::LongList => write!(f, "a list is too long"),
            WatchError::BadList(reason) => write!(f, "a list is unreadable: {reason}"),
            WatchError::Ended => write!(f, "the watch ended"),
        }
    }
}

/// Watches the node list of the discovery service and passes each update to the core.
pub struct Discovery {
    /// Address of the discovery service; a new configuration may change it.
    pub address: watch::Receiver<SocketAddr>,
    /// The node list of the configuration file.
    pub known: NodeList,
    /// Sends the updates to the core.
    pub handle: Handle,
    /// Whether a watch is opened only when the policy module asks for one; otherwise it is always kept open.
    pub on_demand: bool,
    /// Time within which sends to a node must end once it is to receive none; zero if there is no such limit.
    pub stop_within: Duration,
}

type Opening = Pin<Box<dyn Future<Output = Result<(Watch, NodeList), WatchError>> + Send>>;

impl Discovery {
    /// Runs until the core ends. Each message on `wanted` asks for a watch, if none is open.
    pub async fn run(self, mut wanted: mpsc::UnboundedReceiver<()>) {
        let Discovery { address: mut address_updates, known, handle, on_demand, stop_within } = self;
        let mut list_state = ListState { version: known.version, ..ListState::default() };
        handle.send(Input::Nodes { update: ListUpdate::Cached, nodes: known.servers });
        let notify = |news| handle.send(Input::Nodes { update: news, nodes: Vec::new() });
        if !on_demand {
            // The agent may already know more than the configuration file.
            notify(ListUpdate::Failed);
        }
        let reconnect_delay = if stop_within.is_zero() {
            MAX_RECONNECT_DELAY
        } else {
            MAX_RECONNECT_DELAY.min(stop_within / RECONNECT_DIVISOR)
        };
        let first_list_timeout = if on_demand || stop_within.is_zero() {
            FIRST_LIST_TIMEOUT
        } else {
            reconnect_delay * FIRST_LIST_RECONNECT_DELAYS
        };
        let mut address = *address_updates.borrow_and_update();
        // After a change of address, the current watch stays until the one at the new address is open, so
        // that no change is missed in between.
        let (mut current, mut moving): (Option<Watch>, bool) = (None, false);
        let mut last_error: Option<WatchError> = None;
        let mut opening =
            (!on_demand).then(|| open(address, list_state.version, Duration::ZERO, first_list_timeout));
        loop {
            let had_watch = current.is_some();
            let error = tokio::select! {
                moved = address_updates.changed() => {
                    if moved.is_err() {
                        return;
                    }
                    address = *address_updates.borrow_and_update();
                    event!(WATCH_MOVES, address:%);
                    moving = true;
                    opening = (!on_demand)
                        .then(|| open(address, list_state.version, Duration::ZERO, first_list_timeout));
                    notify(ListUpdate::Moved);
                    continue;
                }
                asked = wanted.recv() => match asked {
                    None => return,
                    Some(()) => {
                        if (moving || current.is_none()) && opening.is_none() {
                            let after = list_state.version;
                            opening = Some(open(address, after, Duration::ZERO, first_list_timeout));
                        }
                        continue;
                    }
                },
                opened = async { opening.as_mut()?.await.into() }, if opening.is_some() => {
                    opening = None;
                    match opened {
                        Some(Ok((watch, mut list))) => {
                            event!(WATCH, version = list_state.version, address:%);
                            (current, moving, last_error) = (Some(watch), false, None);
                            // The core gets the missed changes first: `Subscribed` says that its list is
                            // complete.
                            if let Some(news) = list_state.accept(&mut list, true) {
                                handle.send(Input::Nodes { update: news, nodes: list.servers });
                            }
                            notify(ListUpdate::Subscribed);
                            continue;
                        }
                        Some(Err(error)) => error,
                        None => continue,
                    }
                }
                next = async { current.as_mut()?.next().await.into() }, if current.is_some() => match next {
                    Some(Ok(Some(mut list))) => {
                        if let Some(news) = list_state.accept(&mut list, false) {
                            handle.send(Input::Nodes { update: news, nodes: list.servers });
                        }
                        continue;
                    }
                    Some(Ok(None)) => {
                        notify(ListUpdate::Heartbeat);
                        continue;
                    }
                    Some(Err(error)) => {
                        current = None;
                        error
                    }
                    None => continue,
                },
            };
            // An agent answers at once, so a request to it without an answer is an ordinary failure.
            let silent = error == WatchError::Silent || on_demand && error == WatchError::Unanswered;
            // Requests that keep failing in the same way are logged once.
            if had_watch || on_demand || last_error.as_ref() != Some(&error) {
                event!(WATCH_BROKE, version = list_state.version, reason:% = error);
            }
            last_error = Some(error);
            if opening.is_none() && !on_demand {
                let wait = if silent { Duration::ZERO } else { reconnect_delay };
                opening = Some(open(address, list_state.version, wait, first_list_timeout));
            }
            if opening.is_none() {
                // This failure answers every request for a watch that came while the watch was open.
                while wanted.try_recv().is_ok() {}
            }
            if current.is_none() || moving {
                notify(if silent { ListUpdate::TimedOut } else { ListUpdate::Failed });
            }
        }
    }
}

/// Opens a watch after a delay of `wait`. The watch is open once its first list has arrived, which may take
/// up to `limit`.
fn open(address: SocketAddr, after: u64, wait: Duration, limit: Duration) -> Opening {
    Box::pin(async move {
        sleep(wait).await;
        match timeout(limit, call(address, after)).await {
            Ok(Err(WatchError::Silent)) | Err(_) => Err(WatchError::Unanswered),
            Ok(done) => done,
        }
    })
}

/// Requests the changes after version `after` and waits for the first list.
async fn call(address: SocketAddr, after: u64) -> Result<(Watch, NodeList), WatchError> {
    let mut http = HttpConnector::new();
    http.set_connect_timeout(Some(CONNECT_TIMEOUT));
    http.set_nodelay(true);
    // Each watch has its own client, which is dropped with it, so that no connection outlives a failed watch.
    let client: Client<_, Empty<Bytes>> =
        Client::builder(TokioExecutor::new()).retry_canceled_requests(false).build(http);
    let failed = |error: &dyn fmt::Display| WatchError::Call(error.to_string());
    let uri: Uri =
        format!("http://{address}/discovery/hosts?watch=1&after={after}").parse().map_err(|e| failed(&e))?;
    let answer = client.get(uri).await.map_err(|e| failed(&e))?;
    if answer.status() != StatusCode::OK {
        return Err(WatchError::Status(answer.status()));
    }
    let now = Instant::now();
    let mut watch = Watch {
        body: answer.into_body(),
        reader: ListReader::default(),
        last_read_at: now,
        last_message_at: now,
    };
    loop {
        if let Some(list) = watch.next().await? {
            return Ok((watch, list));
        }
    }
}

/// An open watch on the node list.
struct Watch {
    body: Incoming,
    reader: ListReader,
    /// When the last bytes arrived.
    last_read_at: Instant,
    /// When the last list or heartbeat was complete.
    last_message_at: Instant,
}

impl Watch {
    /// Returns the next list, or `None` for a heartbeat. Cancel-safe: dropping the future loses no data.
    async fn next(&mut self) -> Result<Option<NodeList>, WatchError> {
        loop {
            let list = match self.reader.next()? {
                Scan::List(list) => Some(list),
                Scan::Heartbeat => None,
                Scan::Incomplete => {
                    self.read().await?;
                    continue;
                }
            };
            self.last_message_at = Instant::now();
            return Ok(list);
        }
    }

    /// Reads one frame of the body into the reader.
    async fn read(&mut self) -> Result<(), WatchError> {
        let until = (self.last_read_at + SILENCE_TIMEOUT).min(self.last_message_at + MESSAGE_TIMEOUT);
        let frame = timeout_at(until, self.body.frame()).await;
        let Some(Ok(frame)) = frame.map_err(|_| WatchError::Silent)? else { return Err(WatchError::Ended) };
        self.last_read_at = Instant::now();
        if let Ok(data) = frame.into_data() {
            self.reader.add(&data)?;
        }
        Ok(())
    }
}

/// State of the list that the core holds: its version, and the start time of each node that is leaving
/// service.
#[derive(Debug, Default)]
struct ListState {
    version: u64,
    leaving: BTreeMap<String, u64>,
}

impl ListState {
    /// Decides whether the core gets `list`, and as which kind of update; `None` drops it.
    ///
    /// Changes that are no newer than the held version are dropped, since a late change would undo a later
    /// one. An older full list is dropped on a watch that has sent a newer one. As the first list of a new
    /// watch (`first`), it may be all that a restarted discovery service has, so it is accepted; a node that
    /// is known to be leaving then stays `Terminating`, unless the list has it with another start time.
    fn accept(&mut self, list: &mut NodeList, first: bool) -> Option<ListUpdate> {
        let older = list.version < self.version;
        if list.full && older && !first {
            return None;
        }
        if !list.full && list.version <= self.version && !list.servers.is_empty() {
            return None;
        }
        for node in &mut list.servers {
            let leaves = self.leaving.get(&node.id) == Some(&node.started_ms);
            if list.full && older && leaves && node.state == ListedState::InService {
                node.state = ListedState::Terminating;
            }
        }
        if list.full && !older {
            self.leaving.clear();
        }
        for node in &list.servers {
            if node.state == ListedState::InService {
                self.leaving.remove(&node.id);
            } else {
                self.leaving.insert(node.id.clone(), node.started_ms);
            }
        }
        self.version = if list.full { list.version } else { list.version.max(self.version) };
        Some(if list.full { ListUpdate::Full } else { ListUpdate::Changes })
    }
}

/// Splits the received bytes into lists. A list is a JSON object on one line or on several; an empty line
/// between objects is a heartbeat.
#[derive(Debug, Default)]
struct ListReader {
    pending: BytesMut,
    /// Number of bytes of `pending` that have been scanned.
    scanned: usize,
    /// Number of braces and brackets that are open there.
    depth: usize,
    /// Whether a string is open there.
    in_string: bool,
    /// Whether the last byte was a backslash that escapes the next one.
    escaped: bool,
    /// Whether a byte other than white space has arrived since the last list or heartbeat.
    begun: bool,
}

/// Result of scanning the received bytes.
#[derive(Debug)]
enum Scan {
    List(NodeList),
    Heartbeat,
    /// Neither a list nor a heartbeat is complete yet.
    Incomplete,
}

impl ListReader {
    fn add(&mut self, data: &[u8]) -> Result<(), WatchError> {
        self.pending.extend_from_slice(data);
        if self.pending.len() > MAX_LIST_BYTES { Err(WatchError::LongList) } else { Ok(()) }
    }

    fn next(&mut self) -> Result<Scan, WatchError> {
        while let Some(byte) = self.pending.get(self.scanned) {
            self.scanned += 1;
            match byte {
                _ if self.escaped => self.escaped = false,
                b'\\' if self.in_string => self.escaped = true,
                b'"' => self.in_string = !self.in_string,
                _ if self.in_string => {}
                b'{' | b'[' => self.depth += 1,
                b'}' | b']' => {
                    self.depth = self.depth.saturating_sub(1);
                    if self.depth == 0 {
                        return self.take_list().map(Scan::List);
                    }
                }
                // Outside an object, a newline ends the text on its line.
                b'\n' if self.depth == 0 && self.begun => return self.take_list().map(Scan::List),
                b'\n' if self.depth == 0 => {
                    self.pending.advance(self.scanned);
                    self.scanned = 0;
                    return Ok(Scan::Heartbeat);
                }
                _ => {}
            }
            self.begun |= !byte.is_ascii_whitespace();
        }
        Ok(Scan::Incomplete)
    }

    /// Takes the scanned bytes out of `pending` and parses them as a list.
    fn take_list(&mut self) -> Result<NodeList, WatchError> {
        let text = self.pending.split_to(self.scanned);
        // The rest of the list's own line is not a heartbeat.
        let rest = self.pending.iter().take_while(|byte| matches!(byte, b' ' | b'\t' | b'\r')).count();
        let line = rest + usize::from(self.pending.get(rest) == Some(&b'\n'));
        self.pending.advance(line);
        *self = ListReader { pending: std::mem::take(&mut self.pending), ..ListReader::default() };
        serde_json::from_slice(&text).map_err(|error| WatchError::BadList(error.to_string()))
    }
}

#[cfg(test)]
mod tests;
