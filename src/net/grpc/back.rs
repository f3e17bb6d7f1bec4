//! Nodes behind the gRPC front: channels with many streams each, and attempts, each of which is one stream.
//! What a channel writes is watched frame by frame, so that it is known of each stream whether its last frame
//! went out. Dropping an attempt drops its stream, and h2 resets that at the node.

use super::call::{Call, Down};
use super::tap::{Tap, Tapped};
use super::{FOR_THE_HEAD, PREVIOUS, PUSHBACK, STATUS, TIMEOUT, passed_on};
use crate::attempt_end::AttemptEnd;
use crate::config::grpc::GrpcFront;
use crate::core::{AnswerBinder, Attempt, AttemptContext, AttemptSource, Report, WriteState};
use crate::event;
use crate::grpc::channels::{ChannelId, Channels, Duty, Grant};
use crate::grpc::frames::{Kind, PREFACE, Scanner, Seen};
use crate::grpc::{status, timeout};
use crate::interface::{Load, Micros};
use crate::net::back::{NOT_PROCESSED, load, used};
use crate::replay_buffer::{Next, Over};
use bytes::Bytes;
use h2::client::{ResponseFuture, SendRequest};
use h2::{Ping, PingPong, Reason, SendStream};
use hyper::header::{HeaderMap, HeaderName, HeaderValue};
use hyper::{Method, Request, StatusCode, Uri};
use log::debug;
use std::collections::BTreeMap;
use std::future::{pending, poll_fn};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::task::Poll;
use tokio::net::TcpStream;
use tokio::sync::{Notify, mpsc};
use tokio::time::{Duration, Instant};

/// How often channels are looked through.
const LOOK: Duration = Duration::from_millis(100);

#[derive(Clone)]
pub struct Nodes {
    hub: Arc<Hub>,
}

struct Hub {
    start: Instant,
    state: Mutex<State>,
    /// Something has changed that a call may have waited for.
    changed: Notify,
    connect: Duration,
    patience: Duration,
    port: Option<u16>,
    window: u32,
    header_bytes: u32,
    opened: AtomicU64,
    asked: AtomicU64,
}

struct State {
    channels: Channels<SocketAddr>,
    lines: BTreeMap<ChannelId, Line>,
}

/// A channel that stands: how streams are opened on it, and how it is told to go.
struct Line {
    sender: SendRequest<Bytes>,
    watch: Watch,
    orders: mpsc::UnboundedSender<Order>,
}

#[derive(Clone, Copy, Debug, PartialEq)]
enum Order {
    Ping,
    Close,
}

/// One stream on a channel, given back when it is dropped.
struct Lease {
    hub: Arc<Hub>,
    id: ChannelId,
    sender: SendRequest<Bytes>,
    watch: Watch,
}

impl Drop for Lease {
    fn drop(&mut self) {
        let over = self.hub.with(|hub, state| state.channels.released(hub.now(), self.id));
        if over {
            self.hub.close(self.id);
        }
        self.hub.changed.notify_waiters();
    }
}

impl Nodes {
    pub fn new(front: &GrpcFront, connect: Duration) -> Nodes {
        let limits = front.channels;
        Nodes {
            hub: Arc::new(Hub {
                start: Instant::now(),
                state: Mutex::new(State { channels: Channels::new(limits), lines: BTreeMap::new() }),
                changed: Notify::new(),
                connect,
                patience: Duration::from_micros(limits.patience),
                port: front.node_port,
                window: front.node_window,
                header_bytes: front.header_bytes as u32,
                opened: AtomicU64::new(0),
                asked: AtomicU64::new(0),
            }),
        }
    }

    /// Channels opened to nodes and attempts begun, so far.
    pub fn counts(&self) -> (u64, u64) {
        (self.hub.opened.load(Ordering::Relaxed), self.hub.asked.load(Ordering::Relaxed))
    }

    /// Does what time alone brings about, for as long as the program runs.
    pub async fn watch(self) {
        loop {
            tokio::time::sleep(LOOK).await;
            for duty in self.hub.with(|hub, state| state.channels.tick(hub.now())) {
                match duty {
                    Duty::Ping(id) => self.hub.order(id, Order::Ping),
                    Duty::Stalled(id) => {
                        event!(CHANNEL_STALLED, channel = id)
                    }
                    Duty::Close(id) | Duty::Break(id) => {
                        debug!(channel = id; "a channel goes: {duty:?}");
                        self.hub.close(id);
                    }
                }
            }
        }
    }

