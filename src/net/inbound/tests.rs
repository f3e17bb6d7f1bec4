use super::*;
use std::io::Write;
use std::net::{Shutdown, TcpListener as StdListener, TcpStream as StdStream};
use tokio::io::{AsyncReadExt, AsyncWriteExt};

/// How long anything may take before a test is called stuck.
const STUCK: Duration = Duration::from_secs(20);

/// A client and what the head has of its connection, on a runtime that is only run as far as the test has it.
fn with_pair<T>(play: impl AsyncFnOnce(StdStream, Inbound, Presence) -> T) -> T {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
    runtime.block_on(async {
        let listener = StdListener::bind("127.0.0.1:0").unwrap();
        let client = StdStream::connect(listener.local_addr().unwrap()).unwrap();
        let (stream, _) = listener.accept().unwrap();
        stream.set_nonblocking(true).unwrap();
        let (inbound, presence) = Inbound::new(TcpStream::from_std(stream).unwrap());
        timeout(STUCK, play(client, inbound, presence)).await.expect("stuck")
    })
}

fn reset(client: StdStream) {
    SockRef::from(&client).set_linger(Some(Duration::ZERO)).unwrap();
}

type Way = (&'static str, fn(StdStream));

/// How a client may go, and what it had sent that nobody parses.
#[test]
fn the_end_is_seen_behind_bytes_that_nobody_parses() {
    let ways: [Way; 3] = [
        ("a close", drop),
        ("a half-close", |client| client.shutdown(Shutdown::Write).unwrap()),
        ("a reset", reset),
    ];
    for (way, go) in ways {
        for unparsed in [0, 100, MOST_AHEAD - 1, MOST_AHEAD, 2 * MOST_AHEAD] {
            with_pair(async |mut client, _inbound, presence| {
                assert!(!presence.has_left(), "{way} behind {unparsed}");
                client.write_all(&vec![7; unparsed]).unwrap();
                // A half-closed client stays for as long as the test.
                let _stays = (way == "a half-close").then(|| client.try_clone().unwrap());
                go(client);
                presence.left().await;
                assert!(presence.has_left(), "{way} behind {unparsed}");
            });
        }
    }
}

/// The runtime has no turn between the client's end and the question.
#[test]
fn an_end_is_known_before_the_runtime_has_looked() {
    with_pair(async |client, _inbound, presence| {
        assert!(!presence.has_left());
        drop(client);
        let since = std::time::Instant::now();
        while !presence.has_left() {
            assert!(since.elapsed() < STUCK, "the system never told of it");
        }
    });
}

#[test]
fn what_others_read_ahead_reaches_a_parser_that_waits_for_it() {
    with_pair(async |mut client, mut inbound, presence| {
        let parser = tokio::spawn(async move {
            let mut all = Vec::new();
            inbound.read_to_end(&mut all).await.map(|_| all)
        });
        let mut sent = Vec::new();
        for piece in 0..200_u8 {
            // The parser waits by now; what comes is taken by the question.
            tokio::task::yield_now().await;
            client.write_all(&[piece; 300]).unwrap();
            sent.extend_from_slice(&[piece; 300]);
            presence.has_unread();
        }
        drop(client);
        while !presence.has_left() {}
        assert_eq!(parser.await.unwrap().unwrap(), sent);
    });
}

/// A reset overtakes what is on its way: the client would read an error in place of its answer.
#[test]
fn an_answer_is_read_whole_by_a_client_that_writes_on_behind_it() {
    with_pair(async |mut client, mut inbound, presence| {
        let slots = crate::net::slots::Slots::new(crate::config::ClientLimits {
            most: 4,
            spare: 0,
            most_idle: 4,
            request: STUCK,
            idle: STUCK,
            idle_if_many: STUCK,
        });
        let slot = slots.take().await;
        client.write_all(&[7; 100]).unwrap();
        inbound.write_all(b"the answer").await.unwrap();
        inbound.shutdown().await.unwrap();
        drop(inbound);
        let lingers = tokio::spawn(async move { presence.linger(&slot).await });
        tokio::task::yield_now().await;
        client.write_all(&[7; 100]).unwrap();
        let reader = std::thread::spawn(move || {
            let mut answer = Vec::new();
            client.read_to_end(&mut answer).unwrap();
            // A reset comes at the latest with the answer to the first of these.
            for _ in 0..3 {
                client.write_all(&[7; 100]).unwrap();
                std::thread::yield_now();
                assert!(client.take_error().unwrap().is_none());
            }
            answer
        });
        lingers.await.unwrap();
        assert_eq!(reader.join().unwrap(), b"the answer");
        assert_eq!(slots.held(), 0);
    });
}
