//! gRPC's stand-ins: a node and a client for calls of all four shapes, peers that speak raw frames, and a checker of
//! what both ends saw. They run on one thread beside the rehearsal's own, which may so wait for them.

pub mod cases;
pub mod client;
pub mod node;
pub mod random;
pub mod raw;

use super::{Failure, Outcome, STUCK};
use bytes::{BufMut, Bytes, BytesMut};
use std::future::Future;
use std::sync::OnceLock;
use tokio::runtime::Handle;

/// The runtime of all stand-ins.
fn background() -> Outcome<&'static Handle> {
    static RUNTIME: OnceLock<Option<Handle>> = OnceLock::new();
    let handle = RUNTIME.get_or_init(|| {
        let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().ok()?;
        let handle = runtime.handle().clone();
        std::thread::spawn(move || runtime.block_on(std::future::pending::<()>()));
        Some(handle)
    });
    handle.as_ref().ok_or_else(|| Failure::Unmet("no runtime".into()))
}

/// Waits on this thread, while the stand-ins go on; what takes too long is stuck.
pub fn wait<T>(future: impl Future<Output = T>) -> Outcome<T> {
    let limited = async { tokio::time::timeout(STUCK, future).await };
    background()?.block_on(limited).map_err(|_| Failure::Unmet("a gRPC peer is stuck".into()))
}

/// One message as gRPC frames it.
pub fn message(text: impl AsRef<[u8]>) -> Bytes {
    let text = text.as_ref();
    let mut framed = BytesMut::with_capacity(5 + text.len());
    framed.put_u8(0);
    framed.put_u32(text.len() as u32);
    framed.put_slice(text);
    framed.freeze()
}

/// Takes whole messages out of what has come, in whatever pieces it came.
#[derive(Debug, Default)]
pub struct Messages(BytesMut);

impl Messages {
    pub fn push(&mut self, piece: &[u8]) {
        self.0.put_slice(piece);
    }

    pub fn take(&mut self) -> Option<Vec<u8>> {
        let length = u32::from_be_bytes(self.0.get(1..5)?.try_into().ok()?) as usize;
        if self.0.len() < 5 + length {
            return None;
        }
        let framed = self.0.split_to(5 + length);
        Some(framed[5..].to_vec())
    }

    /// Bytes that are no whole message.
    pub fn left(&self) -> usize {
        self.0.len()
    }
}

/// The gRPC front's file for a stage: services of each class, with streaming methods.
pub fn routes(more: &str) -> String {
    let mut text = format!(
        "enabled = true\nlisten = \"127.0.0.1:0\"\n{more}\n[metadata]\nshards = [0]\nvolume = {{ name = \"x-volume\", \
         default = \"acme\" }}\n"
    );
    for (service, class) in [("Safe", "token-read"), ("Keyed", "receipt-write"), ("Once", "once")] {
        for (method, kind) in [("*", "whole"), ("ClientStream", "stream"), ("Bidi", "stream")] {
            text += &format!(
                "[[routes]]\npath = \"/kit.{service}/{method}\"\nclass = \"{class}\"\nplan = \"starter\"\n\
                 request = \"{kind}\"\n"
            );
        }
    }
    text + "[[routes]]\npath = \"/kit.Safe/Early\"\nclass = \"token-read\"\nplan = \"starter\"\nrequest = \"stream\"\n\
            early_headers = true\n"
}
