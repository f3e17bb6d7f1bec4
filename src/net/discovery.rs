//! Discovery: the list of nodes as this head last had it, then a watch on its changes.

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

/// A watch that is silent for longer than its beat and a quarter of it is broken, though its connection
/// stands.
const SILENCE: Duration = Duration::from_micros(HEARTBEAT_INTERVAL * 5 / 4);
/// From the call to the watch's first list. The service works through its calls in turn and fails those that
/// waited too long by itself: a call without any answer is taken to be a watch that has fallen silent.
const CALL: Duration = Duration::from_micros(HEARTBEAT_INTERVAL * 3 / 2);
/// One on which something comes, but neither a list nor a beat is whole for so long, tells nothing either.
const WHOLE: Duration = Duration::from_micros(CHANGE_TOLD_AFTER);
const CONNECT: Duration = Duration::from_secs(2);
/// No list is longer; a head has little memory, and 1,024 nodes take 300 kB, indented.
const MOST_LIST: usize = 1024 * 1024;
/// Where lists are pushed, what the agent has counts as told at once, and the agent answers at once: a broken
/// watch is renewed after a part of the time in which sends to a node have to end, and a call waits for its
/// answer for another.
const RENEW_PART: u32 = 10;
const CALL_PARTS: u32 = 4;
const RENEW_MOST: Duration = Duration::from_millis(700);

#[derive(Debug, PartialEq)]
enum Broken {
    Call(String),
    Status(StatusCode),
    Silent,
    /// A call has got no answer, or none that came to a list.
    Unanswered,
    LongList,
    BadList(String),
    Ended,
}

impl fmt::Display for Broken {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Broken::Call(why) => write!(f, "the call failed: {why}"),
            Broken::Status(status) => write!(f, "answered {status}"),
            Broken::Silent => write!(f, "silent past its beat"),
            Broken::Unanswered => write!(f, "a call got no list in time"),
            Broken::LongList => write!(f, "a list is too long"),
            Broken::BadList(why) => write!(f, "a list is unreadable: {why}"),
            Broken::Ended => write!(f, "the watch ended"),
        }
    }
}

/// Watches the node list and passes it to the core.
pub struct Discovery {
    /// Where discovery is; a new configuration may tell another place.
    pub address: watch::Receiver<SocketAddr>,
    /// The list of the configuration file.
    pub known: NodeList,
    /// The core.
    pub handle: Handle,
    /// The module asks for the watch; otherwise it is kept up unasked.
    pub on_demand: bool,
    /// How long sends to a node may go on that is to get none.
    pub stop_within: Duration,
}

type Opening = Pin<Box<dyn Future<Output = Result<(Watch, NodeList), Broken>> + Send>>;

