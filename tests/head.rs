//! The built head on real sockets: one test for each rule of the platform's protocol.

#![allow(clippy::unwrap_used, clippy::expect_used, reason = "a test fails by a panic")]

use pathbank::rehearsal::stage::{Discovery, Head, HttpClient, Setup, Site, entry};
use pathbank::rehearsal::storage_node::{Act, Seen, StandInNode, answer};
use pathbank::rehearsal::{header, wait_for};
use serde_json::json;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::Path;
use std::sync::mpsc::channel;
use std::time::Duration;

struct Stage {
    storage_node: StandInNode,
    discovery: Discovery,
    head: Head,
}

/// Far more than a test takes, in milliseconds.
const LONG: u64 = 3_600_000;

fn stage(sockets: usize) -> Stage {
    stage_with(Setup { sockets, ..Setup::default() })
}

fn stage_with(setup: Setup) -> Stage {
    let storage_node = StandInNode::start("b-1").unwrap();
    let nodes = vec![entry("s-1", storage_node.address, 0, "in_service")];
    let discovery = Discovery::start(nodes.clone()).unwrap();
    // A port where nothing listens, and that the system gives to nobody.
    let address = if setup.watched { discovery.address } else { SocketAddr::from(([127, 0, 0, 1], 1)) };
    let head = Head::start(Path::new(env!("CARGO_BIN_EXE_pathbank")), &setup, address, nodes).unwrap();
    Stage { storage_node, discovery, head }
}

impl Stage {
    fn client(&self) -> HttpClient {
        HttpClient::connect(self.head.http).unwrap()
    }

    /// The next request that came whole to the node.
    fn taken(&self) -> (String, Vec<u8>) {
        match wait_for(&self.storage_node.seen, "a request", |s| matches!(s, Seen::Request { .. })).unwrap() {
            Seen::Request { head, body } => (head, body),
            other => panic!("{other:?}"),
        }
    }

    fn count(&self, fits: impl Fn(&Seen) -> bool) -> usize {
        self.storage_node.seen.try_iter().filter(|seen| fits(seen)).count()
    }

    fn requests(&self) -> usize {
        self.count(|seen| matches!(seen, Seen::Request { .. }))
    }
}

#[test]
fn a_request_passes_on_unchanged_and_so_does_its_answer() {
    let stage = stage(1024);
    let mut client = stage.client();
    stage.storage_node.next(Act::Answer(answer(
        "200 OK",
        "X-Server-Load: inflight=7,queue=2\r\nX-Meter: 85\r\n",
        "a body",
    )));
    client.send("receipt-write", LONG, "Idempotency-Key: k-1\r\n", b"data").unwrap();
    let (status, _, body) = client.receive().unwrap();
    assert_eq!((status, &body[..]), (200, &b"a body"[..]));
    let (head, body) = stage.taken();
    assert!(head.starts_with("PUT /api/00000003b4d60021/7f3a9c21e0b4d655?q=1 HTTP/1.1\r\n"), "{head}");
    assert_eq!(header(&head, "x-request-id"), Some(&client.id[..]));
    assert_eq!(header(&head, "idempotency-key"), Some("k-1"));
    assert_eq!(body, b"data");
    let wait: u64 = header(&head, "x-timeout-ms").unwrap().parse().unwrap();
    assert!((1..LONG).contains(&wait));
}

