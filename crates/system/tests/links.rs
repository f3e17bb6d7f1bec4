//! Links between processes on real sockets: stalled and slow readers, long messages, and how links open and
//! close.

#![allow(clippy::unwrap_used, clippy::expect_used, reason = "a test fails by a panic")]

use bytes::Bytes;
use pathbank_coordination::replica::Timing;
use pathbank_protocol::codec;
use pathbank_protocol::message::{ConfigurationUpdate, Frame, Hello, ProcessRole};
use pathbank_system::net::{link, mesh};
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::time::timeout;

/// An upper bound of the bytes that wait for a reader.
const BOUND: usize = 4 * 1024 * 1024;
const PATIENCE: Duration = Duration::from_secs(30);

fn large_message(index: u64) -> Bytes {
    let document = vec![b'x'; 256 * 1024];
    codec::encode(&Frame::Configuration(ConfigurationUpdate { index, base_index: 0, document })).into()
}

async fn connected() -> (TcpStream, TcpStream) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let (near, far) = tokio::join!(TcpStream::connect(address), listener.accept());
    (near.unwrap(), far.unwrap().0)
}

#[tokio::test]
async fn the_queue_of_a_stalled_reader_is_bounded_and_its_link_closes() {
    let (near, _far_that_never_reads) = connected().await;
    let (sender, outbox) = link::channel();
    let running = tokio::spawn(link::run(near, outbox, |_| true));
    let message = large_message(1);
    let mut queued = 0;
    while sender.send_encoded(message.clone()) {
        queued += message.len();
        assert!(queued <= BOUND, "the queue is bounded; nothing was written meanwhile");
    }
    assert!(!sender.send_encoded(Bytes::from_static(b"short")), "no message follows one that was lost");
    timeout(PATIENCE, running).await.expect("the link closes").unwrap();
    assert!(sender.is_closed());
}

#[tokio::test]
async fn one_message_longer_than_the_bound_is_sent() {
    let (near, far) = connected().await;
    let (sender, outbox) = link::channel();
    let (far_sender, far_outbox) = link::channel();
    let document = vec![b'y'; BOUND];
    let long = Frame::Configuration(ConfigurationUpdate { index: 7, base_index: 0, document });
    assert!(sender.send(&long));
    let (received, mut frames) = tokio::sync::mpsc::unbounded_channel();
    let running = tokio::spawn(link::run(near, outbox, |_| true));
    let reading = tokio::spawn(link::run(far, far_outbox, move |frame| received.send(frame).is_ok()));
    let frame =
        timeout(PATIENCE, frames.recv()).await.expect("the message arrives").expect("the link is open");
    assert_eq!(frame, long);
    drop(far_sender);
    running.abort();
    reading.abort();
}

// Guards against a write timeout that ignores progress. When eighty edges come back at once, they share their
// cores' network, and each gets a tenth of the bandwidth that it would have alone. A complete configuration
// of a megabyte then takes longer than 2.5 s, after which an unfinished write closed its link, however much
// was written already. The edge connected again and got the same bytes from the start: 7 s and more after all
// machines were back, edges had no configuration ("503 no configuration").
#[tokio::test]
async fn a_slow_reader_keeps_its_link_while_it_makes_progress() {
    const MESSAGE_BYTES: usize = 1024 * 1024;
    const READ_BYTES: usize = 32 * 1024;
    let (near, mut far) = connected().await;
    let small = 16 * 1024;
    socket2::SockRef::from(&near).set_send_buffer_size(small).unwrap();
    socket2::SockRef::from(&far).set_recv_buffer_size(small).unwrap();
    let (sender, outbox) = link::channel();
    let running = tokio::spawn(link::run(near, outbox, |_| true));
    let document = vec![b'z'; MESSAGE_BYTES];
    assert!(sender.send(&Frame::Configuration(ConfigurationUpdate { index: 7, base_index: 0, document })));
    let mut read = 0;
    let mut buffer = vec![0; READ_BYTES];
    while read < MESSAGE_BYTES {
        // A slow network of about 160 KB/s, and the pings that the other side would send.
        tokio::time::sleep(Duration::from_millis(200)).await;
        far.write_all(&codec::encode(&Frame::Ping(0))).await.unwrap();
        let count = timeout(PATIENCE, far.read(&mut buffer)).await.expect("the write goes on").unwrap();
        assert!(count > 0, "the link was closed after {read} bytes");
        read += count;
    }
    running.abort();
}

// After a power loss machines come back some hundredths of a second apart. The first one's attempts to
// connect to the others hang, and if they hung for longer, its messages in their first election would be
// lost.
#[test]
fn a_connection_attempt_times_out_before_an_election_timeout() {
    let election = Duration::from_millis(Timing::default().election_timeout_ms);
    assert!(mesh::CONNECT_TIMEOUT + mesh::RETRY_BACKOFF <= election);
}

// Guards against an edge that waits for a removed core. Edges close their links to a core that left the
// membership. An edge that subscribed to that core then waited for its updates for ever, because a link that
// the edge itself closed reported no end.
#[tokio::test]
async fn a_link_that_is_closed_by_its_owner_reports_its_end() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let hello = Hello {
        role: ProcessRole::Edge,
        name: "e".into(),
        zone: "z".into(),
        incarnation: 1,
        accepts_compression: true,
        compares_states: false,
        command_format: 0,
    };
    let (reported, mut events) = tokio::sync::mpsc::unbounded_channel();
    let mesh = mesh::Mesh::new(hello, move |event| drop(reported.send(event)));
    mesh.want(&[address]);
    let _accepted = listener.accept().await.unwrap();
    let opened = timeout(PATIENCE, events.recv()).await.expect("the link opens");
    assert!(matches!(opened, Some(mesh::MeshEvent::Opened(of)) if of == address));
    mesh.want(&[]);
    let closed =
        timeout(Duration::from_secs(5), events.recv()).await.expect("the end of the link is reported");
    assert!(matches!(closed, Some(mesh::MeshEvent::Closed(of)) if of == address), "{closed:?}");
}
