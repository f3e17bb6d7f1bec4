//! A client of calls of all four shapes.

use super::{Messages, background, message, wait};
use crate::grpc::status::details;
use crate::rehearsal::{Failure, Outcome};
use base64::Engine;
use base64::prelude::BASE64_STANDARD_NO_PAD;
use bytes::Bytes;
use h2::client::{ResponseFuture, SendRequest};
use h2::{Reason, RecvStream, SendStream};
use hyper::Request;
use hyper::header::{HeaderMap, HeaderName, HeaderValue};
use std::future::poll_fn;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::task::AbortHandle;

/// How a call ended for its client.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Ended {
    pub headers: HeaderMap,
    pub messages: Vec<String>,
    pub trailers: HeaderMap,
    /// No status came: the stream was reset, or broke.
    pub reset: Option<Option<Reason>>,
    /// Statuses that came: one, whatever happens.
    pub statuses: usize,
}

impl Ended {
    pub fn code(&self) -> Option<u32> {
        self.trailers.get("grpc-status")?.to_str().ok()?.parse().ok()
    }

    /// `grpc-retry-pushback-ms`.
    pub fn pushback(&self) -> Option<i64> {
        self.trailers.get("grpc-retry-pushback-ms")?.to_str().ok()?.parse().ok()
    }

    /// RetryInfo's.
    pub fn retry_delay(&self) -> Option<Duration> {
        let text = self.trailers.get("grpc-status-details-bin")?;
        details::retry_delay(&BASE64_STANDARD_NO_PAD.decode(text).ok()?)
    }
}

/// A call as it is asked for.
#[derive(Clone, Debug)]
pub struct Ask {
    pub path: String,
    pub id: String,
    pub metadata: Vec<(&'static str, String)>,
    pub messages: Vec<Vec<u8>>,
}

impl Ask {
    /// One message, and an id that no other call has.
    pub fn new(path: &str) -> Ask {
        static SERIAL: AtomicU64 = AtomicU64::new(0);
        let id = format!("c{}", SERIAL.fetch_add(1, Ordering::Relaxed));
        Ask { path: path.to_string(), id, metadata: Vec::new(), messages: vec![b"hello".to_vec()] }
    }

    pub fn with(mut self, name: &'static str, value: &str) -> Ask {
        self.metadata.push((name, value.to_string()));
        self
    }

    pub fn messages(mut self, messages: Vec<Vec<u8>>) -> Ask {
        self.messages = messages;
        self
    }

    fn request(&self) -> Request<()> {
        let mut request = Request::new(());
        *request.method_mut() = hyper::Method::POST;
        *request.uri_mut() = format!("http://store.svc{}", self.path).parse().unwrap_or_default();
        let headers = request.headers_mut();
        headers.insert("te", HeaderValue::from_static("trailers"));
        headers.insert("content-type", HeaderValue::from_static("application/grpc"));
        for (name, value) in
            self.metadata.iter().map(|(n, v)| (*n, v.as_str())).chain([("x-call", &*self.id)])
        {
            if let (Ok(name), Ok(value)) = (name.parse::<HeaderName>(), value.parse()) {
                if value == "-" {
                    headers.remove(name);
                } else {
                    headers.append(name, value);
                }
            }
        }
        request
    }
}

#[derive(Clone)]
pub struct Client {
    send: SendRequest<Bytes>,
    driver: AbortHandle,
}

impl Client {
    pub fn connect(address: SocketAddr) -> Outcome<Client> {
        Client::with_window(address, 65_535)
    }

    /// A client that takes so many bytes of each answer before it has read any.
    pub fn with_window(address: SocketAddr, window: u32) -> Outcome<Client> {
        let connecting = async {
            let stream = TcpStream::connect(address).await?;
            stream.set_nodelay(true)?;
            let mut builder = h2::client::Builder::new();
            builder.initial_window_size(window).initial_connection_window_size(8 * 1024 * 1024);
            builder.handshake(stream).await.map_err(std::io::Error::other)
        };
        let (send, connection) = wait(connecting)??;
        let driver = background()?.spawn(async move { drop(connection.await) }).abort_handle();
        Ok(Client { send, driver })
    }

    /// The connection ends without a word.
    pub fn vanish(&self) {
        self.driver.abort();
    }

