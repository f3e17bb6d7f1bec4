//! Connections from the gRPC front to nodes. A channel is one HTTP/2 connection with many streams, and an
//! attempt is one stream. An observer follows the frames that a channel writes, so that an attempt knows
//! whether the last frame of its request was written. Dropping an attempt drops its stream, which makes h2
//! reset the stream at the node.

use super::call::{Call, ResponsePart};
use super::observed_io::{IoObserver, ObservedIo};
use super::{NODE_TO_PROXY, PREVIOUS_ATTEMPTS, PUSHBACK, STATUS, TIMEOUT, forwarded};
use crate::attempt_end::AttemptEnd;
use crate::config::grpc::GrpcFront;
use crate::core::{AnswerBinder, Attempt, AttemptContext, AttemptSource, Report, WriteState};
use crate::event;
use crate::grpc::channels::{ChannelAction, ChannelId, Channels, Grant};
use crate::grpc::frames::{FrameEvent, FrameKind, PREFACE_BYTES, Scanner};
use crate::grpc::messages::{MessageBoundaries, MessageError};
use crate::grpc::{status, timeout};
use crate::interface::{Load, Micros};
use crate::net::back::{NOT_PROCESSED, load, used};
use crate::replay_buffer::{BodyEnd, Next};
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

/// How often idle, silent and stalled channels are looked for.
const CHANNEL_CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// The channels to all nodes; clones share them.
#[derive(Clone)]
pub struct NodeChannels {
    pool: Arc<ChannelPool>,
}

struct ChannelPool {
    start: Instant,
    state: Mutex<State>,
    /// Wakes the calls that wait for a stream, since one may be available now.
    changed: Notify,
    connect_timeout: Duration,
    /// How long a node may take to send its first SETTINGS frame: the limits' `ping_timeout`.
    settings_timeout: Duration,
    /// The port of all nodes; `None`: the port that discovery gives.
    node_port: Option<u16>,
    /// The receive window of one stream, in bytes.
    stream_window: u32,
    /// The most bytes of metadata in a response.
    header_bytes: u32,
    /// Channels opened so far.
    opened: AtomicU64,
    /// Attempts begun so far.
    attempts: AtomicU64,
}

struct State {
    channels: Channels<SocketAddr>,
    established: BTreeMap<ChannelId, EstablishedChannel>,
}

/// An established channel: opens streams, and passes commands to the channel's task.
struct EstablishedChannel {
    sender: SendRequest<Bytes>,
    progress: ChannelProgress,
    commands: mpsc::UnboundedSender<ChannelCommand>,
}

/// A command to the task of a channel.
#[derive(Clone, Copy, Debug, PartialEq)]
enum ChannelCommand {
    Ping,
    Close,
}

/// The right to open one stream on a channel; returned to the channel when dropped.
struct StreamPermit {
    pool: Arc<ChannelPool>,
    id: ChannelId,
    sender: SendRequest<Bytes>,
    progress: ChannelProgress,
}

impl Drop for StreamPermit {
    fn drop(&mut self) {
        let closes = self.pool.with(|pool, state| state.channels.release_stream(pool.now(), self.id));
        if closes {
            self.pool.close(self.id);
        }
        self.pool.changed.notify_waiters();
    }
}

impl NodeChannels {
    /// Creates a pool without channels; `connect_timeout` limits each TCP connect.
    pub fn new(front: &GrpcFront, connect_timeout: Duration) -> NodeChannels {
        let limits = front.channels;
        NodeChannels {
            pool: Arc::new(ChannelPool {
                start: Instant::now(),
                state: Mutex::new(State { channels: Channels::new(limits), established: BTreeMap::new() }),
                changed: Notify::new(),
                connect_timeout,
                settings_timeout: Duration::from_micros(limits.ping_timeout),
                node_port: front.node_port,
                stream_window: front.node_window,
                header_bytes: front.header_bytes as u32,
                opened: AtomicU64::new(0),
                attempts: AtomicU64::new(0),
            }),
        }
    }

    /// Returns the numbers of channels opened and of attempts begun so far.
    pub fn channel_and_attempt_counts(&self) -> (u64, u64) {
        (self.pool.opened.load(Ordering::Relaxed), self.pool.attempts.load(Ordering::Relaxed))
    }

