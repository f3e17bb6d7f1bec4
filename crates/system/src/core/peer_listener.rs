//! Accepts the links that other processes open to this core.

use super::event::{Event, LinkId};
use crate::memory::plan::LinkMemory;
use crate::net::link::{self, Inbox};
use crate::net::socket;
use pathbank_protocol::message::{Frame, Hello};
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::sync::mpsc::UnboundedSender;

static NEXT_LINK: AtomicU64 = AtomicU64::new(1);
/// After an error of the listener, such as no free descriptor.
const ACCEPT_BACKOFF: Duration = Duration::from_millis(20);

/// Accepts links and reports what comes on them, without end.
pub async fn accept(listener: TcpListener, memory: LinkMemory, events: UnboundedSender<Event>) {
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            tokio::time::sleep(ACCEPT_BACKOFF).await;
            continue;
        };
        let Ok(inbox) = Inbox::accepted(&memory) else {
            memory.share.count_refusal();
            continue;
        };
        socket::prepare(&stream);
        let events = events.clone();
        tokio::spawn(async move { serve(stream, inbox, events).await });
    }
}

async fn serve(stream: tokio::net::TcpStream, inbox: Inbox, events: UnboundedSender<Event>) {
    let id: LinkId = NEXT_LINK.fetch_add(1, Ordering::Relaxed);
    let (link, outbox) = link::channel();
    let mut introduced: Option<Hello> = None;
    let on_frame = |frame, memory| match (frame, &introduced) {
        (Frame::Hello(hello), None) => {
            introduced = Some(hello.clone());
            events.send(Event::LinkOpened(id, hello, link.clone())).is_ok()
        }
        // A process introduces itself first.
        (_, None) => false,
        (frame, Some(_)) => events.send(Event::FrameReceived(id, frame, memory)).is_ok(),
    };
    link::run_metered(stream, outbox, inbox, on_frame).await;
    let _ = events.send(Event::LinkClosed(id));
}
