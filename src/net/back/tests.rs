use super::*;
use crate::memory::{MemoryPlan, Options};

const MEMORY_BYTES: usize = 32 * 1024 * 1024;

#[test]
fn a_request_is_written_once_its_last_byte_is() {
    for (parts, body, whole) in [
        (&["GET / HTTP/1.1\r\nhost: x\r\n\r\n"][..], 0, true),
        (&["GET / HTTP/1.1\r\nhost: x\r\n\r"], 0, false),
        (&["PUT / HTTP/1.1\r", "\n\r\n", "abc"], 3, true),
        (&["PUT / HTTP/1.1\r\n\r\n", "ab"], 3, false),
        (&["PUT / HTTP/1.1\r\n\r\n"], 3, false),
        (&[], 0, false),
    ] {
        let mut progress = Progress { body_left: Some(body), ..Progress::default() };
        parts.iter().for_each(|part| progress.record_written(part.as_bytes()));
        assert_eq!(
            (progress.request_is_written(), progress.write_state.has_started()),
            (whole, !parts.is_empty()),
            "{parts:?}"
        );
    }
}

#[test]
fn load_and_usage_headers_are_parsed_and_invalid_values_ignored() {
    for (text, queue) in [
        ("inflight=7,queue=2,util=0.61", Some(2.0)),
        ("inflight=7, queue=2.5", Some(2.5)),
        ("queue=-1", None),
        ("queue=NaN", None),
        ("queue=9e99,inflight=1", None),
        ("queue", None),
        ("", None),
    ] {
        let headers = HeaderMap::from_iter([(HeaderName::from_static(LOAD), text.parse().unwrap())]);
        assert_eq!(load(&headers).queue, queue, "{text}");
    }
    for (text, percent) in [("85", Some(0.85)), ("0", Some(0.0)), ("-3", None), ("x", None), ("1e300", None)]
    {
        let headers = HeaderMap::from_iter([(HeaderName::from_static(METER), text.parse().unwrap())]);
        assert_eq!(used(&headers), percent, "{text}");
    }
}

#[test]
fn an_answer_must_declare_its_length_in_exactly_one_way() {
    for (fields, sound) in [
        (&[("content-length", "3")][..], true),
        (&[("transfer-encoding", "chunked")], true),
        (&[], false),
        (&[("content-length", "3"), ("transfer-encoding", "chunked")], false),
        (&[("content-length", "3"), ("content-length", "3")], true),
        (&[("content-length", "3, 3")], true),
        (&[("content-length", "3, 4")], false),
        (&[("content-length", "3"), ("content-length", "4")], false),
        (&[("transfer-encoding", ", chunked,")], true),
        (&[("transfer-encoding", "chunked, chunked")], false),
        (&[("content-length", "-3")], false),
        (&[("content-length", "+3")], false),
        (&[("content-length", "")], false),
        (&[("content-length", "65537")], true),
        (&[("content-length", "33554432")], true),
        (&[("content-length", "33554433")], false),
        (&[("content-length", "3221225472")], false),
        (&[("transfer-encoding", "gzip, chunked")], false),
    ] {
        let mut headers = HeaderMap::new();
        for (name, value) in fields {
            headers.append(HeaderName::from_static(name), value.parse().unwrap());
        }
        assert_eq!(has_valid_framing(&headers, false), sound, "{fields:?}");
        assert_eq!(has_valid_framing(&headers, true), sound || fields.is_empty(), "{fields:?}, last");
    }
}

/// The time after which a test fails as stuck.
const STUCK: Duration = Duration::from_secs(20);

fn with_back<T>(connect: Duration, play: impl AsyncFnOnce(NodeClient, crate::core::Handle) -> T) -> T {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
    runtime.block_on(async {
        let settings = crate::interface::Settings::default();
        let (core, _wanted) = crate::core::Core::new(settings, 7, 10, crate::clock::Clock::start());
        let limits = NodeLimits { most: 8, idle: STUCK, connect };
        let handle = core.handle();
        let memory = MemoryPlan::new(MEMORY_BYTES, Options::default()).shares();
        let client = NodeClient::new(limits, handle.capacity_share(), &memory);
        timeout(STUCK, play(client, handle)).await.expect("stuck")
    })
}