    /// Pings silent channels and closes idle or dead ones at a regular interval. Never returns.
    pub async fn maintain_channels(self) {
        loop {
            tokio::time::sleep(CHANNEL_CHECK_INTERVAL).await;
            for action in self.pool.with(|pool, state| state.channels.tick(pool.now())) {
                match action {
                    ChannelAction::Ping(id) => self.pool.command(id, ChannelCommand::Ping),
                    ChannelAction::Stalled(id) => event!(CHANNEL_STALLED, channel = id),
                    ChannelAction::Close(id) | ChannelAction::Break(id) => {
                        debug!(channel = id; "closing a channel to a node: {action:?}");
                        self.pool.close(id);
                    }
                }
            }
        }
    }

    async fn attempt(self, call: Arc<Call>, context: AttemptContext) -> Report {
        self.pool.attempts.fetch_add(1, Ordering::Relaxed);
        let Ok(mut address) = context.address.parse::<SocketAddr>() else {
            return AttemptEnd::NotStarted.into();
        };
        if let Some(port) = self.pool.node_port {
            address.set_port(port);
        }
        let report = async {
            let permit = match self.pool.acquire(address).await {
                Ok(permit) => permit,
                Err(end) => return end.into(),
            };
            let first = exchange(permit, &call, &context).await;
            if first.end != AttemptEnd::BrokeUnsent || context.write_state.has_started() {
                return first;
            }
            // The channel broke before a byte of the request was written, which does not count as an attempt:
            // the request goes to another channel, once.
            match self.pool.acquire(address).await {
                Ok(permit) => exchange(permit, &call, &context).await,
                Err(end) => end.into(),
            }
        };
        tokio::select! {
            biased;
            // Dropping the future drops its stream, so that h2 resets the stream at the node at once.
            () = call.cancelled.cancelled() => AttemptEnd::CalledOff.into(),
            report = report => report,
        }
    }
}

impl ChannelPool {
    fn with<T>(&self, f: impl FnOnce(&ChannelPool, &mut State) -> T) -> T {
        f(self, &mut self.state.lock().unwrap_or_else(PoisonError::into_inner))
    }

    fn now(&self) -> Micros {
        crate::clock::micros(self.start.elapsed())
    }

    fn command(&self, id: ChannelId, command: ChannelCommand) {
        self.with(|_, state| {
            if let Some(channel) = state.established.get(&id) {
                let _ = channel.commands.send(command); // fails if the channel's task has already ended
            }
        });
    }

    fn close(&self, id: ChannelId) {
        self.command(id, ChannelCommand::Close);
        self.with(|_, state| state.established.remove(&id));
    }

    /// Waits for a stream to the node, and opens a channel where one is needed.
    async fn acquire(self: &Arc<ChannelPool>, address: SocketAddr) -> Result<StreamPermit, AttemptEnd> {
        loop {
            let mut changed = std::pin::pin!(self.changed.notified());
            changed.as_mut().enable();
            match self.with(|pool, state| state.channels.request_stream(pool.now(), &address)) {
                Grant::Use(id) => {
                    let established = self.with(|_, state| {
                        let channel = state.established.get(&id)?;
                        Some((channel.sender.clone(), channel.progress.clone()))
                    });
                    // The channel has broken since it was granted.
                    let Some((sender, progress)) = established else {
                        return Err(AttemptEnd::NoConnection);
                    };
                    return Ok(StreamPermit { pool: self.clone(), id, sender, progress });
                }
                Grant::Open { id, close } => {
                    close.into_iter().for_each(|id| self.close(id));
                    tokio::spawn(run_channel(self.clone(), id, address));
                }
                Grant::Wait => changed.await,
                Grant::Refuse => return Err(AttemptEnd::NoConnection),
            }
        }
    }
}

/// Removes a channel from the pool when its task ends, also by a panic.
struct ChannelCleanup {
    pool: Arc<ChannelPool>,
    id: ChannelId,
    established: bool,
    progress: ChannelProgress,
}

impl Drop for ChannelCleanup {
    fn drop(&mut self) {
        // Attempts that wait until the channel is writable stop waiting.
        self.progress.mark_writable();
        self.pool.with(|pool, state| {
            if self.established {
                state.channels.connection_lost(self.id);
            } else {
                state.channels.connect_failed(pool.now(), self.id);
            }
            state.established.remove(&self.id);
        });
        self.pool.changed.notify_waiters();
    }
}