#[test]
fn bad_clients_get_an_error_or_a_close_and_reach_no_node() {
    let stage = stage(1024);
    let (release, held) = channel();
    stage.storage_node.next(Act::Hold(held));
    let mut usual = stage.client();
    usual.send("token-read", LONG, "", b"").unwrap();
    stage.taken();
    let open = format!("X-Request-ID: {}\r\n", usual.id);
    let other = "X-Request-ID: x\r\n";
    let hidden = b"1\r\nx\r\n0\r\n\r\nGET /api/1 HTTP/1.1\r\n\r\n";
    for (headers, body, status) in [
        ("", &b""[..], 400),
        (&open, b"", 409),
        (&format!("{open}{other}"), b"", 400),
        (&format!("{other}X-Timeout-Ms: 5\r\n"), b"", 400),
        (&format!("{other}Content-Length: 5\r\nTransfer-Encoding: chunked\r\n"), hidden, 400),
        (&format!("{other}Transfer-Encoding: chunked\r\nContent-Length: 5\r\n"), hidden, 400),
        (&format!("{other}Content-Length: 1\r\nContent-Length: 2\r\n"), b"xx", 400),
        (&format!("{other}Content-Length: -1\r\n"), b"xx", 400),
        (&format!("{other}Content-Length: 60000000\r\n"), b"xx", 413),
        (&format!("{other}Content-Length: 99999999999999999999\r\n"), b"xx", 400),
        (&"X-Fill: 0123456789abcdef\r\n".repeat(1000), b"", 431),
    ] {
        let mut client = stage.client();
        client.send_bare("token-read", LONG, headers, body).unwrap();
        // What is refused with something unread behind it may end in a reset instead.
        if let Ok((got, head, _)) = client.receive() {
            assert_eq!((got, header(&head, "connection")), (status, Some("close")), "{headers}");
        }
        assert!(!matches!(client.stream.read(&mut [0]), Ok(1..)), "{headers}");
    }
    drop(release);
    assert_eq!(usual.receive().unwrap().0, 200);
    assert_eq!(stage.requests(), 0);
}

#[test]
fn a_spoilt_answer_has_failed_and_its_connection_is_done_with() {
    let good = answer("200 OK", "", "good");
    let with = |headers: &str| format!("HTTP/1.1 200 OK\r\n{headers}\r\ngood");
    let endless = "X-Fill: 0123456789abcdef\r\n".repeat(2000);
    for text in [
        "noise\0\r\n\r\n".to_string(),
        "HTTP/1.1 200 OK\r\nno field\r\n\r\n".to_string(),
        format!("HTTP/1.1 200 OK\r\n{endless}"),
        "HTTP/1.1 200 OK\r\nX-Never: ending".to_string(),
        with(""),
        with("Content-Length: 9\r\n"),
        with("Content-Length: -4\r\n"),
        with("Content-Length: 4\r\nContent-Length: 5\r\n"),
        with("Content-Length: 4\r\nTransfer-Encoding: chunked\r\n"),
        with("Transfer-Encoding: chunked\r\n"),
        with("Content-Length: 3221225472\r\n"),
        answer("503 Service Unavailable", "X-Not-Processed: 1\r\n", "x")
            .replace(": 1\r\n\r\n", ": 9\r\n\r\n"),
        "HTTP/1.1 100 Continue\r\n\r\n".repeat(10_000) + &good,
    ] {
        let stage = stage(1024);
        let shown = &text[..text.len().min(60)];
        stage.storage_node.next(Act::Answer(text.clone()));
        // It may have run: the class decides whether it is repeated, on a new connection.
        let mut client = stage.client();
        assert_eq!(client.ask("once", LONG, b"data").unwrap().0, 502, "{shown}");
        assert_eq!(client.ask("once", LONG, b"data").unwrap().2, b"b-1", "{shown}");
        stage.storage_node.next(Act::Answer(text.clone()));
        assert_eq!(client.ask("token-read", LONG, b"").unwrap().2, b"b-1", "{shown}");
        assert_eq!(stage.count(|seen| *seen == Seen::Connected), 3, "{shown}");
    }
}

#[test]
fn what_belongs_to_no_answer_is_left_out_and_the_answer_kept() {
    let good = answer("200 OK", "", "good");
    for (text, connections) in [
        (format!("{good}{good}"), 2),
        (format!("{good}noise"), 2),
        (format!("HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n{good}"), 1),
        (answer("200 OK", "X-Server-Load: \u{fc}=,queue=x\r\nX-Meter: lots\r\n", "good"), 1),
        ("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\ngood\r\n0\r\n\r\n".to_string(), 1),
        (answer("200 OK", "Connection: close\r\n", "good"), 2),
    ] {
        let stage = stage(1024);
        stage.storage_node.next(Act::Answer(text.clone()));
        let mut client = stage.client();
        assert_eq!(client.ask("once", LONG, b"data").unwrap().2, b"good", "{text}");
        assert_eq!(client.ask("once", LONG, b"data").unwrap().2, b"b-1", "{text}");
        assert_eq!(stage.count(|seen| *seen == Seen::Connected), connections, "{text}");
    }
}

