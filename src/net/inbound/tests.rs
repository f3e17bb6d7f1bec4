use super::*;
use std::io::Write;
use std::net::{Shutdown, TcpListener as StdListener, TcpStream as StdStream};
use tokio::io::{AsyncReadExt, AsyncWriteExt};

/// The time after which a test fails as stuck.
const STUCK: Duration = Duration::from_secs(20);

/// Runs a test with a client and both halves of its connection, on a current-thread runtime.
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

/// Covers each way in which a client ends its connection, after different numbers of unparsed bytes.
#[test]
fn the_end_is_noticed_behind_unparsed_bytes() {
    let ways: [Way; 3] = [
        ("a close", drop),
        ("a half-close", |client| client.shutdown(Shutdown::Write).unwrap()),
        ("a reset", reset),
    ];
    for (way, go) in ways {
        for unparsed in [0, 100, MAX_READ_AHEAD - 1, MAX_READ_AHEAD, 2 * MAX_READ_AHEAD] {
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

/// The runtime doesn't run between the client's close and the check.
#[test]
fn an_end_is_noticed_before_the_runtime_polls_the_socket() {
    with_pair(async |client, _inbound, presence| {
        assert!(!presence.has_left());
        drop(client);
        let since = std::time::Instant::now();
        while !presence.has_left() {
            assert!(since.elapsed() < STUCK, "the kernel never reported the end");
        }
    });
}

#[test]
fn bytes_read_ahead_by_another_task_reach_the_waiting_parser() {
    with_pair(async |mut client, mut inbound, presence| {
        let parser = tokio::spawn(async move {
            let mut all = Vec::new();
            inbound.read_to_end(&mut all).await.map(|_| all)
        });
        let mut sent = Vec::new();
        for piece in 0..200_u8 {
            // The parser waits by now; `has_unread` reads the bytes ahead of it.
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

/// A reset would overtake the answer on its way: the client would read an error instead.
#[test]
fn a_client_that_keeps_writing_after_its_request_reads_the_whole_answer() {
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

#[test]
fn what_comes_behind_a_complete_request_is_thrown_away_and_the_end_is_seen_behind_it() {
    with_pair(async |mut client, _inbound, presence| {
        presence.request_complete();
        client.write_all(&vec![7; 20 * MAX_READ_AHEAD]).unwrap();
        drop(client);
        presence.left().await;
        assert!(presence.has_discarded() && !presence.has_unread());
    });
}

#[test]
fn a_client_that_sends_on_behind_a_complete_request_counts_as_one_that_left() {
    with_pair(async |mut client, inbound, presence| {
        presence.request_complete();
        let sender = std::thread::spawn(move || {
            // An error once the connection is dropped.
            let _ = client.write_all(&vec![7; 2 * MAX_DISCARDED_BYTES]);
            client
        });
        presence.left().await;
        assert!(presence.has_left());
        drop((inbound, presence));
        sender.join().unwrap();
    });
}

#[test]
fn a_few_bytes_behind_a_request_reach_the_parser_once_it_is_answered() {
    with_pair(async |mut client, mut inbound, presence| {
        presence.request_complete();
        client.write_all(&[7; 100]).unwrap();
        while !presence.has_unread() {
            tokio::task::yield_now().await;
        }
        presence.answer_given();
        inbound.flush().await.unwrap();
        client.write_all(&vec![7; 2 * MAX_READ_AHEAD]).unwrap();
        let mut came = vec![0; 100 + 2 * MAX_READ_AHEAD];
        inbound.read_exact(&mut came).await.unwrap();
        assert!(!presence.has_discarded() && came.iter().all(|byte| *byte == 7));
    });
}
