//! Discovery: the list of nodes as this head last had it, then a watch on its changes.

use crate::config::NodeList;
use crate::core::{Handle, Input};
use crate::interface::News;
use bytes::{Buf, Bytes, BytesMut};
use http_body_util::{BodyExt, Empty};
use hyper::{StatusCode, Uri};
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;
use log::{info, warn};
use std::fmt;
use std::net::SocketAddr;
use tokio::sync::mpsc;
use tokio::time::{Duration, timeout};

/// An empty line comes every 2 s: a watch that is silent for so long is broken, though its connection stands.
const SILENCE: Duration = Duration::from_millis(5_500);
/// The service works through its calls in turn and fails those that waited too long by itself.
const CALL: Duration = Duration::from_secs(6);
const CONNECT: Duration = Duration::from_secs(2);
/// No line of a list is longer; a head has little memory.
const MOST_LINE: usize = 1024 * 1024;
/// Where changes come unasked for, a broken watch is renewed after this.
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
    pub address: SocketAddr,
    pub known: NodeList,
    pub handle: Handle,
    /// The module asks for the watch; otherwise it is kept up unasked.
    pub on_demand: bool,
}

impl Discovery {
    pub async fn run(self, mut wanted: mpsc::UnboundedReceiver<()>) {
        let Discovery { address, known, handle, on_demand } = self;
        let mut lines = Lines { version: known.version, ..Lines::default() };
        handle.send(Input::Nodes { news: News::Cached, nodes: known.servers });
        loop {
            if on_demand && wanted.recv().await.is_none() {
                return;
            }
            let Err(broken) = watch(address, &mut lines, &handle).await;
            warn!(version = lines.version, reason:% = broken; "the watch on the node list broke");
            // Whatever was asked while the watch stood is answered by this failure.
            while wanted.try_recv().is_ok() {}
            handle.send(Input::Nodes { news: News::Failed, nodes: Vec::new() });
            if !on_demand {
                tokio::time::sleep(RENEW).await;
            }
        }
    }
}

async fn watch(
    address: SocketAddr,
    lines: &mut Lines,
    handle: &Handle,
) -> Result<std::convert::Infallible, Broken> {
    let mut http = HttpConnector::new();
    http.set_connect_timeout(Some(CONNECT));
    // A client of its own for each watch: dropped with it, so that no connection outlives a broken one.
    let client: Client<_, Empty<Bytes>> =
        Client::builder(TokioExecutor::new()).retry_canceled_requests(false).build(http);
    let call = |why: &dyn fmt::Display| Broken::Call(why.to_string());
    let uri: Uri = format!("http://{address}/discovery/hosts?watch=1&after={}", lines.version)
        .parse()
        .map_err(|e| call(&e))?;
    let answer = timeout(CALL, client.get(uri)).await.map_err(|e| call(&e))?;
    let answer = answer.map_err(|e| call(&e))?;
    if answer.status() != StatusCode::OK {
        return Err(Broken::Status(answer.status()));
    }
    let mut body = answer.into_body();
    lines.torn.clear();
    let mut stands = false;
    loop {
        let frame = timeout(SILENCE, body.frame()).await.map_err(|_| Broken::Silent)?;
        let Some(Ok(frame)) = frame else { return Err(Broken::Ended) };
        if let Ok(data) = frame.into_data() {
            lines.add(&data)?;
        }
        while let Some((news, list)) = lines.next()? {
            handle.send(Input::Nodes { news, nodes: list.servers });
            if !stands {
                info!(version = lines.version; "the watch stands");
                stands = true;
            }
        }
    }
}

/// Cuts what comes into lines and tells which of them are news.
#[derive(Debug, Default)]
struct Lines {
    version: u64,
    torn: BytesMut,
}

impl Lines {
    fn add(&mut self, data: &[u8]) -> Result<(), Broken> {
        self.torn.extend_from_slice(data);
        let unfinished = self.torn.iter().rev().take_while(|byte| **byte != b'\n').count();
        if unfinished > MOST_LINE { Err(Broken::LongLine) } else { Ok(()) }
    }

    /// The next change of the list; a line without its end is none yet. Changes that are no newer than what is
    /// held are left out, or a late one would undo a later one.
    fn next(&mut self) -> Result<Option<(News, NodeList)>, Broken> {
        while let Some(end) = self.torn.iter().position(|byte| *byte == b'\n') {
            let line = self.torn.split_to(end);
            self.torn.advance(1);
            if line.trim_ascii().is_empty() {
                continue;
            }
            let list: NodeList =
                serde_json::from_slice(&line).map_err(|error| Broken::BadLine(error.to_string()))?;
            if list.full {
                self.version = list.version;
                return Ok(Some((News::Full, list)));
            }
            if list.version > self.version || list.servers.is_empty() {
                self.version = self.version.max(list.version);
                return Ok(Some((News::Changes, list)));
            }
        }
        Ok(None)
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn news(lines: &mut Lines, text: &str) -> Vec<(News, u64, usize)> {
        lines.add(text.as_bytes()).unwrap();
        let mut all = Vec::new();
        while let Some((news, list)) = lines.next().unwrap() {
            all.push((news, list.version, list.servers.len()));
        }
        all
    }

    #[test]
    fn changes_are_told_in_version_order_and_torn_lines_are_none() {
        let entry = r#"{"id":"s-1","addr":"127.0.0.1:1","cell":3,"state":"terminating"}"#;
        let line =
            |version, full| format!("{{\"version\":{version},\"full\":{full},\"servers\":[{entry}]}}\n");
        let mut lines = Lines { version: 41, ..Lines::default() };
        assert_eq!(
            news(&mut lines, &format!("\n{}\r\n\n", line(42, false).trim())),
            [(News::Changes, 42, 1)]
        );
        assert_eq!(news(&mut lines, &line(42, false)), []);
        assert_eq!(news(&mut lines, &line(41, false)), []);
        let (a, b) = (line(44, false), line(45, true));
        assert_eq!(news(&mut lines, &a[..30]), []);
        let rest = news(&mut lines, &format!("{}{b}", &a[30..]));
        assert_eq!(rest, [(News::Changes, 44, 1), (News::Full, 45, 1)]);
        assert_eq!(news(&mut lines, &line(3, true)), [(News::Full, 3, 1)]);
    }

    #[test]
    fn lines_that_are_unreadable_or_endless_break_the_watch() {
        let mut lines = Lines::default();
        lines.add(b"{\"version\":\n").unwrap();
        assert!(matches!(lines.next(), Err(Broken::BadLine(_))));
        assert_eq!(lines.add(&vec![b'x'; MOST_LINE + 1]), Err(Broken::LongLine));
    }
}