    pub async fn open(&self, ask: &Ask) -> Result<Stream, h2::Error> {
        let mut send = self.send.clone().ready().await?;
        let (response, up) = send.send_request(ask.request(), false)?;
        Ok(Stream {
            up,
            response: Some(response),
            body: None,
            messages: Messages::default(),
            ended: Ended::default(),
        })
    }

    /// The whole call.
    pub async fn run(&self, ask: &Ask) -> Ended {
        let Ok(mut stream) = self.open(ask).await else {
            return Ended { reset: Some(None), ..Ended::default() };
        };
        for (i, text) in ask.messages.iter().enumerate() {
            if !stream.send(text, i + 1 == ask.messages.len()).await {
                break;
            }
        }
        if ask.messages.is_empty() {
            stream.finish();
        }
        stream.rest().await
    }

    pub fn call(&self, ask: &Ask) -> Outcome<Ended> {
        wait(self.run(ask))
    }

    /// A call of its own task.
    pub fn start(&self, ask: &Ask) -> Outcome<tokio::task::JoinHandle<Ended>> {
        let (client, ask) = (self.clone(), ask.clone());
        Ok(background()?.spawn(async move { client.run(&ask).await }))
    }
}

pub fn ended(call: tokio::task::JoinHandle<Ended>) -> Outcome<Ended> {
    wait(call)?.map_err(|error| Failure::Unmet(error.to_string()))
}

/// A call that is open.
pub struct Stream {
    up: SendStream<Bytes>,
    response: Option<ResponseFuture>,
    body: Option<RecvStream>,
    messages: Messages,
    ended: Ended,
}

impl Stream {
    /// False: the stream takes nothing more.
    pub async fn send(&mut self, text: &[u8], last: bool) -> bool {
        let mut framed = message(text);
        while !framed.is_empty() {
            self.up.reserve_capacity(framed.len());
            let room = poll_fn(|cx| match self.up.capacity() {
                0 => self.up.poll_capacity(cx),
                room => std::task::Poll::Ready(Some(Ok(room))),
            });
            let Some(Ok(room)) = room.await else { return false };
            let part = framed.split_to(room.min(framed.len()));
            if self.up.send_data(part, last && framed.is_empty()).is_err() {
                return false;
            }
        }
        true
    }

    pub fn finish(&mut self) {
        let _ = self.up.send_data(Bytes::new(), true); // it may be over
    }

    pub fn cancel(mut self) {
        self.up.send_reset(Reason::CANCEL);
    }

    /// Whether the answer's headers came.
    pub async fn headers(&mut self) -> bool {
        let Some(response) = self.response.take() else { return self.body.is_some() };
        match response.await {
            Ok(response) => {
                let (head, body) = response.into_parts();
                if body.is_end_stream() {
                    self.ended.statuses += usize::from(head.headers.contains_key("grpc-status"));
                    self.ended.trailers = head.headers;
                } else {
                    self.ended.headers = head.headers;
                    self.body = Some(body);
                }
                true
            }
            Err(error) => {
                self.ended.reset = Some(error.reason());
                false
            }
        }
    }

    /// The next message; `None` once there is none.
    pub async fn receive(&mut self) -> Option<String> {
        if self.response.is_some() && !self.headers().await {
            return None;
        }
        loop {
            if let Some(text) = self.messages.take() {
                let text = String::from_utf8_lossy(&text).into_owned();
                self.ended.messages.push(text.clone());
                return Some(text);
            }
            match self.body.as_mut()?.data().await? {
                Ok(piece) => {
                    let _ = self.body.as_mut()?.flow_control().release_capacity(piece.len());
                    self.messages.push(&piece);
                }
                Err(error) => {
                    self.ended.reset = Some(error.reason());
                    return None;
                }
            }
        }
    }

    pub async fn rest(mut self) -> Ended {
        while self.receive().await.is_some() {}
        if let Some(body) = &mut self.body
            && self.ended.reset.is_none()
        {
            match body.trailers().await {
                Ok(Some(trailers)) => {
                    self.ended.statuses += usize::from(trailers.contains_key("grpc-status"));
                    self.ended.trailers = trailers;
                }
                Ok(None) => {}
                Err(error) => self.ended.reset = Some(error.reason()),
            }
        }
        self.ended
    }
}