fn get() -> Forward {
    Forward {
        method: Method::GET,
        target: Uri::from_static("/x"),
        id: None,
        key: None,
        payload: Payload::Held { body: Bytes::new(), _memory: None },
        wait: STUCK,
        begins: Mutex::new(None),
    }
}

/// The runtime has not polled the connection since the bytes arrived: only the kernel knows of them.
#[test]
fn nothing_is_written_to_a_connection_that_received_bytes_before_the_request() {
    use std::io::{Read, Write};
    for (what, before) in [
        ("half a line", Some(&b"HTTP/1.1 2"[..])),
        ("a second answer", Some(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")),
        ("its end", None),
    ] {
        with_back(STUCK, async |back, handle| {
            let listener = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
            let address = listener.local_addr().unwrap();
            let ours = TcpStream::connect(address).await.unwrap();
            let (mut theirs, _) = listener.accept().unwrap();
            let observed = theirs.try_clone().unwrap();
            match before {
                Some(bytes) => theirs.write_all(bytes).unwrap(),
                None => theirs.shutdown(std::net::Shutdown::Write).unwrap(),
            }
            let context = Arc::new(handle.context(address.to_string(), STUCK));
            // The runtime does not run in between, as if the bytes arrived just before the write.
            let io = TokioIo::new(ours);
            let mut watched = ObservedConnection {
                io,
                progress: SharedProgress::new(context.write_state.clone(), Some(0)),
            };
            let wrote = poll_fn(|cx| hyper::rt::Write::poll_write(Pin::new(&mut watched), cx, b"GET")).await;
            assert!(wrote.is_err(), "{what}");
            let report = back.exchange(watched.io.into_inner(), address, &get(), &context).await;
            assert_eq!(report.end, AttemptEnd::BrokeUnsent, "{what}");
            assert!(!context.write_state.has_started(), "{what}");
            let mut got = Vec::new();
            // The connection is reset if it closes with unread bytes.
            let _ = (&observed).read_to_end(&mut got);
            assert!(got.is_empty(), "{what}");
        });
    }
}

/// A listener whose queue is full: the kernel completes no further connection until one is accepted.
fn full_listener() -> (socket2::Socket, SocketAddr, std::net::TcpStream) {
    let listener = socket2::Socket::new(socket2::Domain::IPV4, socket2::Type::STREAM, None).unwrap();
    listener.bind(&SocketAddr::from(([127, 0, 0, 1], 0)).into()).unwrap();
    listener.listen(0).unwrap();
    let address = listener.local_addr().unwrap().as_socket().unwrap();
    let filler = std::net::TcpStream::connect(address).unwrap();
    (listener, address, filler)
}

#[test]
fn a_connection_established_too_late_for_its_attempt_is_kept_for_the_next() {
    with_back(Duration::from_millis(100), async |back, _| {
        let (listener, address, _filler) = full_listener();
        assert!(back.connect(address).await.is_none());
        assert_eq!(back.pool.held(), 0);
        let _accepted = listener.accept().unwrap();
        while back.pool.held() == 0 {
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
        assert_eq!(back.counts().0, 1);
        tokio::time::sleep(2 * CONNECTION_REST).await;
        assert!(back.connect(address).await.is_some(), "the late connection was not kept");
    });
}

#[test]
fn an_attempt_that_waits_for_its_connection_takes_one_that_becomes_idle() {
    with_back(STUCK, async |back, _| {
        let (_listener, address, _filler) = full_listener();
        let other = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
        let kept = TcpStream::connect(other.local_addr().unwrap()).await.unwrap();
        let port = kept.local_addr().unwrap();
        let connects = tokio::spawn({
            let back = back.clone();
            async move { back.connect(address).await }
        });
        tokio::task::yield_now().await;
        back.pool.release(address, kept);
        assert_eq!(connects.await.unwrap().unwrap().local_addr().unwrap(), port);
    });
}