/// Opens a channel and runs it until it closes.
async fn run_channel(pool: Arc<ChannelPool>, id: ChannelId, address: SocketAddr) {
    let progress = ChannelProgress::default();
    let mut cleanup =
        ChannelCleanup { pool: pool.clone(), id, established: false, progress: progress.clone() };
    let Ok(Ok(stream)) = tokio::time::timeout(pool.connect_timeout, TcpStream::connect(address)).await else {
        return debug!(address:%; "connecting to a node failed or timed out");
    };
    pool.opened.fetch_add(1, Ordering::Relaxed);
    let _ = stream.set_nodelay(true); // affects latency only
    let observer = ChannelObserver {
        pool: pool.clone(),
        id,
        progress: progress.clone(),
        inbound: Scanner::new(0),
        outbound: Scanner::new(PREFACE_BYTES),
    };
    let mut builder = h2::client::Builder::new();
    let streams = pool.with(|_, state| state.channels.limits().max_streams) as u32;
    builder
        .enable_push(false)
        .initial_window_size(pool.stream_window)
        .initial_connection_window_size(pool.stream_window.saturating_mul(streams).max(u32::from(u16::MAX)))
        .max_header_list_size(pool.header_bytes)
        .max_send_buffer_size(pool.stream_window as usize);
    let Ok((sender, mut connection)) = builder.handshake(ObservedIo::new(stream, observer)).await else {
        return;
    };
    let (commands, mut received) = mpsc::unbounded_channel();
    let mut pings = connection.ping_pong();
    let mut sender = Some(sender);
    let settings_by = Instant::now() + pool.settings_timeout;
    let mut max_streams = None;
    loop {
        let turn = poll_fn(|cx| {
            if let Some(pings) = &mut pings {
                let _ = pings.poll_pong(cx); // only takes the PONG: any byte shows that the node is alive
            }
            let ended = std::pin::Pin::new(&mut connection).poll(cx).is_ready();
            let current = connection.max_concurrent_send_streams();
            let has_settings = progress.with(|progress| progress.has_settings);
            if ended || (has_settings && max_streams != Some(current)) {
                Poll::Ready(ended)
            } else {
                Poll::Pending
            }
        });
        let established = cleanup.established;
        tokio::select! {
            biased;
            command = received.recv() => match command {
                Some(ChannelCommand::Ping) => ping(&mut pings),
                Some(ChannelCommand::Close) | None => return,
            },
            ended = turn => {
                if ended {
                    return;
                }
                // The node's SETTINGS frame, the first or a later one, sets how many streams the channel
                // takes.
                let current = connection.max_concurrent_send_streams();
                max_streams = Some(current);
                pool.with(|pool, state| {
                    if let Some(sender) = sender.take() {
                        let progress = progress.clone();
                        let channel = EstablishedChannel { sender, progress, commands: commands.clone() };
                        state.established.insert(id, channel);
                        state.channels.connected(pool.now(), id, current);
                    } else {
                        state.channels.set_max_streams(id, current);
                    }
                });
                cleanup.established = true;
                pool.changed.notify_waiters();
            }
            () = tokio::time::sleep_until(settings_by), if !established => return,
        }
    }
}

fn ping(pings: &mut Option<PingPong>) {
    if let Some(pings) = pings {
        let _ = pings.send_ping(Ping::opaque()); // fails while an earlier PING is unanswered
    }
}

/// What a channel has sent and received, by stream. The `Notify` wakes tasks when the socket is writable
/// again.
#[derive(Clone, Default)]
struct ChannelProgress(Arc<(Mutex<Progress>, Notify)>);

#[derive(Default)]
struct Progress {
    /// The node's first SETTINGS frame has arrived.
    has_settings: bool,
    /// The socket accepts no bytes at the moment: the node does not read.
    write_blocked: bool,
    /// The last stream that the node may still process, from its GOAWAY frame.
    last_stream: Option<u32>,
    streams: BTreeMap<u32, StreamProgress>,
}

/// What has been written of the request on one stream.
#[derive(Default)]
struct StreamProgress {
    write_state: Arc<WriteState>,
    /// A DATA frame was written.
    data: bool,
    /// A frame with END_STREAM was written.
    end_stream: bool,
    /// The request's last frame was written.
    complete: bool,
}

