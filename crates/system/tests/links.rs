//! Links between processes on real sockets: a reader that does not read, and one that does.

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

/// What waits for a reader stays well under this, bytes.
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
        assert!(queued <= BOUND, "nothing is written meanwhile: all of it waits");
    }
    assert!(!sender.send_encoded(Bytes::from_static(b"short")), "no gap: nothing follows what was lost");
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
    let (told, mut heard) = tokio::sync::mpsc::unbounded_channel();
    let running = tokio::spawn(link::run(near, outbox, |_| true));
    let reading = tokio::spawn(link::run(far, far_outbox, move |frame| told.send(frame).is_ok()));
    let frame = timeout(PATIENCE, heard.recv()).await.expect("it comes").expect("whole");
    assert_eq!(frame, long);
    drop(far_sender);
    running.abort();
    reading.abort();
}

// Eighty edges that come back at once share their cores' links, each with a tenth of what one alone would
// get: a full configuration of a megabyte takes longer than the 2.5 s after which a write that had not ended
// closed its link, however much had gone already. The edge connected again and was sent the same from the
// start: 7 s and more after all machines were back, edges were without a configuration ("503 no
// configuration").
#[tokio::test]
async fn a_slow_reader_keeps_its_link_while_it_makes_progress() {
    const MESSAGE_BYTES: usize = 1024 * 1024;
    const READ_AT_ONCE: usize = 32 * 1024;
    let (near, mut far) = connected().await;
    let small = 16 * 1024;
    socket2::SockRef::from(&near).set_send_buffer_size(small).unwrap();
    socket2::SockRef::from(&far).set_recv_buffer_size(small).unwrap();
    let (sender, outbox) = link::channel();
    let running = tokio::spawn(link::run(near, outbox, |_| true));
    let document = vec![b'z'; MESSAGE_BYTES];
    assert!(sender.send(&Frame::Configuration(ConfigurationUpdate { index: 7, base_index: 0, document })));
    let mut read = 0;
    let mut buffer = vec![0; READ_AT_ONCE];
    while read < MESSAGE_BYTES {
        // A narrow link: about 160 KB/s, with the pings that the other side would send.
        tokio::time::sleep(Duration::from_millis(200)).await;
        far.write_all(&codec::encode(&Frame::Ping(0))).await.unwrap();
        let count = timeout(PATIENCE, far.read(&mut buffer)).await.expect("something comes").unwrap();
        assert!(count > 0, "the link was closed after {read} bytes");
        read += count;
    }
    running.abort();
}

/// After a loss of power machines come back some hundredths of a second apart: the first one's attempts to
/// reach the others hang, and what it says in their first election would be lost.
#[test]
fn a_connection_attempt_times_out_before_an_election_timeout() {
    let election = Duration::from_millis(Timing::default().election_timeout_ms);
    assert!(mesh::CONNECT_TIMEOUT + mesh::RETRY_BACKOFF <= election);
}

// Edges close their links to a core that left the membership; then they waited for its updates for ever: nobody
// notified them that the link had ended, for they had ended it themselves.
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
    };
    let (told, mut events) = tokio::sync::mpsc::unbounded_channel();
    let mesh = mesh::Mesh::new(hello, move |event| drop(told.send(event)));
    mesh.want(&[address]);
    let _accepted = listener.accept().await.unwrap();
    let opened = timeout(PATIENCE, events.recv()).await.expect("the link opens");
    assert!(matches!(opened, Some(mesh::MeshEvent::Opened(of)) if of == address));
    mesh.want(&[]);
    let closed = timeout(Duration::from_secs(5), events.recv()).await.expect("its end is told");
    assert!(matches!(closed, Some(mesh::MeshEvent::Closed(of)) if of == address), "{closed:?}");
}