    async fn attempt(self, call: Arc<Call>, context: AttemptContext) -> Report {
        self.hub.asked.fetch_add(1, Ordering::Relaxed);
        let Ok(mut address) = context.address.parse::<SocketAddr>() else {
            return AttemptEnd::NotStarted.into();
        };
        if let Some(port) = self.hub.port {
            address.set_port(port);
        }
        let carried = async {
            let lease = match self.hub.acquire(address).await {
                Ok(lease) => lease,
                Err(end) => return end.into(),
            };
            let first = exchange(lease, &call, &context).await;
            if first.end != AttemptEnd::BrokeUnsent || context.write_state.has_started() {
                return first;
            }
            // A channel that turns out gone before a byte went out is replaced once: that is no attempt yet.
            match self.hub.acquire(address).await {
                Ok(lease) => exchange(lease, &call, &context).await,
                Err(end) => end.into(),
            }
        };
        tokio::select! {
            biased;
            // The stream goes with its future, and its node hears of that in this turn.
            () = call.left.cancelled() => AttemptEnd::CalledOff.into(),
            report = carried => report,
        }
    }
}

impl Hub {
    fn with<T>(&self, f: impl FnOnce(&Hub, &mut State) -> T) -> T {
        f(self, &mut self.state.lock().unwrap_or_else(PoisonError::into_inner))
    }

    fn now(&self) -> Micros {
        crate::clock::micros(self.start.elapsed())
    }

    fn order(&self, id: ChannelId, order: Order) {
        self.with(|_, state| {
            if let Some(line) = state.lines.get(&id) {
                let _ = line.orders.send(order); // its task may have ended by itself
            }
        });
    }

    fn close(&self, id: ChannelId) {
        self.order(id, Order::Close);
        self.with(|_, state| state.lines.remove(&id));
    }

    async fn acquire(self: &Arc<Hub>, address: SocketAddr) -> Result<Lease, AttemptEnd> {
        loop {
            let mut changed = std::pin::pin!(self.changed.notified());
            changed.as_mut().enable();
            match self.with(|hub, state| state.channels.want(hub.now(), &address)) {
                Grant::Use(id) => {
                    let line = self.with(|_, state| {
                        state.lines.get(&id).map(|line| (line.sender.clone(), line.watch.clone()))
                    });
                    // One whose line is gone has broken in this very turn.
                    let Some((sender, watch)) = line else { return Err(AttemptEnd::NoConnection) };
                    return Ok(Lease { hub: self.clone(), id, sender, watch });
                }
                Grant::Open { id, close } => {
                    close.into_iter().for_each(|id| self.close(id));
                    tokio::spawn(channel(self.clone(), id, address));
                }
                Grant::Wait => changed.await,
                Grant::Refuse => return Err(AttemptEnd::NoConnection),
            }
        }
    }
}

/// Ends a channel's bookkeeping however its task ends.
struct Ends {
    hub: Arc<Hub>,
    id: ChannelId,
    up: bool,
    watch: Watch,
}

impl Drop for Ends {
    fn drop(&mut self) {
        // Who waits for room on it finds out now.
        self.watch.unblock();
        self.hub.with(|hub, state| {
            if self.up {
                state.channels.broke(self.id);
            } else {
                state.channels.failed(hub.now(), self.id);
            }
            state.lines.remove(&self.id);
        });
        self.hub.changed.notify_waiters();
    }
}