#[test]
fn consecutive_requests_share_one_connection_to_the_node() {
    let stage = stage(1024);
    let mut client = stage.client();
    for _ in 0..5 {
        assert_eq!(client.ask("token-read", LONG, b"").unwrap().0, 200);
    }
    assert_eq!(stage.count(|seen| *seen == Seen::Connected), 1);
}

#[test]
fn malformed_or_too_long_requests_are_answered_without_a_node() {
    let stage = stage(1024);
    assert_eq!(stage.client().ask("none", LONG, b"").unwrap().0, 400);
    let mut client = stage.client();
    client.stream.write_all(b"GET /api/x HTTP/1.1\r\nHost: x\r\n\r\n").unwrap();
    assert_eq!(client.receive().unwrap().0, 400);
    let mut up = stage.client();
    up.stream.write_all(b"GET /up HTTP/1.1\r\nHost: x\r\n\r\n").unwrap();
    assert_eq!(up.receive().unwrap().0, 200);
    assert_eq!(stage.requests(), 0);
}

#[test]
fn a_broken_attempt_is_repeated_only_as_its_class_allows() {
    let half = "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhalf";
    let never = answer("503 Service Unavailable", "X-Not-Processed: 1\r\n", "");
    for (class, act, status, sent) in [
        ("token-read", Act::Cut(String::new()), 200, 2),
        ("receipt-write", Act::Cut(String::new()), 200, 2),
        ("once", Act::Cut(String::new()), 502, 1),
        ("once", Act::Cut(half.to_string()), 502, 1),
        ("once", Act::Answer(answer("500 Internal Server Error", "", "")), 502, 1),
        ("once", Act::Answer(answer("503 Service Unavailable", "", "")), 502, 1),
        ("once", Act::Answer(never), 200, 2),
    ] {
        let stage = stage(1024);
        stage.storage_node.next(act);
        assert_eq!(stage.client().ask(class, LONG, b"data").unwrap().0, status, "{class}");
        assert_eq!(stage.requests(), sent, "{class}");
    }
}

#[test]
fn a_connection_closed_while_idle_never_makes_a_second_attempt() {
    let stage = stage(1024);
    for _ in 0..20 {
        stage.storage_node.next(Act::Cut(answer("200 OK", "", "")));
        assert_eq!(stage.client().ask("token-read", LONG, b"").unwrap().0, 200);
        assert_eq!(stage.requests(), 1);
        // The close may cross the next request: then it may have run, and fails; else it goes to a new
        // connection.
        let (status, ..) = stage.client().ask("once", LONG, b"data").unwrap();
        assert_eq!(stage.requests(), usize::from(status == 200), "{status}");
    }
}

#[test]
fn a_draining_node_gets_nothing_new_and_the_refusal_has_a_retry_time() {
    let stage = stage(1024);
    stage.discovery.tell(entry("s-1", stage.storage_node.address, 0, "terminating")).unwrap();
    stage.head.logged("state=\"Draining\"").unwrap();
    let (status, head, _) = stage.client().ask("token-read", 1000, b"").unwrap();
    assert_eq!(status, 503);
    assert!(HttpClient::retry_after(&head).unwrap() > 0.0, "{head}");
    assert_eq!(stage.requests(), 0);
}

#[test]
fn a_silent_node_means_an_answer_from_the_proxy() {
    let stage = stage(1024);
    let (release, held) = channel();
    stage.storage_node.next(Act::Hold(held));
    assert_eq!(stage.client().ask("once", 2000, b"data").unwrap().0, 502);
    stage.taken();
    // The node comes to its answer now, and finds that the head has closed the connection.
    drop(release);
    wait_for(&stage.storage_node.seen, "the attempt given up", |seen| *seen == Seen::Closed).unwrap();
    assert_eq!(stage.requests(), 0);
}

#[test]
fn beyond_its_room_the_head_refuses_at_once_and_lets_the_connection_go() {
    let stage = stage(20);
    let mut releases = Vec::new();
    for _ in 0..4 {
        let (release, held) = channel();
        stage.storage_node.next(Act::Hold(held));
        releases.push(release);
    }
    // Room for nine: of ten requests that no node answers, one is refused, whichever came last.
    let (sender, answers) = channel();
    for _ in 0..10 {
        let (mut client, sender) = (stage.client(), sender.clone());
        std::thread::spawn(move || sender.send(client.ask("token-read", LONG, b"").unwrap()));
    }
    let (status, head, _) = wait_for(&answers, "the refusal", |_| true).unwrap();
    assert_eq!((status, header(&head, "connection")), (503, Some("close")));
    assert!(HttpClient::retry_after(&head).unwrap() > 0.0);
    releases.clear();
    for _ in 0..9 {
        assert_eq!(wait_for(&answers, "an answer", |_| true).unwrap().0, 200);
    }
}