impl Discovery {
    /// Runs until the core ends.
    pub async fn run(self, mut wanted: mpsc::UnboundedReceiver<()>) {
        let Discovery { address: mut place, known, handle, on_demand, stop_within } = self;
        let mut held = Held { version: known.version, ..Held::default() };
        handle.send(Input::Nodes { update: ListUpdate::Cached, nodes: known.servers });
        let tell = |news| handle.send(Input::Nodes { update: news, nodes: Vec::new() });
        if !on_demand {
            // The agent may know more from the first moment on.
            tell(ListUpdate::Failed);
        }
        let renew = if stop_within.is_zero() { RENEW_MOST } else { RENEW_MOST.min(stop_within / RENEW_PART) };
        let call = if on_demand || stop_within.is_zero() { CALL } else { renew * CALL_PARTS };
        let mut address = *place.borrow_and_update();
        // The watch that stands stays until the one at the new address does, so that no change is missed
        // between.
        let (mut stands, mut moving): (Option<Watch>, bool) = (None, false);
        let mut told: Option<Broken> = None;
        let mut opening = (!on_demand).then(|| open(address, held.version, Duration::ZERO, call));
        loop {
            let stood = stands.is_some();
            let broken = tokio::select! {
                moved = place.changed() => {
                    if moved.is_err() {
                        return;
                    }
                    address = *place.borrow_and_update();
                    event!(WATCH_MOVES, address:%);
                    (moving, opening) = (true, (!on_demand).then(|| open(address, held.version, Duration::ZERO, call)));
                    tell(ListUpdate::Moved);
                    continue;
                }
                asked = wanted.recv() => match asked {
                    None => return,
                    Some(()) => {
                        if (moving || stands.is_none()) && opening.is_none() {
                            opening = Some(open(address, held.version, Duration::ZERO, call));
                        }
                        continue;
                    }
                },
                opened = async { opening.as_mut()?.await.into() }, if opening.is_some() => {
                    opening = None;
                    match opened {
                        Some(Ok((watch, mut list))) => {
                            event!(WATCH, version = held.version, address:%);
                            (stands, moving, told) = (Some(watch), false, None);
                            // What was missed comes first: with the watch the list is whole.
                            if let Some(news) = held.news(&mut list, true) {
                                handle.send(Input::Nodes { update: news, nodes: list.servers });
                            }
                            tell(ListUpdate::Subscribed);
                            continue;
                        }
                        Some(Err(broken)) => broken,
                        None => continue,
                    }
                }
                line = async { stands.as_mut()?.next().await.into() }, if stands.is_some() => match line {
                    Some(Ok(Some(mut list))) => {
                        if let Some(news) = held.news(&mut list, false) {
                            handle.send(Input::Nodes { update: news, nodes: list.servers });
                        }
                        continue;
                    }
                    Some(Ok(None)) => {
                        tell(ListUpdate::Heartbeat);
                        continue;
                    }
                    Some(Err(broken)) => {
                        stands = None;
                        broken
                    }
                    None => continue,
                },
            };
            // An agent that gives no answer at once has none.
            let silent = broken == Broken::Silent || on_demand && broken == Broken::Unanswered;
            // Calls that go on to fail in the same way are told once.
            if stood || on_demand || told.as_ref() != Some(&broken) {
                event!(WATCH_BROKE, version = held.version, reason:% = broken);
            }
            told = Some(broken);
            if opening.is_none() && !on_demand {
                let wait = if silent { Duration::ZERO } else { renew };
                opening = Some(open(address, held.version, wait, call));
            }
            if opening.is_none() {
                // Whatever was asked while the watch stood is answered by this failure.
                while wanted.try_recv().is_ok() {}
            }
            if stands.is_none() || moving {
                tell(if silent { ListUpdate::TimedOut } else { ListUpdate::Failed });
            }
        }
    }
}

/// A watch stands once its first line has come.
fn open(address: SocketAddr, after: u64, wait: Duration, most: Duration) -> Opening {
    Box::pin(async move {
        sleep(wait).await;
        match timeout(most, call(address, after)).await {
            Ok(Err(Broken::Silent)) | Err(_) => Err(Broken::Unanswered),
            Ok(done) => done,
        }
    })
}

async fn call(address: SocketAddr, after: u64) -> Result<(Watch, NodeList), Broken> {
    let mut http = HttpConnector::new();
    http.set_connect_timeout(Some(CONNECT));
    http.set_nodelay(true);
    // A client of its own for each watch: dropped with it, so that no connection outlives a broken one.
    let client: Client<_, Empty<Bytes>> =
        Client::builder(TokioExecutor::new()).retry_canceled_requests(false).build(http);
    let failed = |why: &dyn fmt::Display| Broken::Call(why.to_string());
    let uri: Uri =
        format!("http://{address}/discovery/hosts?watch=1&after={after}").parse().map_err(|e| failed(&e))?;
    let answer = client.get(uri).await.map_err(|e| failed(&e))?;
    if answer.status() != StatusCode::OK {
        return Err(Broken::Status(answer.status()));
    }
    let now = Instant::now();
    let mut watch = Watch { body: answer.into_body(), reader: ListReader::default(), heard: now, whole: now };
    loop {
        if let Some(list) = watch.next().await? {
            return Ok((watch, list));
        }
    }
}