/// Opens a channel and drives it to its end.
async fn channel(hub: Arc<Hub>, id: ChannelId, address: SocketAddr) {
    let watch = Watch::default();
    let mut ends = Ends { hub: hub.clone(), id, up: false, watch: watch.clone() };
    let Ok(Ok(stream)) = tokio::time::timeout(hub.connect, TcpStream::connect(address)).await else {
        return debug!(address:%; "no channel came up");
    };
    hub.opened.fetch_add(1, Ordering::Relaxed);
    let _ = stream.set_nodelay(true); // only a matter of speed
    let tap = ChannelTap {
        hub: hub.clone(),
        id,
        watch: watch.clone(),
        inwards: Scanner::new(0),
        outwards: Scanner::new(PREFACE),
    };
    let mut builder = h2::client::Builder::new();
    let streams = hub.with(|_, state| state.channels.limits().streams) as u32;
    builder
        .enable_push(false)
        .initial_window_size(hub.window)
        .initial_connection_window_size(hub.window.saturating_mul(streams).max(u32::from(u16::MAX)))
        .max_header_list_size(hub.header_bytes)
        .max_send_buffer_size(hub.window as usize);
    let Ok((sender, mut connection)) = builder.handshake(Tapped::new(stream, tap)).await else { return };
    let (orders, mut received) = mpsc::unbounded_channel();
    let mut pings = connection.ping_pong();
    let mut sender = Some(sender);
    let settled = Instant::now() + hub.patience;
    let mut allowed = None;
    loop {
        let turn = poll_fn(|cx| {
            if let Some(pings) = &mut pings {
                let _ = pings.poll_pong(cx); // any byte is a sign of life; this only takes it out of the way
            }
            let ended = std::pin::Pin::new(&mut connection).poll(cx).is_ready();
            let now_allowed = connection.max_concurrent_send_streams();
            let settled = watch.with(|lines| lines.settled);
            if ended || (settled && allowed != Some(now_allowed)) {
                Poll::Ready(ended)
            } else {
                Poll::Pending
            }
        });
        let up = ends.up;
        tokio::select! {
            biased;
            order = received.recv() => match order {
                Some(Order::Ping) => ping(&mut pings),
                Some(Order::Close) | None => return,
            },
            ended = turn => {
                if ended {
                    return;
                }
                // The peer's first SETTINGS, or new ones: from here on the channel takes as many as they say.
                let now_allowed = connection.max_concurrent_send_streams();
                allowed = Some(now_allowed);
                hub.with(|hub, state| {
                    if let Some(sender) = sender.take() {
                        let line = Line { sender, watch: watch.clone(), orders: orders.clone() };
                        state.lines.insert(id, line);
                        state.channels.connected(hub.now(), id, now_allowed);
                    } else {
                        state.channels.allowed(id, now_allowed);
                    }
                });
                ends.up = true;
                hub.changed.notify_waiters();
            }
            () = tokio::time::sleep_until(settled), if !up => return,
        }
    }
}

fn ping(pings: &mut Option<PingPong>) {
    if let Some(pings) = pings {
        let _ = pings.send_ping(Ping::opaque()); // one that is still out will do as well
    }
}

/// What has passed on a channel, by stream; and a word whenever it takes bytes again.
#[derive(Clone, Default)]
struct Watch(Arc<(Mutex<Lines>, Notify)>);

#[derive(Default)]
struct Lines {
    /// The peer's first SETTINGS have come.
    settled: bool,
    /// Its socket takes nothing at the moment: the node does not read.
    blocked: bool,
    /// The last stream that a GOAWAY leaves to the peer.
    last_stream: Option<u32>,
    streams: BTreeMap<u32, Progress>,
}

#[derive(Default)]
struct Progress {
    write_state: Arc<WriteState>,
    data: bool,
    ending: bool,
    whole: bool,
}

impl Watch {
    fn with<T>(&self, f: impl FnOnce(&mut Lines) -> T) -> T {
        let mut lines: MutexGuard<'_, Lines> = self.0.0.lock().unwrap_or_else(PoisonError::into_inner);
        f(&mut lines)
    }

    fn unblock(&self) {
        if self.with(|lines| std::mem::take(&mut lines.blocked)) {
            self.0.1.notify_waiters();
        }
    }

    /// Waits until the socket takes bytes. What is handed to h2 before that lies in its buffer: it would be
    /// written with a time that has passed since, and although its client has gone.
    async fn takes_bytes(&self) {
        loop {
            let mut wrote = std::pin::pin!(self.0.1.notified());
            wrote.as_mut().enable();
            if !self.with(|lines| lines.blocked) {
                return;
            }
            wrote.await;
        }
    }
}

/// A stream under watch; off again when it is dropped.
struct Watched {
    watch: Watch,
    stream: u32,
}

impl Watched {
    fn new(watch: &Watch, stream: u32, write_state: Arc<WriteState>) -> Watched {
        watch.with(|lines| lines.streams.insert(stream, Progress { write_state, ..Progress::default() }));
        Watched { watch: watch.clone(), stream }
    }

    fn progress<T>(&self, f: impl FnOnce(&Progress) -> T) -> Option<T> {
        self.watch.with(|lines| lines.streams.get(&self.stream).map(f))
    }

    /// The peer has said that it did not and will not look at it.
    fn above_goaway(&self) -> bool {
        self.watch.with(|lines| lines.last_stream.is_some_and(|last| self.stream > last))
    }
}