#[test]
fn clients_that_leave_free_their_places() {
    let stage = stage(20);
    let (release, held) = channel();
    stage.storage_node.next(Act::Hold(held));
    let mut clients: Vec<HttpClient> = (0..9).map(|_| stage.client()).collect();
    for client in &mut clients {
        client.send("token-read", LONG, "", b"").unwrap();
    }
    stage.taken();
    drop(clients);
    drop(release);
    // Until the head has seen that they are gone it may refuse.
    let served = (0..10_000).any(|_| stage.client().ask("token-read", LONG, b"").unwrap().0 == 200);
    assert!(served);
}

#[test]
fn a_probe_asks_a_node_for_its_load_under_no_clients_id() {
    let stage = stage_with(Setup { crowd: true, ..Setup::default() });
    let mut client = stage.client();
    assert_eq!(client.ask("token-read", LONG, b"").unwrap().0, 200);
    let mut heads = [stage.taken().0, stage.taken().0];
    heads.sort_by_key(|head| head.starts_with("GET /metrics/load HTTP/1.1\r\n"));
    assert_eq!(header(&heads[0], "x-request-id"), Some(&client.id[..]));
    assert!(heads[1].starts_with("GET /metrics/load "), "{heads:?}");
    assert_eq!(header(&heads[1], "x-request-id"), None);
}

#[test]
fn an_idle_connection_is_closed_by_the_proxy_before_the_node_would() {
    let stage = stage_with(Setup { keepalive: Duration::from_secs(1), ..Setup::default() });
    assert_eq!(stage.client().ask("token-read", LONG, b"").unwrap().0, 200);
    wait_for(&stage.storage_node.seen, "the idle connection's end", |seen| *seen == Seen::Closed).unwrap();
}

#[test]
fn without_discovery_the_list_that_was_known_serves() {
    let stage = stage_with(Setup { watched: false, ..Setup::default() });
    assert_eq!(stage.client().ask("token-read", LONG, b"").unwrap().0, 200);
    stage.head.logged(" WATCH_BROKE ").unwrap();
}

/// What a silent watch misses counts as told 6 s after it fell silent, heard of or not; sends may go on for 1
/// s then.
#[test]
fn an_overdue_list_gives_no_node_work_until_it_is_renewed() {
    let stage = stage_with(Setup { site: Site::Asked, ..Setup::default() });
    let mut client = stage.client();
    assert_eq!(client.ask("token-read", LONG, b"").unwrap().0, 200);
    stage.discovery.fall_silent();
    stage.discovery.fall_deaf(true);
    stage.head.logged("silent past its beat").unwrap();
    assert_eq!(client.ask("token-read", LONG, b"").unwrap().0, 200, "the list is still good");
    stage.head.logged(" LIST_OVERDUE ").unwrap();
    assert_eq!(stage.requests(), 2);
    let (status, head, _) = client.ask("token-read", 2_000, b"").unwrap();
    assert_eq!(status, 503, "{head}");
    assert!(HttpClient::retry_after(&head).is_some(), "{head}");
    assert_eq!(stage.requests(), 0, "a node got work by an overdue list");
    stage.discovery.fall_deaf(false);
    stage.head.logged(" LIST_RENEWED ").unwrap();
    assert_eq!(client.ask("token-read", LONG, b"").unwrap().0, 200);
}

#[test]
fn a_silent_watch_is_broken_and_asked_for_again() {
    // Asked for by the module where discovery is asked, kept up unasked where lists are pushed.
    let stages = Site::ALL.map(|site| stage_with(Setup { site, ..Setup::default() }));
    for stage in &stages {
        stage.discovery.watches.recv().unwrap();
        stage.discovery.fall_silent();
    }
    for stage in &stages {
        stage.head.logged("silent past its beat").unwrap();
        wait_for(&stage.discovery.watches, "a second watch", |()| true).unwrap();
    }
}

