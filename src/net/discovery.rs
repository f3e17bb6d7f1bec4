//! Discovery: the list of nodes as this head last had it, then a watch on its changes.

use crate::config::NodeList;
use crate::core::{Handle, Input};
use crate::event;
use crate::interface::News;
use bytes::{Buf, Bytes, BytesMut};
use http_body_util::{BodyExt, Empty};
use hyper::body::Incoming;
use hyper::{StatusCode, Uri};
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;
use std::fmt;
use std::net::SocketAddr;
use std::pin::Pin;
use tokio::sync::{mpsc, watch};
use tokio::time::{Duration, sleep, timeout};

/// An empty line comes every 2 s: a watch that is silent for so long is broken, though its connection stands.
const SILENCE: Duration = Duration::from_millis(5_500);
/// The service works through its calls in turn and fails those that waited too long by itself.
const CALL: Duration = Duration::from_secs(6);
const CONNECT: Duration = Duration::from_secs(2);
/// No line of a list is longer; a head has little memory.
const MOST_LINE: usize = 1024 * 1024;
/// Where changes come unasked for, a broken watch is renewed after this; so is one that has to move.
const RENEW: Duration = Duration::from_millis(700);

#[derive(Debug, PartialEq)]
enum Broken {
    Call(String),
    Status(StatusCode),
    Silent,
    LongLine,
    BadLine(String),
    Ended,
}

impl fmt::Display for Broken {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Broken::Call(why) => write!(f, "the call failed: {why}"),
            Broken::Status(status) => write!(f, "answered {status}"),
            Broken::Silent => write!(f, "silent past its beat"),
            Broken::LongLine => write!(f, "a line is too long"),
            Broken::BadLine(why) => write!(f, "a line is unreadable: {why}"),
            Broken::Ended => write!(f, "the watch ended"),
        }
    }
}

pub struct Discovery {
    /// Where discovery is; a new configuration may tell another place.
    pub address: watch::Receiver<SocketAddr>,
    pub known: NodeList,
    pub handle: Handle,
    /// The module asks for the watch; otherwise it is kept up unasked.
    pub on_demand: bool,
}

type Opening = Pin<Box<dyn Future<Output = Result<Watch, Broken>> + Send>>;

impl Discovery {
    pub async fn run(self, mut wanted: mpsc::UnboundedReceiver<()>) {
        let Discovery { address: mut place, known, handle, on_demand } = self;
        let mut version = known.version;
        handle.send(Input::Nodes { news: News::Cached, nodes: known.servers });
        let mut address = *place.borrow_and_update();
        // The watch that stands stays until the one at the new address does, so that no change is missed between.
        let (mut stands, mut moving): (Option<Watch>, bool) = (None, false);
        let mut opening = (!on_demand).then(|| open(address, version, Duration::ZERO));
        loop {
            let broken = tokio::select! {
                moved = place.changed() => {
                    if moved.is_err() {
                        return;
                    }
                    address = *place.borrow_and_update();
                    event!(WATCH_MOVES, address:%);
                    moving = true;
                    opening = Some(open(address, version, Duration::ZERO));
                    continue;
                }
                asked = wanted.recv() => match asked {
                    None => return,
                    Some(()) => {
                        if stands.is_none() && opening.is_none() {
                            opening = Some(open(address, version, Duration::ZERO));
                        }
                        continue;
                    }
                },
                opened = async { opening.as_mut()?.await.into() }, if opening.is_some() => {
                    opening = None;
                    match opened {
                        Some(Ok(watch)) => {
                            event!(WATCH, version, address:%);
                            (stands, moving) = (Some(watch), false);
                            continue;
                        }
                        Some(Err(broken)) => broken,
                        None => continue,
                    }
                }
                line = async { stands.as_mut()?.next().await.into() }, if stands.is_some() => match line {
                    Some(Ok(list)) => {
                        if let Some(news) = news(&mut version, &list) {
                            handle.send(Input::Nodes { news, nodes: list.servers });
                        }
                        continue;
                    }
                    Some(Err(broken)) => {
                        stands = None;
                        broken
                    }
                    None => continue,
                },
            };
            event!(WATCH_BROKE, version, reason:% = broken);
            if opening.is_none() && (moving || !on_demand) {
                opening = Some(open(address, version, RENEW));
            }
            if stands.is_none() && !moving {
                // Whatever was asked while the watch stood is answered by this failure.
                while wanted.try_recv().is_ok() {}
                handle.send(Input::Nodes { news: News::Failed, nodes: Vec::new() });
            }
        }
    }
}

