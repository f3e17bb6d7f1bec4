//! A node that serves calls of all four shapes, with faults by script.
//!
//! `Unary` echoes, `ClientStream` counts, `ServerStream` says five things, `Bidi` and `Early` echo as they go; each
//! message says which call and which attempt it is of.

use super::{Messages, background, message, wait};
use crate::rehearsal::Outcome;
use bytes::Bytes;
use h2::server::SendResponse;
use h2::{Reason, RecvStream, SendStream};
use hyper::header::{HeaderMap, HeaderValue};
use hyper::{Request, Response};
use std::collections::{BTreeMap, VecDeque};
use std::future::poll_fn;
use std::net::SocketAddr;
use std::ops::ControlFlow;
use std::sync::mpsc::{Receiver, Sender, channel};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{broadcast, oneshot};

/// What a server stream says.
pub const PARTS: usize = 5;
/// And a flood.
const FLOOD: usize = 400;

#[derive(Debug)]
pub enum Fault {
    /// Waits, having read the request, until the sender is dropped.
    Hold(oneshot::Receiver<()>),
    /// Says headers and waits.
    HoldAfterHeaders(oneshot::Receiver<()>),
    /// Reads nothing until the sender is dropped.
    Deaf(oneshot::Receiver<()>),
    /// One block that is both headers and trailers.
    TrailersOnly {
        code: &'static str,
        not_processed: bool,
    },
    /// Some messages, then this status.
    StatusAfter(usize, &'static str),
    /// Some messages and a part of the next one, then the status of a success.
    HalfMessageAfter(usize),
    /// All messages, and the stream's end with no trailers.
    NoTrailers,
    ResetAfterHeaders,
    /// Some messages, then a reset.
    ResetAfter(usize),
    /// Some messages, then the connection's end.
    CutAfter(usize),
    /// The connection ends with the request's first message.
    CutEarly,
    RefuseStream,
    /// The connection takes no new streams; this one and all others are served.
    GoAway,
}

#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Seen {
    Connected,
    Began {
        call: String,
        attempt: usize,
    },
    /// The request came whole and the call has run, unless the node then says that it did not.
    Whole {
        call: String,
        attempt: usize,
    },
    /// The node says that it never ran.
    Refused {
        call: String,
        attempt: usize,
    },
    Message {
        call: String,
        length: usize,
    },
    /// The head gave the stream up.
    Reset {
        call: String,
    },
}

pub type Script = Box<dyn FnMut(&str, usize) -> Option<Fault> + Send>;

struct Shared {
    seen: Mutex<Sender<Seen>>,
    faults: Mutex<VecDeque<Fault>>,
    script: Mutex<Option<Script>>,
    attempts: Mutex<BTreeMap<String, usize>>,
    metadata: Mutex<Vec<HeaderMap>>,
    orders: broadcast::Sender<Order>,
}

#[derive(Clone, Copy, Debug)]
enum Order {
    GoAway(u64),
    Cut(u64),
}

fn locked<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

impl Shared {
    fn tell(&self, seen: Seen) {
        // The rehearsal may be over.
        let _ = locked(&self.seen).send(seen);
    }

    fn next_fault(&self, call: &str, attempt: usize) -> Option<Fault> {
        match &mut *locked(&self.script) {
            Some(script) => script(call, attempt),
            None => locked(&self.faults).pop_front(),
        }
    }
}

pub struct Node {
    pub address: SocketAddr,
    pub seen: Receiver<Seen>,
    shared: Arc<Shared>,
    task: tokio::task::AbortHandle,
}

impl Drop for Node {
    fn drop(&mut self) {
        self.task.abort();
        let _ = self.shared.orders.send(Order::Cut(0)); // nobody may be connected
    }
}

impl Node {
    pub fn start() -> Outcome<Node> {
        Node::with(None)
    }

    /// The script says what happens to which attempt of which call.
    pub fn scripted(script: Script) -> Outcome<Node> {
        Node::with(Some(script))
    }