#[test]
fn after_sigterm_what_is_held_is_finished_and_the_program_exits_in_order() {
    let mut stage = stage(1024);
    let (release, held) = channel();
    stage.storage_node.next(Act::Hold(held));
    let (mut client, _idle) = (stage.client(), stage.client());
    client.send("token-read", LONG, "", b"").unwrap();
    stage.taken();
    stage.head.terminate().unwrap();
    stage.head.logged(" LEAVING ").unwrap();
    drop(release);
    assert_eq!(client.receive().unwrap().0, 200);
    // The clients that there are go on being served, in as many requests as they like.
    for _ in 0..5 {
        assert_eq!(client.ask("token-read", LONG, b"").unwrap().0, 200);
    }
    assert_eq!(stage.head.ended().unwrap().code(), Some(0));
}

#[test]
fn each_sighup_moves_the_watch_and_loses_nothing() {
    for site in Site::ALL {
        sighups_move_the_watch(stage_with(Setup { site, ..Setup::default() }));
    }
}

fn sighups_move_the_watch(stage: Stage) {
    let (release, held) = channel();
    stage.storage_node.next(Act::Hold(held));
    let mut client = stage.client();
    client.send("token-read", LONG, "", b"").unwrap();
    stage.taken();
    let node = || entry("s-1", stage.storage_node.address, 0, "in_service");
    let mut places = Vec::new();
    for _ in 0..3 {
        let place = Discovery::start(vec![node()]).unwrap();
        stage.head.reload("discovery", json!(place.address)).unwrap();
        wait_for(&place.watches, "the watch at the new address", |()| true).unwrap();
        stage.head.logged(" WATCH ").unwrap();
        places.push(place);
    }
    // What the last one tells is heard, and what was open all the while is answered.
    places[2].tell(entry("s-1", stage.storage_node.address, 0, "terminating")).unwrap();
    stage.head.logged("state=\"Draining\"").unwrap();
    drop(release);
    assert_eq!(client.receive().unwrap().0, 200);
    assert_eq!(client.ask("token-read", 1000, b"").unwrap().0, 503);
}

#[test]
fn a_bad_new_configuration_is_named_and_changes_nothing() {
    let stage = stage(1024);
    for (key, fault) in [("discovery", "key discovery of the configuration"), ("settings", "settings")] {
        stage.head.reload(key, json!("nonsense")).unwrap();
        let line = stage.head.logged(" RELOAD_FAILED ").unwrap();
        assert!(line.contains(fault), "{line}");
    }
    stage.discovery.tell(entry("s-1", stage.storage_node.address, 0, "terminating")).unwrap();
    stage.head.logged("state=\"Draining\"").unwrap();
}

#[test]
fn a_sighup_while_the_head_leaves_does_not_hurry_it() {
    let mut stage = stage(1024);
    let (release, held) = channel();
    stage.storage_node.next(Act::Hold(held));
    let mut client = stage.client();
    client.send("token-read", LONG, "", b"").unwrap();
    stage.taken();
    stage.head.terminate().unwrap();
    stage.head.logged(" LEAVING ").unwrap();
    stage.head.reload("discovery", json!("127.0.0.1:1")).unwrap();
    stage.head.logged(" RELOADED ").unwrap();
    drop(release);
    assert_eq!(client.receive().unwrap().0, 200);
    assert_eq!(stage.head.ended().unwrap().code(), Some(0));
}

#[test]
fn clients_that_say_nothing_or_stay_for_good_cost_nobody_a_place() {
    let stage = stage(40);
    // Many more than the head has places for, none of which ever closes.
    let silent: Vec<HttpClient> = (0..100).map(|_| stage.client()).collect();
    let stayed: Vec<HttpClient> = (0..100)
        .map(|_| {
            let mut client = stage.client();
            assert_eq!(client.ask("token-read", LONG, b"").unwrap().0, 200);
            client
        })
        .collect();
    drop((silent, stayed));
}

#[test]
fn a_request_that_never_comes_whole_ends_with_its_connection() {
    let stage = stage(1024);
    let put = "PUT /api/00000003b4d60021/7f3a9c21e0b4d655 HTTP/1.1\r\nHost: x\r\n";
    for begun in ["", put] {
        let mut client = stage.client();
        client.stream.write_all(begun.as_bytes()).unwrap();
        assert_eq!(client.stream.read(&mut [0]).unwrap(), 0);
    }
    assert_eq!(stage.requests(), 0);
}