struct Watch {
    body: Incoming,
    reader: ListReader,
    /// When a byte last came, and when a list or a beat was last whole.
    heard: Instant,
    whole: Instant,
}

impl Watch {
    /// The next list, or `None` for a beat. May be dropped while it waits, and loses nothing.
    async fn next(&mut self) -> Result<Option<NodeList>, Broken> {
        loop {
            let list = match self.reader.next()? {
                Next::List(list) => Some(list),
                Next::Beat => None,
                Next::Incomplete => {
                    self.read().await?;
                    continue;
                }
            };
            self.whole = Instant::now();
            return Ok(list);
        }
    }

    async fn read(&mut self) -> Result<(), Broken> {
        let until = (self.heard + SILENCE).min(self.whole + WHOLE);
        let frame = timeout_at(until, self.body.frame()).await;
        let Some(Ok(frame)) = frame.map_err(|_| Broken::Silent)? else { return Err(Broken::Ended) };
        self.heard = Instant::now();
        if let Ok(data) = frame.into_data() {
            self.reader.add(&data)?;
        }
        Ok(())
    }
}

/// What is held of the list: its version, and which nodes leave by it, with their last starts.
#[derive(Debug, Default)]
struct Held {
    version: u64,
    leaving: BTreeMap<String, u64>,
}

impl Held {
    /// What is news in a list. Changes that are no newer than what is held are none: a late one would undo a
    /// later one. A whole list that is older is none on a watch that has told a newer one; as the first of
    /// another watch it may be all that discovery has since it began anew, and stands, but brings back no
    /// node that is known to leave.
    fn news(&mut self, list: &mut NodeList, first: bool) -> Option<ListUpdate> {
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

/// Cuts what comes into lists: JSON objects, on one line or over many, with empty lines between them as
/// beats.
#[derive(Debug, Default)]
struct ListReader {
    pending: BytesMut,
    /// How far `pending` has been looked at; braces and brackets that are open there, and whether a string
    /// is.
    seen: usize,
    open: usize,
    string: bool,
    escaped: bool,
    /// Something else than white space has come since the last list or beat.
    begun: bool,
}

#[derive(Debug)]
enum Next {
    List(NodeList),
    Beat,
    /// What has come is not whole yet.
    Incomplete,
}

impl ListReader {
    fn add(&mut self, data: &[u8]) -> Result<(), Broken> {
        self.pending.extend_from_slice(data);
        if self.pending.len() > MOST_LIST { Err(Broken::LongList) } else { Ok(()) }
    }

    fn next(&mut self) -> Result<Next, Broken> {
        while let Some(byte) = self.pending.get(self.seen) {
            self.seen += 1;
            match byte {
                _ if self.escaped => self.escaped = false,
                b'\\' if self.string => self.escaped = true,
                b'"' => self.string = !self.string,
                _ if self.string => {}
                b'{' | b'[' => self.open += 1,
                b'}' | b']' => {
                    self.open = self.open.saturating_sub(1);
                    if self.open == 0 {
                        return self.cut().map(Next::List);
                    }
                }
                // Outside of an object a line's end ends what stands on it.
                b'\n' if self.open == 0 && self.begun => return self.cut().map(Next::List),
                b'\n' if self.open == 0 => {
                    self.pending.advance(self.seen);
                    self.seen = 0;
                    return Ok(Next::Beat);
                }
                _ => {}
            }
            self.begun |= !byte.is_ascii_whitespace();
        }
        Ok(Next::Incomplete)
    }

    fn cut(&mut self) -> Result<NodeList, Broken> {
        let text = self.pending.split_to(self.seen);
        // What is left of its line is no beat.
        let rest = self.pending.iter().take_while(|byte| matches!(byte, b' ' | b'\t' | b'\r')).count();
        let line = rest + usize::from(self.pending.get(rest) == Some(&b'\n'));
        self.pending.advance(line);
        *self = ListReader { pending: std::mem::take(&mut self.pending), ..ListReader::default() };
        serde_json::from_slice(&text).map_err(|error| Broken::BadList(error.to_string()))
    }
}

#[cfg(test)]
mod tests;