impl Drop for Watched {
    fn drop(&mut self) {
        self.watch.with(|lines| lines.streams.remove(&self.stream));
    }
}

struct ChannelTap {
    hub: Arc<Hub>,
    id: ChannelId,
    watch: Watch,
    inwards: Scanner,
    outwards: Scanner,
}

impl Tap for ChannelTap {
    fn read(&mut self, bytes: &[u8]) {
        if bytes.is_empty() {
            return;
        }
        let (mut leaves, id) = (None, self.id);
        let watch = &self.watch;
        self.inwards.pass(bytes, |seen| {
            let Seen::Whole(frame) = seen else { return };
            match frame.kind {
                Kind::Settings if !frame.is_ack() => watch.with(|lines| lines.settled = true),
                Kind::GoAway => {
                    leaves = frame.last_stream();
                    watch.with(|lines| lines.last_stream = leaves);
                }
                _ => {}
            }
        });
        let close = self.hub.with(|hub, state| {
            state.channels.heard(hub.now(), id);
            leaves.is_some() && state.channels.goaway(id)
        });
        if let Some(last) = leaves {
            event!(CHANNEL_LEAVES, channel = id, last);
            if close {
                // Its own task lets go of the line: this one is inside of h2.
                self.hub.order(id, Order::Close);
            }
            self.hub.changed.notify_waiters();
        }
    }

    fn wrote(&mut self, bytes: &[u8]) {
        self.watch.unblock();
        self.watch.with(|lines| {
            self.outwards.pass(bytes, |seen| match seen {
                Seen::Begins(frame) => {
                    if let Some(progress) = lines.streams.get_mut(&frame.stream) {
                        progress.write_state.mark_started();
                    }
                }
                Seen::Whole(frame) => {
                    if let Some(progress) = lines.streams.get_mut(&frame.stream) {
                        progress.data |= frame.kind == Kind::Data;
                        progress.ending |= frame.ends_stream();
                        // HEADERS that end a stream may go on in CONTINUATIONs.
                        progress.whole |=
                            progress.ending && (frame.kind == Kind::Data || frame.ends_headers());
                        if progress.whole {
                            progress.write_state.mark_complete();
                        }
                    }
                }
            });
        });
    }

    fn blocked(&mut self) {
        self.watch.with(|lines| lines.blocked = true);
    }
}

/// A call on its way to a node.
pub struct CallWork {
    pub nodes: Nodes,
    pub call: Arc<Call>,
}

impl AttemptSource for CallWork {
    fn attempt(&self, context: AttemptContext) -> Attempt {
        Box::pin(self.nodes.clone().attempt(self.call.clone(), context))
    }

    fn client_left(&self) -> bool {
        self.call.left.is_cancelled() || self.call.client.has_left()
    }
}

fn request(call: &Call, context: &AttemptContext) -> Option<Request<()>> {
    let mut uri = call.uri.clone().into_parts();
    uri.scheme = Some(hyper::http::uri::Scheme::HTTP);
    if uri.authority.is_none() {
        uri.authority = Some(context.address.parse().ok()?);
    }
    let mut request = Request::new(());
    *request.method_mut() = Method::POST;
    *request.uri_mut() = Uri::from_parts(uri).ok()?;
    let left = context.answer_by.saturating_duration_since(Instant::now());
    let mut metadata = passed_on(&call.metadata, &[TIMEOUT, PREVIOUS]);
    metadata.insert("te", HeaderValue::from_static("trailers"));
    metadata.insert(TIMEOUT, HeaderValue::try_from(timeout::format(left)).ok()?);
    let before = call.metadata.get(PREVIOUS).and_then(|value| value.to_str().ok()?.parse::<u32>().ok());
    let previous = before.unwrap_or(0).saturating_add(context.binder.attempt());
    if previous > 0 {
        metadata.insert(PREVIOUS, HeaderValue::from(previous));
    }
    *request.headers_mut() = metadata;
    Some(request)
}

