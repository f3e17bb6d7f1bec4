use super::*;
use crate::classes::Numbers;
use crate::clock::Clock;
use crate::config::{ClientLimits, Names, NodeLimits};
use crate::core::Core;
use crate::interface::Settings;
use crate::lifecycle_state::SERVING;
use crate::memory::{MemoryPlan, Options};

fn front(handle: &Handle, phase: watch::Receiver<Phase>) -> (HttpFront, Slots) {
    let times = Duration::from_secs(1);
    let memory = MemoryPlan::new(0, Options::default()).shares();
    let limits = NodeLimits { most: 4, idle: times, connect: times };
    let front = HttpFront {
        handle: handle.clone(),
        back: NodeClient::new(limits, handle.capacity_share(), &memory),
        names: watch::channel(Arc::default()).1,
        answer_margin: times,
        phase,
        memory,
        ids: Ids::new(4, times),
    };
    let slots = Slots::new(ClientLimits {
        most: 4,
        spare: 0,
        most_idle: 4,
        request: times,
        idle: times,
        idle_if_many: times,
    });
    (front, slots)
}

/// The kernel has completed these connections; it would reset them when the listener closes.
#[test]
fn connections_in_the_accept_queue_are_served_when_the_listener_closes() {
    use std::io::{Read, Write};
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
    for (handed_over, served) in [(false, 3), (true, 0)] {
        runtime.block_on(async {
            let (core, _wanted) = Core::new(Settings::default(), 7, 10, Clock::start());
            let (_phase, watched) = watch::channel(Phase { accept: false, handed_over, ..SERVING });
            let (front, slots) = front(&core.handle(), watched);
            let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
            let address = listener.local_addr().unwrap();
            let clients = [(); 3].map(|()| {
                let mut client = std::net::TcpStream::connect(address).unwrap();
                client.write_all(b"GET /up HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n").unwrap();
                client
            });
            serve(listener, front, slots.clone()).await;
            slots.empty().await;
            let answers = clients.map(|mut client| {
                let mut answer = String::new();
                client.read_to_string(&mut answer).map(|_| answer).unwrap_or_default()
            });
            let good = answers.iter().filter(|answer| answer.starts_with("HTTP/1.1 200")).count();
            assert_eq!(good, served, "{handed_over} {answers:?}");
        });
    }
}

/// The connection is accepted while every slot is held, and the process stops accepting before a slot is
/// free.
#[test]
fn an_accepted_connection_that_waits_for_a_slot_is_served_after_the_phase_changes() {
    use tokio::io::{AsyncReadExt, AsyncWriteExt};
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
    runtime.block_on(async {
        let (core, _wanted) = Core::new(Settings::default(), 7, 10, Clock::start());
        let (phase, watched) = watch::channel(SERVING);
        let (front, slots) = front(&core.handle(), watched);
        // A connection whose request waits for an answer is never asked to leave its slot.
        let mut held = Vec::new();
        for _ in 0..4 {
            let slot = slots.take().await;
            slot.mark_waiting();
            held.push(slot);
        }
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        let serving = tokio::spawn(serve(listener, front, slots.clone()));
        let mut client = TcpStream::connect(address).await.unwrap();
        client.write_all(b"GET /up HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n").await.unwrap();
        while slots.held() < 5 {
            tokio::task::yield_now().await;
        }
        phase.send_replace(Phase { accept: false, close_after_answer: true, close: true, ..SERVING });
        // Lets every task run while no slot is free.
        for _ in 0..100 {
            tokio::task::yield_now().await;
        }
        assert!(!serving.is_finished(), "serve ended before the accepted connection had a slot");
        held.pop();
        let mut answer = String::new();
        client.read_to_string(&mut answer).await.unwrap();
        assert!(answer.starts_with("HTTP/1.1 200"), "{answer:?}");
        serving.await.unwrap();
        drop(held);
        slots.empty().await;
    });
}

/// The kernel has received the request, but the runtime has not read it: a graceful shutdown now would
/// discard it.
#[test]
fn an_unread_request_in_the_socket_buffer_counts_as_under_way() {
    use std::io::Write;
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
    runtime.block_on(async {
        let (core, _wanted) = Core::new(Settings::default(), 7, 10, Clock::start());
        let (_front, slots) = front(&core.handle(), watch::channel(SERVING).1);
        let listener = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
        let mut client = std::net::TcpStream::connect(listener.local_addr().unwrap()).unwrap();
        let (stream, _) = listener.accept().unwrap();
        stream.set_nonblocking(true).unwrap();
        let (_inbound, presence) = Inbound::new(TcpStream::from_std(stream).unwrap());
        let slot = slots.take().await;
        assert!(has_request_under_way(&slot, &presence), "the connection still awaits its first request");
        slot.mark_answered();
        assert!(!has_request_under_way(&slot, &presence), "an idle connection has no request under way");
        client.write_all(b"GET /up HTTP/1.1\r\nHost: x\r\n\r\n").unwrap();
        // The runtime does not run from here on. Loopback delivers the bytes at once or very soon.
        let since = std::time::Instant::now();
        while !has_request_under_way(&slot, &presence) {
            assert!(
                since.elapsed() < Duration::from_secs(20),
                "the kernel never reported the unread request"
            );
        }
    });
}

