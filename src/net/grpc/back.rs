//! Connections from the gRPC front to nodes. A channel is one HTTP/2 connection with many streams, and an
//! attempt is one stream. An observer follows the frames that a channel writes, so that an attempt knows
//! whether the last frame of its request was written. Dropping an attempt drops its stream, which makes h2
//! reset the stream at the node.

mod progress;
mod request_body;
mod response;

use super::call::Call;
use super::observed_io::{IoObserver, ObservedIo};
use super::{PREVIOUS_ATTEMPTS, TIMEOUT, forwarded};
use crate::attempt_end::AttemptEnd;
use crate::config::grpc::GrpcFront;
use crate::core::{Attempt, AttemptContext, AttemptSource, Report};
use crate::event;
use crate::grpc::channels::{ChannelAction, ChannelId, Channels, Grant};
use crate::grpc::frames::{FrameEvent, FrameKind, PREFACE_BYTES, Scanner};
use crate::grpc::timeout;
use crate::interface::Micros;
use crate::net::socket;
use bytes::Bytes;
use h2::client::SendRequest;
use h2::{Ping, PingPong};
use hyper::header::HeaderValue;
use hyper::{Method, Request, Uri};
use log::debug;
use progress::{ChannelProgress, TrackedStream};
use request_body::{BlockedStream, send_body};
use response::ResponseReader;
use std::collections::BTreeMap;
use std::future::poll_fn;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::task::Poll;
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
    let Ok(Ok(stream)) = tokio::time::timeout(pool.connect_timeout, socket::connect(address)).await else {
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