impl ChannelProgress {
    fn with<T>(&self, f: impl FnOnce(&mut Progress) -> T) -> T {
        let mut progress: MutexGuard<'_, Progress> = self.0.0.lock().unwrap_or_else(PoisonError::into_inner);
        f(&mut progress)
    }

    fn mark_writable(&self) {
        if self.with(|progress| std::mem::take(&mut progress.write_blocked)) {
            self.0.1.notify_waiters();
        }
    }

    /// Waits until the socket accepts bytes. A request that h2 gets earlier stays in its buffer, and is
    /// written later with a `grpc-timeout` that is out of date, even if its client has left.
    async fn writable(&self) {
        loop {
            let mut writable = std::pin::pin!(self.0.1.notified());
            writable.as_mut().enable();
            if !self.with(|progress| progress.write_blocked) {
                return;
            }
            writable.await;
        }
    }
}

/// Tracks what is written on one stream until it is dropped.
struct TrackedStream {
    channel: ChannelProgress,
    stream: u32,
}

impl TrackedStream {
    fn new(channel: &ChannelProgress, stream: u32, write_state: Arc<WriteState>) -> TrackedStream {
        let tracked = StreamProgress { write_state, ..StreamProgress::default() };
        channel.with(|progress| progress.streams.insert(stream, tracked));
        TrackedStream { channel: channel.clone(), stream }
    }

    fn progress<T>(&self, f: impl FnOnce(&StreamProgress) -> T) -> Option<T> {
        self.channel.with(|progress| progress.streams.get(&self.stream).map(f))
    }

    /// Returns whether the node's GOAWAY frame says that the node has not processed and will not process this
    /// stream.
    fn above_goaway(&self) -> bool {
        self.channel.with(|progress| progress.last_stream.is_some_and(|last| self.stream > last))
    }
}

impl Drop for TrackedStream {
    fn drop(&mut self) {
        self.channel.with(|progress| progress.streams.remove(&self.stream));
    }
}

/// Follows the frames on a channel, in both directions.
struct ChannelObserver {
    pool: Arc<ChannelPool>,
    id: ChannelId,
    progress: ChannelProgress,
    inbound: Scanner,
    outbound: Scanner,
}

impl IoObserver for ChannelObserver {
    fn on_read(&mut self, bytes: &[u8]) {
        if bytes.is_empty() {
            return;
        }
        let (mut goaway, id) = (None, self.id);
        let progress = &self.progress;
        self.inbound.scan(bytes, |event| {
            let FrameEvent::Complete(frame) = event else { return };
            match frame.kind {
                FrameKind::Settings if !frame.is_ack() => {
                    progress.with(|progress| progress.has_settings = true)
                }
                FrameKind::GoAway => {
                    goaway = frame.last_stream();
                    progress.with(|progress| progress.last_stream = goaway);
                }
                _ => {}
            }
        });
        let close = self.pool.with(|pool, state| {
            state.channels.bytes_received(pool.now(), id);
            goaway.is_some() && state.channels.goaway_received(id)
        });
        if let Some(last) = goaway {
            event!(CHANNEL_LEAVES, channel = id, last);
            if close {
                // This runs inside of h2; the channel's task closes the connection.
                self.pool.command(id, ChannelCommand::Close);
            }
            self.pool.changed.notify_waiters();
        }
    }

    fn on_written(&mut self, bytes: &[u8]) {
        self.progress.mark_writable();
        self.progress.with(|progress| {
            self.outbound.scan(bytes, |event| match event {
                FrameEvent::Started(frame) => {
                    if let Some(stream) = progress.streams.get_mut(&frame.stream) {
                        stream.write_state.mark_started();
                    }
                }
                FrameEvent::Complete(frame) => {
                    if let Some(stream) = progress.streams.get_mut(&frame.stream) {
                        stream.data |= frame.kind == FrameKind::Data;
                        stream.end_stream |= frame.ends_stream();
                        // CONTINUATION frames may follow a HEADERS frame with END_STREAM.
                        stream.complete |=
                            stream.end_stream && (frame.kind == FrameKind::Data || frame.ends_headers());
                        if stream.complete {
                            stream.write_state.mark_complete();
                        }
                    }
                }
            });
        });
    }

    fn on_write_blocked(&mut self) {
        self.progress.with(|progress| progress.write_blocked = true);
    }
}

