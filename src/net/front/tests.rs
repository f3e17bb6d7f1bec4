use super::*;
use crate::classes::Numbers;
use crate::clock::Clock;
use crate::config::{ClientLimits, Names, NodeLimits};
use crate::core::Core;
use crate::interface::Settings;
use crate::life::SERVING;

fn front(handle: &Handle, phase: watch::Receiver<Phase>) -> (Front, Slots) {
    let times = Duration::from_secs(1);
    let front = Front {
        handle: handle.clone(),
        back: Back::new(NodeLimits { most: 4, idle: times, connect: times }, handle.part()),
        names: watch::channel(Arc::default()).1,
        answer_margin: times,
        phase,
        bodies: Arc::new(Semaphore::new(0)),
        uploads: Arc::new(Semaphore::new(0)),
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

/// The system has let them in; closed with the listener they would be reset.
#[test]
fn who_waits_in_the_listeners_queue_as_it_closes_is_served() {
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

/// It is accepted while every place is held, and the head ceases to accept before it has one.
#[test]
fn who_was_accepted_and_waits_for_a_place_as_the_phase_changes_is_served() {
    use tokio::io::{AsyncReadExt, AsyncWriteExt};
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
    runtime.block_on(async {
        let (core, _wanted) = Core::new(Settings::default(), 7, 10, Clock::start());
        let (phase, watched) = watch::channel(SERVING);
        let (front, slots) = front(&core.handle(), watched);
        // Places that nobody can be told to leave.
        let mut held = Vec::new();
        for _ in 0..4 {
            let slot = slots.take().await;
            slot.waiting();
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
        phase.send_replace(Phase { accept: false, last: true, close: true, ..SERVING });
        // Every task has its turn while nothing is free.
        for _ in 0..100 {
            tokio::task::yield_now().await;
        }
        assert!(!serving.is_finished(), "it has no place yet");
        held.pop();
        let mut answer = String::new();
        client.read_to_string(&mut answer).await.unwrap();
        assert!(answer.starts_with("HTTP/1.1 200"), "{answer:?}");
        serving.await.unwrap();
        drop(held);
        slots.empty().await;
    });
}

/// The system has it, and the runtime has not looked: told to go, the connection would throw it away.
#[test]
fn a_request_in_the_systems_buffer_is_seen_as_its_connection_is_told_to_close() {
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
        assert!(half_way(&slot, &presence), "its first request has not come yet");
        slot.answered();
        assert!(!half_way(&slot, &presence), "it rests");
        client.write_all(b"GET /up HTTP/1.1\r\nHost: x\r\n\r\n").unwrap();
        // No turn of the runtime from here on; loopback has it at once or very soon.
        let since = std::time::Instant::now();
        while !half_way(&slot, &presence) {
            assert!(since.elapsed() < Duration::from_secs(20), "the system never told of it");
        }
    });
}

#[test]
fn while_it_leaves_the_head_takes_nobody_new_and_serves_who_is_there_until_it_closes() {
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
        // Half a request crosses the end: it is still read, and its answer is the last.
        busy.write_all(b"GET /x HTTP/1.1\r\n").await.unwrap();
        while slots.idle() > 1 {
            tokio::task::yield_now().await;
        }
        phase.send_replace(Phase { accept: false, last: true, close: true, ..SERVING });
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
    (CLASS, "checkout"),
    (PLAN, "gold"),
    ("x-timeout-ms", "480"),
    (EXTENT, "units=2,shard=5,hosts=3"),
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
    read(&head, &names, Instant::now(), Duration::from_millis(5))
}

#[test]
fn a_request_as_the_protocol_has_it_is_read_whole() {
    let got = parse("/api/00000003b4d60021/7f3a9c21e0b4d655", None).unwrap();
    assert_eq!((got.volume, got.key), (0x3_b4d6_0021, 0x7f3a_9c21_e0b4_d655));
    assert_eq!((got.class, got.plan, got.units, got.shard, got.volume_hosts), (0, 1, 2.0, Some(5), 3.0));
    assert!(got.answer_by <= Instant::now() + Duration::from_millis(475));
    // A client that waits for a short time keeps nine tenths of it.
    let before = Instant::now();
    let got = parse("/api/00000003b4d60021/7f3a9c21e0b4d655", Some(("x-timeout-ms", "30"))).unwrap();
    assert!(got.answer_by >= before + Duration::from_millis(27));
}

#[test]
fn what_is_malformed_is_named() {
    let path = "/api/00000003b4d60021/7f3a9c21e0b4d655";
    for (path, change, fault) in [
        ("/api/3/7f3a9c21e0b4d655", None, "path"),
        ("/api/00000003b4d60021/7f3a9c21e0b4d6zz", None, "path"),
        (path, Some((CLASS, "none")), CLASS),
        (path, Some((PLAN, "")), PLAN),
        (path, Some(("x-timeout-ms", "-4")), "x-timeout-ms"),
        (path, Some(("x-request-id", "")), "x-request-id"),
        (path, Some(("x-request-id", "a b")), "x-request-id"),
        (path, Some((EXTENT, "units=2,hosts=3")), EXTENT),
        (path, Some((EXTENT, "units=2,shard=-2,hosts=3")), EXTENT),
        (path, Some((EXTENT, "units=inf,shard=1,hosts=3")), EXTENT),
    ] {
        assert_eq!(parse(path, change), Err(Malformed(fault)), "{path} {change:?}");
    }
    assert_eq!(extent("hosts=1,units=0.5,shard=-1,later=x9").map(|e| e.1), None);
    assert_eq!(extent("hosts=1,units=0.5,shard=-1"), Some((0.5, None, 1.0)));
}