    fn with(script: Option<Script>) -> Outcome<Node> {
        let listener = wait(TcpListener::bind("127.0.0.1:0"))??;
        let address = listener.local_addr()?;
        let (sender, seen) = channel();
        let shared = Arc::new(Shared {
            seen: Mutex::new(sender),
            faults: Mutex::default(),
            script: Mutex::new(script),
            attempts: Mutex::default(),
            metadata: Mutex::default(),
            orders: broadcast::channel(64).0,
        });
        let task = background()?.spawn(accept(listener, shared.clone())).abort_handle();
        Ok(Node { address, seen, shared, task })
    }

    /// What the next stream meets that meets anything.
    pub fn fail(&self, fault: Fault) {
        locked(&self.shared.faults).push_back(fault);
    }

    /// Holds the next stream until what this returns is dropped.
    pub fn hold(&self) -> oneshot::Sender<()> {
        let (release, held) = oneshot::channel();
        self.fail(Fault::Hold(held));
        release
    }

    /// The metadata of the calls so far.
    pub fn metadata(&self) -> Vec<HeaderMap> {
        locked(&self.shared.metadata).clone()
    }

    /// Ends all its connections, as a node that dies does.
    pub fn cut(&self) {
        let _ = self.shared.orders.send(Order::Cut(0)); // nobody may be connected
    }
}

async fn accept(listener: TcpListener, shared: Arc<Shared>) {
    let mut number = 0;
    while let Ok((stream, _)) = listener.accept().await {
        number += 1;
        shared.tell(Seen::Connected);
        tokio::spawn(connection(stream, number, shared.clone()));
    }
}

async fn connection(stream: TcpStream, number: u64, shared: Arc<Shared>) {
    let _ = stream.set_nodelay(true);
    let mut orders = shared.orders.subscribe();
    let Ok(mut connection) = h2::server::handshake(stream).await else { return };
    let mut streams = tokio::task::JoinSet::new();
    loop {
        tokio::select! {
            order = orders.recv() => match order {
                Ok(Order::Cut(which)) if which == number || which == 0 => return,
                Ok(Order::GoAway(which)) if which == number => connection.graceful_shutdown(),
                _ => {}
            },
            accepted = connection.accept() => match accepted {
                Some(Ok((request, respond))) => {
                    streams.spawn(stream_of(request, respond, number, shared.clone()));
                }
                _ => return,
            }
        }
    }
}

/// One stream's answer as it goes out.
struct Says {
    call: String,
    attempt: usize,
    said: usize,
    respond: SendResponse<Bytes>,
    stream: Option<SendStream<Bytes>>,
}

impl Says {
    fn reset(&mut self) {
        if let Some(stream) = &mut self.stream {
            stream.send_reset(Reason::INTERNAL_ERROR);
        }
    }

    fn headers(&mut self) {
        if self.stream.is_none() {
            let mut response = Response::new(());
            let headers = response.headers_mut();
            headers.insert("content-type", HeaderValue::from_static("application/grpc+kit"));
            headers.insert("x-kit-header", HeaderValue::from_static("first"));
            headers.insert("x-server-load", HeaderValue::from_static("queue=0"));
            self.stream = self.respond.send_response(response, false).ok();
        }
    }

    /// False: the head has given it up.
    async fn say(&mut self, text: &[u8]) -> bool {
        self.headers();
        let Some(stream) = &mut self.stream else { return false };
        let mut framed =
            message([format!("{}/{}/{}:", self.call, self.attempt, self.said).as_bytes(), text].concat());
        while !framed.is_empty() {
            stream.reserve_capacity(framed.len());
            let room = poll_fn(|cx| match stream.capacity() {
                0 => stream.poll_capacity(cx),
                room => std::task::Poll::Ready(Some(Ok(room))),
            });
            let Some(Ok(room)) = room.await else { return false };
            if stream.send_data(framed.split_to(room.min(framed.len())), false).is_err() {
                return false;
            }
        }
        self.said += 1;
        true
    }

    fn trailers(&mut self, code: &str) {
        self.headers();
        if let Some(stream) = &mut self.stream {
            let mut trailers = HeaderMap::new();
            trailers
                .insert("grpc-status", HeaderValue::from_str(code).unwrap_or(HeaderValue::from_static("2")));
            trailers.insert("x-kit-trailer-bin", HeaderValue::from_static("AP8Q"));
            let _ = stream.send_trailers(trailers); // the head may have given it up
        }
    }