/// A source of attempts for one call.
pub struct CallWork {
    /// The channels that attempts use.
    pub nodes: NodeChannels,
    /// The call that attempts send.
    pub call: Arc<Call>,
}

impl AttemptSource for CallWork {
    fn attempt(&self, context: AttemptContext) -> Attempt {
        Box::pin(self.nodes.clone().attempt(self.call.clone(), context))
    }

    fn client_left(&self) -> bool {
        self.call.cancelled.is_cancelled() || self.call.client.has_left()
    }
}

/// Builds the head of an attempt's request. `None`: the URI or address is unfit for one.
fn build_request(call: &Call, context: &AttemptContext) -> Option<Request<()>> {
    let mut uri = call.uri.clone().into_parts();
    uri.scheme = Some(hyper::http::uri::Scheme::HTTP);
    if uri.authority.is_none() {
        uri.authority = Some(context.address.parse().ok()?);
    }
    let mut request = Request::new(());
    *request.method_mut() = Method::POST;
    *request.uri_mut() = Uri::from_parts(uri).ok()?;
    let remaining = context.answer_by.saturating_duration_since(Instant::now());
    let mut metadata = forwarded(&call.metadata, &[TIMEOUT, PREVIOUS_ATTEMPTS]);
    metadata.insert("te", HeaderValue::from_static("trailers"));
    metadata.insert(TIMEOUT, HeaderValue::try_from(timeout::format(remaining)).ok()?);
    let earlier =
        call.metadata.get(PREVIOUS_ATTEMPTS).and_then(|value| value.to_str().ok()?.parse::<u32>().ok());
    let previous = earlier.unwrap_or(0).saturating_add(context.binder.attempt());
    if previous > 0 {
        metadata.insert(PREVIOUS_ATTEMPTS, HeaderValue::from(previous));
    }
    *request.headers_mut() = metadata;
    Some(request)
}

/// Sends the request on one stream and reads the response.
async fn exchange(permit: StreamPermit, call: &Call, context: &AttemptContext) -> Report {
    let Ok(mut sender) = permit.sender.clone().ready().await else { return AttemptEnd::BrokeUnsent.into() };
    if permit.progress.with(|progress| progress.write_blocked) {
        let _blocked = BlockedStream::new(&permit);
        permit.progress.writable().await;
    }
    if !context.write_state.may_start_writing() {
        return AttemptEnd::Unsent.into();
    }
    let Some(request) = build_request(call, context) else { return AttemptEnd::NotStarted.into() };
    let Ok((response, request_body)) = sender.send_request(request, false) else {
        return AttemptEnd::BrokeUnsent.into();
    };
    let tracked =
        TrackedStream::new(&permit.progress, response.stream_id().as_u32(), context.write_state.clone());
    let mut reader =
        ResponseReader { call, binder: &context.binder, tracked: &tracked, bound: false, forwarded: false };
    let report = tokio::select! {
        biased;
        report = reader.read(response) => report,
        end = send_body(call, &context.binder, &permit, request_body) => end.into(),
    };
    // Once the client has received a part of the response, the module must not retry the call, whatever the
    // end would allow.
    match report.end {
        AttemptEnd::TurnedAway | AttemptEnd::NoConnection | AttemptEnd::BrokeUnsent if reader.forwarded => {
            Report { end: AttemptEnd::Broke, ..report }
        }
        _ => report,
    }
}

/// Sends the request's body as it arrives from the client. Returns only if the attempt cannot go on; in all
/// other cases the node's response tells how the attempt ended.
async fn send_body(
    call: &Call,
    binder: &AnswerBinder,
    permit: &StreamPermit,
    mut request_body: SendStream<Bytes>,
) -> AttemptEnd {
    let (attempt, mut sent) = (binder.attempt(), 0);
    loop {
        match call.next(attempt, sent).await {
            Next::Piece(piece) => {
                let last = call.complete_with(attempt, sent + 1);
                if !send_piece(permit, &mut request_body, piece, last).await {
                    return pending().await;
                }
                sent += 1;
                call.sent(attempt, sent);
                if last {
                    return hold_open(request_body).await;
                }
            }
            Next::End(BodyEnd::Complete) => {
                let _ = request_body.send_data(Bytes::new(), true); // the response tells of a broken stream
                return hold_open(request_body).await;
            }
            Next::Bind => {
                if !binder.bind().await {
                    return AttemptEnd::CalledOff;
                }
                call.bind(attempt, sent);
            }
            Next::End(BodyEnd::Reset) => return AttemptEnd::CalledOff,
            // The call is bound to another attempt, and the pieces that this attempt would send first were
            // dropped.
            Next::Lost => return AttemptEnd::NotStarted,
            Next::Wait => {}
        }
    }
}