/// One of 1,024 heads, on a list of 1,024 nodes that comes indented; then a list beyond any bound, and one
/// that stalls.
#[test]
fn a_long_indented_list_is_served_and_what_cannot_be_read_leaves_it_in_force() {
    let storage_node = StandInNode::start("b-1").unwrap();
    let discovery = TcpListener::bind("127.0.0.1:0").unwrap();
    let place = discovery.local_addr().unwrap();
    let setup = Setup { site: Site::Asked, watched: false, heads: 1024, ..Setup::default() };
    let head = Head::start(Path::new(env!("CARGO_BIN_EXE_pathbank")), &setup, place, Vec::new()).unwrap();
    let called = || called(&discovery);
    let nodes: Vec<_> =
        (0..1024).map(|n| entry(&format!("s-{n}"), storage_node.address, n, "in_service")).collect();
    let list = json!({"version": 7, "full": true, "servers": nodes});
    let text = format!("{}\n", serde_json::to_string_pretty(&list).unwrap());
    // A client of its own each time: an idle one is asked to go while the head waits for its turn to call.
    let ask = || HttpClient::connect(head.http).unwrap().ask("token-read", LONG, b"").unwrap().0;
    let mut watch = called();
    write!(watch, "{:x}\r\n{text}\r\n", text.len()).unwrap();
    head.logged(" WATCH ").unwrap();
    assert_eq!(ask(), 200);
    let endless = format!("{{\"version\":{}", "8".repeat(1024 * 1024));
    // The head may break it before all is written.
    let _ = write!(watch, "{:x}\r\n{endless}\r\n", endless.len());
    head.logged("a list is too long").unwrap();
    assert_eq!(ask(), 200);
    let mut watch = called();
    write!(watch, "{:x}\r\n{}\r\n", 1000, &text[..1000]).unwrap();
    head.logged("a call got no list in time").unwrap();
    // Of so many heads the call may have come when 6 s and the time to stop were over: then the list waits
    // for its renewal.
    assert!(matches!(ask(), 200 | 503));
    let mut watch = called();
    write!(watch, "{:x}\r\n{text}\r\n", text.len()).unwrap();
    head.logged(" WATCH ").unwrap();
    assert_eq!(ask(), 200);
}

/// The next watch that is asked for, before its first list.
fn called(discovery: &TcpListener) -> TcpStream {
    let mut watch = discovery.accept().unwrap().0;
    let (mut asked, mut byte) = (Vec::new(), [0]);
    while !asked.ends_with(b"\r\n\r\n") {
        watch.read_exact(&mut byte).unwrap();
        asked.push(byte[0]);
    }
    watch.write_all(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n").unwrap();
    watch
}

#[test]
fn what_the_old_watch_tells_while_the_new_one_opens_counts() {
    let storage_node = StandInNode::start("b-1").unwrap();
    let places = [(); 2].map(|()| TcpListener::bind("127.0.0.1:0").unwrap());
    let place = |n: usize| places[n].local_addr().unwrap();
    let setup = Setup { site: Site::Asked, watched: false, ..Setup::default() };
    let head = Head::start(Path::new(env!("CARGO_BIN_EXE_pathbank")), &setup, place(0), Vec::new()).unwrap();
    let tell = |watch: &mut TcpStream, full: bool, state: &str| {
        let nodes = [entry("s-1", storage_node.address, 0, state)];
        let text =
            format!("{}\n", json!({"version": if full { 1 } else { 2 }, "full": full, "servers": nodes}));
        write!(watch, "{:x}\r\n{text}\r\n", text.len()).unwrap();
    };
    let mut old = called(&places[0]);
    tell(&mut old, true, "in_service");
    head.logged(" WATCH ").unwrap();
    let ask = |wait| HttpClient::connect(head.http).unwrap().ask("token-read", wait, b"").unwrap().0;
    assert_eq!(ask(LONG), 200);
    head.reload("discovery", json!(place(1))).unwrap();
    let _opens = called(&places[1]);
    tell(&mut old, false, "terminating");
    head.logged("state=\"Draining\"").unwrap();
    assert_eq!(ask(500), 503);
}