    fn only(&mut self, code: &str, not_processed: bool) {
        let mut response = Response::new(());
        let headers = response.headers_mut();
        headers.insert("content-type", HeaderValue::from_static("application/grpc"));
        headers.insert("grpc-status", HeaderValue::from_str(code).unwrap_or(HeaderValue::from_static("2")));
        headers.insert("grpc-message", HeaderValue::from_static("the node's own words"));
        if not_processed {
            headers.insert("x-not-processed", HeaderValue::from_static("1"));
        }
        let _ = self.respond.send_response(response, true);
    }

    async fn given_up(&mut self) {
        let _ = match &mut self.stream {
            Some(stream) => poll_fn(|cx| stream.poll_reset(cx)).await,
            None => poll_fn(|cx| self.respond.poll_reset(cx)).await,
        };
    }
}

async fn stream_of(
    request: Request<RecvStream>,
    respond: SendResponse<Bytes>,
    connection: u64,
    shared: Arc<Shared>,
) {
    let (head, mut body) = request.into_parts();
    locked(&shared.metadata).push(head.headers.clone());
    let call = head.headers.get("x-call").and_then(|v| v.to_str().ok()).unwrap_or("").to_string();
    let attempt = {
        let mut attempts = locked(&shared.attempts);
        let count = attempts.entry(call.clone()).or_default();
        *count += 1;
        *count - 1
    };
    shared.tell(Seen::Began { call: call.clone(), attempt });
    let fault = shared.next_fault(&call, attempt);
    let method = head.uri.path().rsplit('/').next().unwrap_or("").to_string();
    let mut says = Says { call: call.clone(), attempt, said: 0, respond, stream: None };
    let given_up = serve(&mut says, &mut body, &method, fault, connection, &shared).await;
    if given_up {
        shared.tell(Seen::Reset { call });
    }
}

/// Serves one call. Returns whether the proxy gave the stream up.
async fn serve(
    says: &mut Says,
    body: &mut RecvStream,
    method: &str,
    mut fault: Option<Fault>,
    connection: u64,
    shared: &Shared,
) -> bool {
    if let ControlFlow::Break(given_up) = fault_before_body(says, &mut fault, connection, shared).await {
        return given_up;
    }
    let received = match receive_messages(says, body, method, fault.as_ref(), connection, shared).await {
        ControlFlow::Continue(received) => received,
        ControlFlow::Break(given_up) => return given_up,
    };
    if let ControlFlow::Break(given_up) = fault_before_answer(says, &mut fault, shared).await {
        return given_up;
    }
    let most = match &fault {
        Some(
            Fault::StatusAfter(n, _) | Fault::HalfMessageAfter(n) | Fault::ResetAfter(n) | Fault::CutAfter(n),
        ) => *n,
        _ => usize::MAX,
    };
    for answer in answers(method, received).into_iter().take(most) {
        if !says.say(&answer).await {
            return true;
        }
    }
    finish(says, fault, connection, shared).await;
    false
}

/// The messages of one call.
struct Received {
    count: usize,
    bytes: Vec<u8>,
}

/// Faults that come before the request's body is read. `Break`: the call is over.
async fn fault_before_body(
    says: &mut Says,
    fault: &mut Option<Fault>,
    connection: u64,
    shared: &Shared,
) -> ControlFlow<bool> {
    match fault {
        Some(Fault::RefuseStream) => {
            shared.tell(Seen::Refused { call: says.call.clone(), attempt: says.attempt });
            says.respond.send_reset(Reason::REFUSED_STREAM);
            return ControlFlow::Break(false);
        }
        Some(Fault::Deaf(held)) => {
            tokio::select! {
                _ = held => {}
                () = says.given_up() => return ControlFlow::Break(true),
            }
        }
        Some(Fault::GoAway) => drop(shared.orders.send(Order::GoAway(connection))),
        _ => {}
    }
    ControlFlow::Continue(())
}