async fn exchange(lease: Lease, call: &Call, context: &AttemptContext) -> Report {
    let Ok(mut sender) = lease.sender.clone().ready().await else { return AttemptEnd::BrokeUnsent.into() };
    if lease.watch.with(|lines| lines.blocked) {
        let _blocked = Blocked::new(&lease);
        lease.watch.takes_bytes().await;
    }
    if !context.write_state.may_start_writing() {
        return AttemptEnd::Unsent.into();
    }
    let Some(request) = request(call, context) else { return AttemptEnd::NotStarted.into() };
    let Ok((response, upwards)) = sender.send_request(request, false) else {
        return AttemptEnd::BrokeUnsent.into();
    };
    let watched = Watched::new(&lease.watch, response.stream_id().as_u32(), context.write_state.clone());
    let mut answer =
        Answer { call, binder: &context.binder, watched: &watched, ours: false, write_state: false };
    let report = tokio::select! {
        biased;
        report = answer.read(response) => report,
        end = send(call, &context.binder, &lease, upwards) => end.into(),
    };
    // The module must not send again what the client has some of, whatever the end would say otherwise.
    match report.end {
        AttemptEnd::TurnedAway | AttemptEnd::NoConnection | AttemptEnd::BrokeUnsent if answer.write_state => {
            Report { end: AttemptEnd::Broke, ..report }
        }
        _ => report,
    }
}

/// Sends the request as it comes. Returns only where the attempt cannot go on; how it ended otherwise is for
/// the node's side to tell.
async fn send(
    call: &Call,
    binder: &AnswerBinder,
    lease: &Lease,
    mut upwards: SendStream<Bytes>,
) -> AttemptEnd {
    let (attempt, mut sent) = (binder.attempt(), 0);
    loop {
        match call.next(attempt, sent).await {
            Next::Piece(piece) => {
                let last = call.whole_with(attempt, sent + 1);
                if !push(lease, &mut upwards, piece, last).await {
                    return pending().await;
                }
                sent += 1;
                call.sent(attempt, sent);
                if last {
                    return keep(upwards).await;
                }
            }
            Next::End(Over::Whole) => {
                let _ = upwards.send_data(Bytes::new(), true); // a broken stream is told by its answer
                return keep(upwards).await;
            }
            Next::Bind => {
                if !binder.bind().await {
                    return AttemptEnd::CalledOff;
                }
                call.bind(attempt, sent);
            }
            Next::End(Over::Cut) => return AttemptEnd::CalledOff,
            // Another attempt has the call, and what this one would begin with is gone.
            Next::Lost => return AttemptEnd::NotStarted,
            Next::Wait => {}
        }
    }
}

async fn keep(_upwards: SendStream<Bytes>) -> AttemptEnd {
    pending().await
}

/// Notes a stream that has to wait until its peer has read, for as long as it does.
struct Blocked<'a>(&'a Lease);

impl<'a> Blocked<'a> {
    fn new(lease: &'a Lease) -> Blocked<'a> {
        lease.hub.with(|hub, state| state.channels.blocked(hub.now(), lease.id));
        Blocked(lease)
    }
}

impl Drop for Blocked<'_> {
    fn drop(&mut self) {
        self.0.hub.with(|_, state| state.channels.unblocked(self.0.id));
    }
}

/// False: the stream takes nothing any more.
async fn push(lease: &Lease, upwards: &mut SendStream<Bytes>, mut piece: Bytes, last: bool) -> bool {
    while !piece.is_empty() {
        upwards.reserve_capacity(piece.len());
        let mut room = upwards.capacity();
        if room == 0 {
            let _blocked = Blocked::new(lease);
            room = match poll_fn(|cx| upwards.poll_capacity(cx)).await {
                Some(Ok(room)) => room,
                _ => return false,
            };
        }
        let part = piece.split_to(room.min(piece.len()));
        if upwards.send_data(part, last && piece.is_empty()).is_err() {
            return false;
        }
    }
    true
}

/// A node's answer as it comes.
struct Answer<'a> {
    call: &'a Call,
    binder: &'a AnswerBinder,
    watched: &'a Watched,
    /// The call is bound to this attempt, and some of the answer has gone to the client.
    ours: bool,
    write_state: bool,
}

/// Why an answer does not go on.
enum Stop {
    End(AttemptEnd),
    Broken(h2::Error),
}

impl From<AttemptEnd> for Stop {
    fn from(end: AttemptEnd) -> Stop {
        Stop::End(end)
    }
}

impl From<h2::Error> for Stop {
    fn from(error: h2::Error) -> Stop {
        Stop::Broken(error)
    }
}