/// Keeps the stream until the attempt ends: h2 resets a stream that is dropped.
async fn hold_open(_request_body: SendStream<Bytes>) -> AttemptEnd {
    pending().await
}

/// Counts a stream as blocked until it is dropped: the stream waits for the node to read.
struct BlockedStream<'a>(&'a StreamPermit);

impl<'a> BlockedStream<'a> {
    fn new(permit: &'a StreamPermit) -> BlockedStream<'a> {
        permit.pool.with(|pool, state| state.channels.stream_blocked(pool.now(), permit.id));
        BlockedStream(permit)
    }
}

impl Drop for BlockedStream<'_> {
    fn drop(&mut self) {
        self.0.pool.with(|_, state| state.channels.stream_unblocked(self.0.id));
    }
}

/// Sends one piece of the body; `last` ends the stream with it. Returns false if the stream is closed.
async fn send_piece(
    permit: &StreamPermit,
    request_body: &mut SendStream<Bytes>,
    mut piece: Bytes,
    last: bool,
) -> bool {
    while !piece.is_empty() {
        request_body.reserve_capacity(piece.len());
        let mut capacity = request_body.capacity();
        if capacity == 0 {
            let _blocked = BlockedStream::new(permit);
            capacity = match poll_fn(|cx| request_body.poll_capacity(cx)).await {
                Some(Ok(capacity)) => capacity,
                _ => return false,
            };
        }
        let part = piece.split_to(capacity.min(piece.len()));
        if request_body.send_data(part, last && piece.is_empty()).is_err() {
            return false;
        }
    }
    true
}

/// Reads a node's response and forwards it to the call's task.
struct ResponseReader<'a> {
    call: &'a Call,
    binder: &'a AnswerBinder,
    tracked: &'a TrackedStream,
    /// The call is bound to this attempt: no other may answer it.
    bound: bool,
    /// A part of the response was forwarded to the client.
    forwarded: bool,
}

/// Why reading a response stopped.
enum ReadError {
    /// The attempt has ended in this way.
    Ended(AttemptEnd),
    /// The stream or its channel failed.
    Broken(h2::Error),
}

impl From<AttemptEnd> for ReadError {
    fn from(end: AttemptEnd) -> ReadError {
        ReadError::Ended(end)
    }
}

impl From<MessageError> for ReadError {
    fn from(error: MessageError) -> ReadError {
        debug!("a node's response is no sequence of messages: {error}");
        ReadError::Ended(AttemptEnd::BadAnswer)
    }
}

impl From<h2::Error> for ReadError {
    fn from(error: h2::Error) -> ReadError {
        ReadError::Broken(error)
    }
}