#[test]
fn a_draining_process_accepts_no_connections_and_serves_open_ones_until_it_closes_them() {
    use tokio::io::{AsyncReadExt, AsyncWriteExt};
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
    runtime.block_on(async {
        let (core, _wanted) = Core::new(Settings::default(), 7, 10, Clock::start());
        let (phase, watched) = watch::channel(SERVING);
        let (front, slots) = front(&core.handle(), watched);
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        let serving = tokio::spawn(serve(listener, front, slots.clone()));
        let mut idle = TcpStream::connect(address).await.unwrap();
        idle.write_all(b"GET /up HTTP/1.1\r\nHost: x\r\n\r\n").await.unwrap();
        let mut seen = [0; 12];
        idle.read_exact(&mut seen).await.unwrap();
        assert_eq!(&seen, b"HTTP/1.1 200");
        let mut busy = TcpStream::connect(address).await.unwrap();
        busy.write_all(b"GET /up HTTP/1.1\r\nHost: x\r\n\r\n").await.unwrap();
        busy.read_exact(&mut seen).await.unwrap();
        phase.send_replace(Phase { accept: false, ..SERVING });
        serving.await.unwrap();
        assert!(TcpStream::connect(address).await.is_err());
        let mut rest = [0; 512];
        let ok = |n: usize, rest: &[u8]| String::from_utf8_lossy(&rest[..n]).contains("HTTP/1.1 200");
        let _ = busy.read(&mut rest).await.unwrap();
        busy.write_all(b"GET /up HTTP/1.1\r\nHost: x\r\n\r\n").await.unwrap();
        let n = busy.read(&mut rest).await.unwrap();
        assert!(ok(n, &rest));
        // The phase changes in the middle of a request: the request is still read, and its answer closes the
        // connection.
        busy.write_all(b"GET /x HTTP/1.1\r\n").await.unwrap();
        while slots.idle() > 1 {
            tokio::task::yield_now().await;
        }
        phase.send_replace(Phase { accept: false, close_after_answer: true, close: true, ..SERVING });
        idle.read_to_end(&mut Vec::new()).await.unwrap();
        busy.write_all(b"Host: x\r\n\r\n").await.unwrap();
        let mut answer = String::new();
        busy.read_to_string(&mut answer).await.unwrap();
        assert!(answer.starts_with("HTTP/1.1 400") && answer.contains("connection: close"), "{answer}");
        slots.empty().await;
    });
}

const GOOD: [(&str, &str); 5] = [
    ("x-request-id", "9b1f03aa5c7e2d41"),
    (CLASS_HEADER, "checkout"),
    (PLAN_HEADER, "gold"),
    ("x-timeout-ms", "480"),
    (EXTENT_HEADER, "units=2,shard=5,hosts=3"),
];

fn parse(path: &str, change: Option<(&str, &str)>) -> Result<Arrival, Malformed> {
    let mut request = axum::http::Request::builder().method("PUT").uri(path);
    for (name, value) in GOOD {
        let value = change.filter(|(changed, _)| *changed == name).map_or(value, |(_, to)| to);
        request = request.header(name, value);
    }
    let (classes, plans) = (vec!["checkout".into()], vec!["free".into(), "gold".into()]);
    let names = Names { classes, plans, ..Names::default() };
    let class = crate::interface::Class { deadline: 3_000_000, ..Default::default() };
    let settings =
        Settings { classes: vec![class], plans: vec![Default::default(); 2], ..Settings::default() };
    let (_, names) = Numbers::new(&names, &settings, false).adopt(&names, &settings);
    let (head, ()) = request.body(()).unwrap().into_parts();
    parse_request(&head, &names, Instant::now(), Duration::from_millis(5))
}

#[test]
fn every_part_of_a_well_formed_request_is_parsed() {
    let got = parse("/api/00000003b4d60021/7f3a9c21e0b4d655", None).unwrap();
    assert_eq!((got.volume, got.key), (0x3_b4d6_0021, 0x7f3a_9c21_e0b4_d655));
    assert_eq!((got.class, got.plan, got.units, got.shard, got.volume_hosts), (0, 1, 2.0, Some(5), 3.0));
    assert!(got.answer_by <= Instant::now() + Duration::from_millis(475));
    // Nine tenths of a short timeout remain after the margin.
    let before = Instant::now();
    let got = parse("/api/00000003b4d60021/7f3a9c21e0b4d655", Some(("x-timeout-ms", "30"))).unwrap();
    assert!(got.answer_by >= before + Duration::from_millis(27));
}

#[test]
fn the_malformed_part_of_a_request_is_named() {
    let path = "/api/00000003b4d60021/7f3a9c21e0b4d655";
    for (path, change, fault) in [
        ("/api/3/7f3a9c21e0b4d655", None, "path"),
        ("/api/00000003b4d60021/7f3a9c21e0b4d6zz", None, "path"),
        (path, Some((CLASS_HEADER, "none")), CLASS_HEADER),
        (path, Some((PLAN_HEADER, "")), PLAN_HEADER),
        (path, Some(("x-timeout-ms", "-4")), "x-timeout-ms"),
        (path, Some(("x-request-id", "")), "x-request-id"),
        (path, Some(("x-request-id", "a b")), "x-request-id"),
        (path, Some((EXTENT_HEADER, "units=2,hosts=3")), EXTENT_HEADER),
        (path, Some((EXTENT_HEADER, "units=2,shard=-2,hosts=3")), EXTENT_HEADER),
        (path, Some((EXTENT_HEADER, "units=inf,shard=1,hosts=3")), EXTENT_HEADER),
    ] {
        assert_eq!(parse(path, change), Err(Malformed(fault)), "{path} {change:?}");
    }
    assert_eq!(parse_extent("hosts=1,units=0.5,shard=-1,later=x9").map(|e| e.1), None);
    assert_eq!(parse_extent("hosts=1,units=0.5,shard=-1"), Some((0.5, None, 1.0)));
}