/// A watch stands once its first line has come.
fn open(address: SocketAddr, after: u64, wait: Duration) -> Opening {
    Box::pin(async move {
        sleep(wait).await;
        let mut http = HttpConnector::new();
        http.set_connect_timeout(Some(CONNECT));
        // A client of its own for each watch: dropped with it, so that no connection outlives a broken one.
        let client: Client<_, Empty<Bytes>> =
            Client::builder(TokioExecutor::new()).retry_canceled_requests(false).build(http);
        let call = |why: &dyn fmt::Display| Broken::Call(why.to_string());
        let uri: Uri = format!("http://{address}/discovery/hosts?watch=1&after={after}")
            .parse()
            .map_err(|e| call(&e))?;
        let answer = timeout(CALL, client.get(uri)).await.map_err(|e| call(&e))?;
        let answer = answer.map_err(|e| call(&e))?;
        if answer.status() != StatusCode::OK {
            return Err(Broken::Status(answer.status()));
        }
        let mut watch = Watch { body: answer.into_body(), lines: Lines::default(), first: None };
        watch.first = Some(watch.next().await?);
        Ok(watch)
    })
}

struct Watch {
    body: Incoming,
    lines: Lines,
    first: Option<NodeList>,
}

impl Watch {
    /// The next list. May be dropped while it waits, and loses nothing.
    async fn next(&mut self) -> Result<NodeList, Broken> {
        if let Some(first) = self.first.take() {
            return Ok(first);
        }
        loop {
            if let Some(list) = self.lines.next()? {
                return Ok(list);
            }
            let frame = timeout(SILENCE, self.body.frame()).await.map_err(|_| Broken::Silent)?;
            let Some(Ok(frame)) = frame else { return Err(Broken::Ended) };
            if let Ok(data) = frame.into_data() {
                self.lines.add(&data)?;
            }
        }
    }
}

/// Whether a list is news. Changes that are no newer than what is held are not: a late one would undo a later one.
fn news(version: &mut u64, list: &NodeList) -> Option<News> {
    if list.full {
        *version = list.version;
        return Some(News::Full);
    }
    let newer = list.version > *version || list.servers.is_empty();
    *version = list.version.max(*version);
    newer.then_some(News::Changes)
}

/// Cuts what comes into lines.
#[derive(Debug, Default)]
struct Lines {
    torn: BytesMut,
}

impl Lines {
    fn add(&mut self, data: &[u8]) -> Result<(), Broken> {
        self.torn.extend_from_slice(data);
        let unfinished = self.torn.iter().rev().take_while(|byte| **byte != b'\n').count();
        if unfinished > MOST_LINE { Err(Broken::LongLine) } else { Ok(()) }
    }

    /// The next list; a line without its end is none yet, and an empty one only a beat.
    fn next(&mut self) -> Result<Option<NodeList>, Broken> {
        while let Some(end) = self.torn.iter().position(|byte| *byte == b'\n') {
            let line = self.torn.split_to(end);
            self.torn.advance(1);
            if !line.trim_ascii().is_empty() {
                let list = serde_json::from_slice(&line);
                return list.map(Some).map_err(|error| Broken::BadLine(error.to_string()));
            }
        }
        Ok(None)
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn told(lines: &mut Lines, version: &mut u64, text: &str) -> Vec<(News, u64, usize)> {
        lines.add(text.as_bytes()).unwrap();
        let mut all = Vec::new();
        while let Some(list) = lines.next().unwrap() {
            all.extend(news(version, &list).map(|news| (news, list.version, list.servers.len())));
        }
        all
    }

    #[test]
    fn changes_are_told_in_version_order_and_torn_lines_are_none() {
        let entry = r#"{"id":"s-1","addr":"127.0.0.1:1","cell":3,"state":"terminating"}"#;
        let line =
            |version, full| format!("{{\"version\":{version},\"full\":{full},\"servers\":[{entry}]}}\n");
        let (mut lines, mut version) = (Lines::default(), 41);
        let mut news = |text: &str| told(&mut lines, &mut version, text);
        assert_eq!(news(&format!("\n{}\r\n\n", line(42, false).trim())), [(News::Changes, 42, 1)]);
        assert_eq!(news(&line(42, false)), []);
        assert_eq!(news(&line(41, false)), []);
        let (a, b) = (line(44, false), line(45, true));
        assert_eq!(news(&a[..30]), []);
        let rest = news(&format!("{}{b}", &a[30..]));
        assert_eq!(rest, [(News::Changes, 44, 1), (News::Full, 45, 1)]);
        assert_eq!(news(&line(3, true)), [(News::Full, 3, 1)]);
    }

    #[test]
    fn lines_that_are_unreadable_or_endless_break_the_watch() {
        let mut lines = Lines::default();
        lines.add(b"{\"version\":\n").unwrap();
        assert!(matches!(lines.next(), Err(Broken::BadLine(_))));
        assert_eq!(lines.add(&vec![b'x'; MOST_LINE + 1]), Err(Broken::LongLine));
    }
}