impl Answer<'_> {
    async fn read(&mut self, response: ResponseFuture) -> Report {
        let (mut loads, mut meter) = (Load::default(), None);
        let mut note = |metadata: &HeaderMap| {
            if let Some(queue) = load(metadata).queue {
                loads.queue = Some(queue);
            }
            meter = used(metadata).or(meter);
        };
        let end = match self.pass(response, &mut note).await {
            Ok(end) | Err(Stop::End(end)) => end,
            Err(Stop::Broken(error)) => self.end(&error),
        };
        Report { end, body: Bytes::new(), load: loads, used: meter }
    }

    async fn pass(
        &mut self,
        response: ResponseFuture,
        note: &mut impl FnMut(&HeaderMap),
    ) -> Result<AttemptEnd, Stop> {
        let (head, mut body) = response.await?.into_parts();
        note(&head.headers);
        if head.status != StatusCode::OK {
            let unseen = head.status == StatusCode::SERVICE_UNAVAILABLE && not_processed(&head.headers);
            return Ok(if unseen { AttemptEnd::TurnedAway } else { AttemptEnd::ErrorAnswer });
        }
        // Trailers-only: the first metadata are the last.
        if body.is_end_stream() {
            return self.finish(None, head.headers).await;
        }
        let mut headers = Some(head.headers);
        if self.call.route.early {
            self.begin(&mut headers).await?;
        }
        while let Some(piece) = body.data().await {
            let piece = piece?;
            let length = piece.len();
            if length > 0 {
                self.begin(&mut headers).await?;
                self.tell(Down::Data(piece)).await?;
            }
            // Only now may the node send as much again: its pace is the client's.
            let _ = body.flow_control().release_capacity(length);
        }
        let trailers = body.trailers().await?.ok_or(AttemptEnd::BadAnswer)?;
        note(&trailers);
        self.finish(headers, trailers).await
    }

    /// From here on the call goes nowhere else.
    async fn begin(&mut self, headers: &mut Option<HeaderMap>) -> Result<(), Stop> {
        if !self.ours {
            if !self.binder.bind().await {
                return Err(AttemptEnd::CalledOff.into());
            }
            self.ours = true;
        }
        if let Some(headers) = headers.take() {
            self.write_state = true;
            self.tell(Down::Headers(passed_on(&headers, &FOR_THE_HEAD))).await?;
        }
        Ok(())
    }

    /// Waits until the client's task has room for it.
    async fn tell(&self, down: Down) -> Result<(), Stop> {
        self.call.down.send(down).await.map_err(|_| AttemptEnd::CalledOff.into())
    }

    async fn finish(&mut self, headers: Option<HeaderMap>, trailers: HeaderMap) -> Result<AttemptEnd, Stop> {
        let mut statuses = trailers.get_all(STATUS).iter();
        let code = match (statuses.next(), statuses.next()) {
            (Some(code), None) => status::read(Some(code.as_bytes())),
            _ => None,
        };
        let end = status::attempt(code, not_processed(&trailers));
        if end == AttemptEnd::Answered {
            let mut headers = headers;
            self.begin(&mut headers).await?;
            self.tell(Down::Trailers(passed_on(&trailers, &FOR_THE_HEAD))).await?;
        } else if self.write_state && code.is_some() {
            // The client has some of the answer: the node's own word on how it ended is the best there is.
            let mut last = passed_on(&trailers, &FOR_THE_HEAD);
            last.insert(PUSHBACK, HeaderValue::from_static("-1"));
            self.tell(Down::Trailers(last)).await?;
        } else {
            self.call.note_status(code);
        }
        Ok(end)
    }

    /// What came of a stream that broke off.
    fn end(&self, error: &h2::Error) -> AttemptEnd {
        let whole = self.watched.progress(|progress| progress.whole).unwrap_or(true);
        let data = self.watched.progress(|progress| progress.data).unwrap_or(true);
        debug!(stream = self.watched.stream, whole; "a stream broke: {error}");
        if error.is_reset() && error.is_remote() {
            return match error.reason() {
                Some(Reason::REFUSED_STREAM) => AttemptEnd::TurnedAway,
                _ => AttemptEnd::ErrorAnswer,
            };
        }
        if self.watched.above_goaway() {
            return AttemptEnd::TurnedAway;
        }
        // What a node may begin with before it is whole may have run with its first piece.
        let may_have_begun = whole || self.call.route.streams && data;
        if !may_have_begun {
            return AttemptEnd::BrokeUnsent;
        }
        if error.is_io() || error.is_go_away() { AttemptEnd::Broke } else { AttemptEnd::BadAnswer }
    }
}

fn not_processed(metadata: &HeaderMap) -> bool {
    metadata.get(HeaderName::from_static(NOT_PROCESSED)).is_some_and(|value| value == "1")
}