/// Reads all messages; methods that answer early do so with each.
async fn receive_messages(
    says: &mut Says,
    body: &mut RecvStream,
    method: &str,
    fault: Option<&Fault>,
    connection: u64,
    shared: &Shared,
) -> ControlFlow<bool, Received> {
    let (mut messages, mut received) = (Messages::default(), Received { count: 0, bytes: Vec::new() });
    while let Some(piece) = body.data().await {
        let Ok(piece) = piece else { return ControlFlow::Break(true) };
        let _ = body.flow_control().release_capacity(piece.len());
        messages.push(&piece);
        while let Some(text) = messages.take() {
            received.count += 1;
            shared.tell(Seen::Message { call: says.call.clone(), length: text.len() });
            if matches!(fault, Some(Fault::CutEarly)) {
                let _ = shared.orders.send(Order::Cut(connection));
                return ControlFlow::Break(false);
            }
            if matches!(method, "Bidi" | "Early") && !says.say(&text).await {
                return ControlFlow::Break(true);
            }
            received.bytes.extend(text);
        }
    }
    ControlFlow::Continue(received)
}

/// Faults between the request's last byte and the answer. `Break`: the call is over.
async fn fault_before_answer(
    says: &mut Says,
    fault: &mut Option<Fault>,
    shared: &Shared,
) -> ControlFlow<bool> {
    let (call, attempt) = (says.call.clone(), says.attempt);
    if let Some(Fault::TrailersOnly { code, not_processed: true }) = fault {
        shared.tell(Seen::Refused { call, attempt });
        says.only(code, true);
        return ControlFlow::Break(false);
    }
    shared.tell(Seen::Whole { call, attempt });
    match fault {
        Some(Fault::Hold(held)) => {
            tokio::select! {
                _ = held => {}
                () = says.given_up() => return ControlFlow::Break(true),
            }
        }
        Some(Fault::HoldAfterHeaders(held)) => {
            says.headers();
            tokio::select! {
                _ = held => {}
                () = says.given_up() => return ControlFlow::Break(true),
            }
        }
        Some(Fault::TrailersOnly { code, .. }) => {
            says.only(code, false);
            return ControlFlow::Break(false);
        }
        Some(Fault::ResetAfterHeaders) => {
            says.headers();
            // The headers must be on their way before the reset takes their place.
            tokio::task::yield_now().await;
            says.reset();
            return ControlFlow::Break(false);
        }
        _ => {}
    }
    ControlFlow::Continue(())
}

/// The messages that answer a call.
fn answers(method: &str, received: Received) -> Vec<Vec<u8>> {
    match method {
        "Unary" => vec![received.bytes],
        "ClientStream" => vec![received.count.to_string().into_bytes()],
        "ServerStream" => (0..PARTS).map(|_| received.bytes.clone()).collect(),
        "Flood" => (0..FLOOD).map(|_| received.bytes.clone()).collect(),
        _ => Vec::new(),
    }
}

/// Ends the answer, with its trailers or by a fault.
async fn finish(says: &mut Says, fault: Option<Fault>, connection: u64, shared: &Shared) {
    match fault {
        Some(Fault::StatusAfter(_, code)) => says.trailers(code),
        Some(Fault::HalfMessageAfter(_)) => {
            says.headers();
            if let Some(stream) = &mut says.stream {
                let _ = stream.send_data(Bytes::from_static(b"\0\0\0\0\x09half"), false);
            }
            says.trailers("0");
        }
        Some(Fault::NoTrailers) => {
            says.headers();
            if let Some(stream) = &mut says.stream {
                let _ = stream.send_data(Bytes::new(), true);
            }
        }
        Some(Fault::ResetAfter(_)) => {
            says.headers();
            flushed().await;
            says.reset();
        }
        Some(Fault::CutAfter(_)) => {
            flushed().await;
            let _ = shared.orders.send(Order::Cut(connection));
        }
        _ => says.trailers("0"),
    }
}

/// Lets the connection's task write what stands before a fault. What it had no turn for is lost with the fault, as
/// on a real node; the cases look at what came.
async fn flushed() {
    for _ in 0..8 {
        tokio::task::yield_now().await;
    }
}