impl ResponseReader<'_> {
    /// Reads the response to its end and reports how the attempt ended.
    async fn read(&mut self, response: ResponseFuture) -> Report {
        let (mut node_load, mut usage) = (Load::default(), None);
        let mut read_metadata = |metadata: &HeaderMap| {
            if let Some(queue) = load(metadata).queue {
                node_load.queue = Some(queue);
            }
            usage = used(metadata).or(usage);
        };
        let end = match self.forward(response, &mut read_metadata).await {
            Ok(end) | Err(ReadError::Ended(end)) => end,
            Err(ReadError::Broken(error)) => self.end_of_broken_stream(&error),
        };
        Report { end, body: Bytes::new(), load: node_load, used: usage }
    }

    async fn forward(
        &mut self,
        response: ResponseFuture,
        read_metadata: &mut impl FnMut(&HeaderMap),
    ) -> Result<AttemptEnd, ReadError> {
        let (head, mut body) = response.await?.into_parts();
        read_metadata(&head.headers);
        if head.status != StatusCode::OK {
            let turned_away = head.status == StatusCode::SERVICE_UNAVAILABLE && not_processed(&head.headers);
            return Ok(if turned_away { AttemptEnd::TurnedAway } else { AttemptEnd::ErrorAnswer });
        }
        // A Trailers-Only response: the headers hold the trailers.
        if body.is_end_stream() {
            return self.finish(None, head.headers, Ok(())).await;
        }
        let mut headers = Some(head.headers);
        if self.call.route.early_headers {
            self.send_headers(&mut headers).await?;
        }
        let mut messages = MessageBoundaries::default();
        while let Some(piece) = body.data().await {
            let piece = piece?;
            let length = piece.len();
            messages.scan(&piece)?;
            if length > 0 {
                self.send_headers(&mut headers).await?;
                self.send(ResponsePart::Data(piece)).await?;
            }
            // Only now may the node send as many bytes again, so that it sends no faster than the client
            // reads.
            let _ = body.flow_control().release_capacity(length);
        }
        let trailers = body.trailers().await?.ok_or(AttemptEnd::BadAnswer)?;
        read_metadata(&trailers);
        self.finish(headers, trailers, messages.finish()).await
    }

    /// Binds the call to this attempt, so that it is not retried elsewhere, and forwards the headers, each
    /// once.
    async fn send_headers(&mut self, headers: &mut Option<HeaderMap>) -> Result<(), ReadError> {
        if !self.bound {
            if !self.binder.bind().await {
                return Err(AttemptEnd::CalledOff.into());
            }
            self.bound = true;
        }
        if let Some(headers) = headers.take() {
            self.forwarded = true;
            self.send(ResponsePart::Headers(forwarded(&headers, &NODE_TO_PROXY))).await?;
        }
        Ok(())
    }

    /// Waits until the call's task has room for the part.
    async fn send(&self, part: ResponsePart) -> Result<(), ReadError> {
        self.call.response.send(part).await.map_err(|_| AttemptEnd::CalledOff.into())
    }

    /// Ends the response: forwards its trailers, or records the status of a failure that may be retried.
    /// `messages`: whether the response ends after a whole message, without which it must not look complete.
    async fn finish(
        &mut self,
        headers: Option<HeaderMap>,
        trailers: HeaderMap,
        messages: Result<(), MessageError>,
    ) -> Result<AttemptEnd, ReadError> {
        let mut statuses = trailers.get_all(STATUS).iter();
        let code = match (statuses.next(), statuses.next()) {
            (Some(code), None) => status::parse_code(Some(code.as_bytes())),
            _ => None,
        };
        let end = status::attempt_end(code, not_processed(&trailers));
        if end == AttemptEnd::Answered {
            messages?;
            let mut headers = headers;
            self.send_headers(&mut headers).await?;
            self.send(ResponsePart::Trailers(forwarded(&trailers, &NODE_TO_PROXY))).await?;
        } else if self.forwarded && code.is_some() {
            // The client has a part of the response, and the node's own status describes its end best.
            let mut last = forwarded(&trailers, &NODE_TO_PROXY);
            last.insert(PUSHBACK, HeaderValue::from_static("-1"));
            self.send(ResponsePart::Trailers(last)).await?;
        } else {
            self.call.record_failure_status(code);
        }
        Ok(end)
    }

    /// Returns how an attempt ended whose stream failed with `error`.
    fn end_of_broken_stream(&self, error: &h2::Error) -> AttemptEnd {
        let complete = self.tracked.progress(|progress| progress.complete).unwrap_or(true);
        let data = self.tracked.progress(|progress| progress.data).unwrap_or(true);
        debug!(stream = self.tracked.stream, whole = complete; "a stream to a node failed: {error}");
        if error.is_reset() && error.is_remote() {
            return match error.reason() {
                Some(Reason::REFUSED_STREAM) => AttemptEnd::TurnedAway,
                _ => AttemptEnd::ErrorAnswer,
            };
        }
        if self.tracked.above_goaway() {
            return AttemptEnd::TurnedAway;
        }
        // A node may start a streaming call with the first piece of the request; it starts others with the
        // last.
        let may_have_begun = complete || self.call.route.streams_request && data;
        if !may_have_begun {
            return AttemptEnd::BrokeUnsent;
        }
        if error.is_io() || error.is_go_away() { AttemptEnd::Broke } else { AttemptEnd::BadAnswer }
    }
}

/// Returns whether the node says that it has not processed the call.
fn not_processed(metadata: &HeaderMap) -> bool {
    metadata.get(HeaderName::from_static(NOT_PROCESSED)).is_some_and(|value| value == "1")
}
