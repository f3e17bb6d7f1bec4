//! Model servers that answer early, twice, partly or to another request, and requests that may not run twice.
//! Each case is forced on real sockets, at the connection pool and through a whole edge.

#![allow(clippy::unwrap_used, clippy::expect_used, reason = "a test fails by a panic")]

#[path = "../common/mod.rs"]
mod common;
mod report_server;
mod scripted;

use bytes::Bytes;
use common::{Answer, System, call, until};
use hyper::Request;
use pathbank_control::autoscaling::ScaleOrder;
use pathbank_system::clock;
use pathbank_system::core::lease::{LeaderCalls, LeaseExpiry, LeaseGuard};
use pathbank_system::core::orders::fetch_report;
use pathbank_system::core::singleton_roles::{order_servers, report_usage};
use pathbank_system::memory::held_body::HeldBody;
use pathbank_system::net::client::ConnectionPool;
use report_server::ReportServer;
use scripted::{Scripted, Seen, Step, answer};
use std::collections::BTreeMap;
use std::net::{IpAddr, Ipv4Addr};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::time::Duration;
use test_case::test_case;

const LOCALHOST: IpAddr = IpAddr::V4(Ipv4Addr::LOCALHOST);
const CALL_WITHIN: Duration = Duration::from_secs(5);

fn request(id: &str) -> Request<HeldBody> {
    let request = Request::post("/app/x").header("host", "any").header("x-pathbank-request-id", id);
    request.body(HeldBody::from(Bytes::from_static(b"body"))).unwrap()
}

fn lease_guard() -> LeaseGuard {
    let lease = Arc::new(LeaseExpiry::default());
    lease.extend(clock::now() + 60_000);
    LeaseGuard {
        lease_holder: "core-1".into(),
        fencing_token: 7,
        lease,
        revoked: Arc::default(),
        calls: LeaderCalls::default(),
    }
}

fn runtime() -> tokio::runtime::Runtime {
    tokio::runtime::Builder::new_multi_thread().worker_threads(2).enable_all().build().unwrap()
}

fn text(answer: Option<(u16, Bytes)>) -> Option<String> {
    answer.map(|(_, body)| String::from_utf8_lossy(&body).into_owned())
}

// ---- the connection pool ----

/// A call that must not be made twice, whose answer breaks off after each number of bytes.
#[test_case(Step::ResetAfter; "by a reset")]
#[test_case(Step::CloseAfter; "by a close")]
fn a_call_whose_answer_breaks_off_at_any_byte_is_made_once(step: fn(usize) -> Step) {
    let server = Scripted::start(LOCALHOST);
    let pool = ConnectionPool::default();
    runtime().block_on(async {
        for count in 0..answer("id-100").len() {
            let id = format!("id-{}", 100 + count);
            server.script([step(count)]);
            assert_eq!(text(pool.call_once(server.address, request(&id), CALL_WITHIN, || true).await), None);
            assert_eq!(server.times_seen(&id), 1, "broken off after {count} bytes");
            server.script([Step::Answer, step(count)]);
            // The same on a connection from the pool.
            assert!(pool.call(server.address, request("before"), CALL_WITHIN).await.is_some());
            let reused = format!("reused-{count}");
            assert_eq!(text(pool.call(server.address, request(&reused), CALL_WITHIN).await), None);
            assert_eq!(server.times_seen(&reused), 1, "on a reused connection, after {count} bytes");
        }
    });
}

#[test]
fn a_pooled_connection_that_was_closed_is_replaced_and_the_call_made_once() {
    let server = Scripted::start(LOCALHOST);
    let pool = ConnectionPool::default();
    runtime().block_on(async {
        for round in 0..20 {
            server.script([Step::AnswerAndClose]);
            assert!(pool.call(server.address, request("before"), CALL_WITHIN).await.is_some());
            // The close may have arrived by then or not.
            tokio::time::sleep(Duration::from_millis(round)).await;
            let id = format!("id-{round}");
            let answered = text(pool.call(server.address, request(&id), CALL_WITHIN).await);
            assert!(answered.is_none_or(|body| body == format!("answer to {id}")));
            assert!(server.times_seen(&id) <= 1);
        }
    });
}

#[test]
fn a_call_that_must_be_made_once_uses_a_new_connection() {
    let server = Scripted::start(LOCALHOST);
    let pool = ConnectionPool::default();
    runtime().block_on(async {
        server.script([Step::AgainLater(Duration::from_millis(40))]);
        assert!(pool.call(server.address, request("first"), CALL_WITHIN).await.is_some());
        let answered = text(pool.call_once(server.address, request("order"), CALL_WITHIN, || true).await);
        assert_eq!(answered.as_deref(), Some("answer to order"));
    });
    let seen = server.seen();
    assert_ne!(seen[0].connection, seen[1].connection);
}

// Usage counted as accepted when the platform had answered the call before twice.
#[test]
fn a_second_answer_of_the_platform_does_not_confirm_the_next_call() {
    let platform = Scripted::start(LOCALHOST);
    let pool = ConnectionPool::default();
    let guard = lease_guard();
    platform.script([Step::AgainLater(Duration::from_millis(40))]);
    runtime().block_on(async {
        for window in [1, 2] {
            let counts = BTreeMap::from([("tenant-1".to_owned(), window)]);
            let outcome = report_usage(pool.clone(), platform.address, window, counts, guard.clone()).await;
            assert!(outcome.is_accepted());
        }
    });
    let connections: Vec<usize> = platform.seen().iter().map(|seen| seen.connection).collect();
    assert_eq!(connections, [0, 1], "each call is seen, on a connection of its own");
}

/// Guards against a leader that hands over while a call to the platform may still arrive.
#[test]
fn a_call_to_the_platform_is_settled_by_its_answer_also_by_one_that_comes_late() {
    let (guard, begun) = (lease_guard(), clock::now());
    let calls = guard.calls.clone();
    let platform = Scripted::start(LOCALHOST);
    platform.script([Step::Late(Duration::from_millis(2_700))]);
    let order = ScaleOrder { backend: "llm".into(), zone: "z1".into(), desired_count: 2 };
    runtime().block_on(async {
        let outcome = order_servers(ConnectionPool::default(), platform.address, &order, guard).await;
        assert!(!outcome.is_accepted(), "given up before the answer");
        assert!(!calls.are_settled(begun), "not answered yet");
        until("the late answer settles it", || calls.are_settled(begun));
    });
}

/// Bodies that are no report: what they lack would have counted as none.
#[test]
fn an_answer_that_is_no_report_is_not_believed_and_its_connection_not_reused() {
    let report = r#"{"phase":"decode","models":[],"busy":false,"sequence":3,"queued":0,"active":0}"#;
    let garbage =
        ["", "{}", "[]", "garbage", r#"{"models":[],"busy":false}"#, r#"{"models":[],"sequence":1}"#];
    for body in garbage {
        let server = ReportServer::start([body, report]);
        let pool = ConnectionPool::default();
        let sequences = runtime().block_on(async {
            let mut sequences = Vec::new();
            for _ in 0..3 {
                let report = fetch_report(&pool, server.address, "i-1").await;
                sequences.push(report.map(|report| report.sequence));
            }
            sequences
        });
        assert_eq!(sequences, [None, Some(3), Some(3)], "{body}");
        let connections = server.connections();
        assert_eq!(connections.len(), 3, "{body}");
        assert!(!connections[1..].contains(&connections[0]), "{body}: {connections:?}");
    }
}

#[test]
fn no_request_is_written_once_may_send_returns_false() {
    let server = Scripted::start(LOCALHOST);
    let pool = ConnectionPool::default();
    let asked = AtomicU64::new(0);
    runtime().block_on(async {
        assert!(pool.call(server.address, request("before"), CALL_WITHIN).await.is_some());
        // Returns true for the first new connection and false for the second.
        let holds_once = || asked.fetch_add(1, Ordering::Relaxed) == 0;
        let never = pool.call_if(server.address, request("never"), CALL_WITHIN, || false).await;
        assert!(never.is_none());
        let once = pool.call_once(server.address, request("once"), CALL_WITHIN, holds_once).await;
        assert!(once.is_some());
        let late = pool.call_once(server.address, request("late"), CALL_WITHIN, holds_once).await;
        assert!(late.is_none());
    });
    assert_eq!(server.times_seen("never") + server.times_seen("late"), 0);
}

// ---- an edge ----

/// A scripted model server that keeps itself registered.
struct ModelServer {
    server: Scripted,
    stopped: Arc<AtomicBool>,
}

impl Drop for ModelServer {
    fn drop(&mut self) {
        self.stopped.store(true, Ordering::Relaxed);
    }
}

fn server(system: &System, instance: &str) -> ModelServer {
    let server = Scripted::start(system.ingress.ip());
    let stopped = Arc::new(AtomicBool::new(false));
    let (control, address, ends) = (system.control.clone(), server.address, stopped.clone());
    let path = format!("/api/instances/{instance}/heartbeat");
    let before = system.status(0).map_or(0, |status| status["bricks"].as_u64().unwrap_or(0));
    std::thread::spawn(move || {
        let mut sequence = 0;
        while !ends.load(Ordering::Relaxed) {
            sequence += 1;
            let body = format!(
                "{{\"backend\":\"app\",\"address\":\"{address}\",\"zone\":\"z1\",\"capacity\":4,\
                 \"state\":\"ready\",\"sequence\":{sequence}}}"
            );
            control.iter().any(|head| {
                call(*head, "POST", &path, &[], &body).is_some_and(|answer| answer.status == 200)
            });
            std::thread::sleep(Duration::from_millis(200));
        }
    });
    until("the model server is known", || {
        system.status(0).is_some_and(|status| status["bricks"].as_u64() > Some(before))
    });
    ModelServer { server, stopped }
}

/// A configuration with one backend: requests under /app/ may not be repeated, those under /again/ may.
fn configuration() -> String {
    let route = |name: &str, prefix: &str, kind: &str, attempts: u32| {
        serde_json::json!({ "name": name, "hostname": "shop.example", "path_prefix": prefix, "type": kind,
            "timeout_ms": 5000, "target_latency_ms": 500, "priority": 0, "backend": "app",
            "max_attempts": attempts, "public": true })
    };
    let routes = [route("r1", "/app/", "non_idempotent", 3), route("r2", "/again/", "idempotent", 3)];
    let limits = serde_json::json!({ "max_body_bytes": 4_000_000 });
    serde_json::json!({ "version": 3, "routes": routes, "backends": [{ "name": "app" }], "limits": limits })
        .to_string()
}

fn start_edge() -> System {
    let system = System::started();
    system.configure(0, &configuration());
    system.until_ready();
    system
}

/// Sends requests with new ids until one has reached the model server. Returns its id and the client's
/// answer. Checks that no refused request has reached the model server.
///
/// A 502 may come before the model server has read its request: if a second answer to an earlier request
/// arrives, the edge closes the connection while the model server is still busy. This function took such a
/// request for one that was never sent, and failed, twice in one run under load. The request was written, so
/// the function waits for it.
fn request_until_one_arrives(
    system: &System,
    server: &ModelServer,
    name: &str,
    body: &str,
) -> (String, Option<Answer>) {
    let mut refused: Vec<String> = Vec::new();
    for number in 0..1_000 {
        let id = format!("{name}-{number}");
        let answer = system.ask("/app/x", &id, "", &[], body);
        if answer.as_ref().is_some_and(|answer| [200, 502].contains(&answer.status)) {
            // An early answer may arrive before the model server has read the whole request, too.
            until("the model server has read the whole request", || server.server.times_seen(&id) > 0);
        }
        if server.server.times_seen(&id) > 0 {
            assert!(
                refused.iter().all(|id| server.server.times_seen(id) == 0),
                "none of the refused requests {refused:?} has run"
            );
            return (id, answer);
        }
        let answer = answer.expect("an answer, for no model server got the request");
        assert!(
            [429, 503].contains(&answer.status),
            "the request has not run, and the answer says so: {}",
            answer.status
        );
        refused.push(id);
        std::thread::sleep(Duration::from_millis(50));
    }
    panic!("no request reached the model server");
}

fn assert_next_requests_get_their_own_answers(system: &System, server: &ModelServer) {
    for number in 0..5 {
        let (id, answer) = request_until_one_arrives(system, server, &format!("next-{number}"), "hello");
        let answer = answer.expect("an answer");
        if answer.status == 200 {
            assert_eq!(answer.body, format!("answer to {id}"));
        }
    }
}

#[test_case(Step::ResetAfter(0), 502; "reset before the first byte")]
#[test_case(Step::ResetAfter(9), 502; "reset within the status line")]
#[test_case(Step::ResetAfter(140), 502; "reset within the body")]
#[test_case(Step::CloseAfter(0), 502; "closed before the first byte")]
#[test_case(Step::CloseAfter(140), 502; "closed within the body")]
fn a_non_idempotent_request_that_may_have_run_is_not_retried(step: Step, status: u16) {
    let system = start_edge();
    let first = server(&system, "i-1");
    let second = server(&system, "i-2");
    first.server.script([step.clone()]);
    second.server.script([step]);
    let times_seen = |id: &str| first.server.times_seen(id) + second.server.times_seen(id);
    let mut reached = false;
    for number in 0..1_000 {
        let id = format!("id-{number}");
        let answer = system.ask("/app/x", &id, "", &[], "hello").expect("an answer");
        reached = times_seen(&id) > 0;
        if reached {
            assert_eq!((answer.status, times_seen(&id)), (status, 1));
            break;
        }
        // The edge may not know the model servers yet.
        assert_eq!(answer.status, 503);
        std::thread::sleep(Duration::from_millis(20));
    }
    assert!(reached, "a request reached a model server");
}

#[test]
fn an_idempotent_request_is_retried_at_another_model_server() {
    let system = start_edge();
    let servers = [server(&system, "i-1"), server(&system, "i-2")];
    servers.iter().for_each(|server| server.server.script([Step::ResetAfter(9)]));
    // The answer of the model server that gets the second attempt may break off as well.
    for number in 0..1_000 {
        if number >= 10 && servers.iter().all(|server| !server.server.seen().is_empty()) {
            break;
        }
        let id = format!("id-{number}");
        let answer = system.ask("/again/x", &id, "", &[], "hello").expect("an answer");
        let seen: Vec<usize> = servers.iter().map(|server| server.server.times_seen(&id)).collect();
        assert!(seen.iter().all(|times| *times <= 1), "no model server twice: {seen:?}");
        if answer.status == 200 {
            assert_eq!(answer.body, format!("answer to {id}"));
        }
    }
    assert!(servers.iter().all(|server| !server.server.seen().is_empty()));
}

#[test_case(Step::Twice; "at once")]
#[test_case(Step::AgainLater(Duration::from_millis(5)); "a moment later")]
#[test_case(Step::AgainLater(Duration::from_millis(60)); "when the next request may be out")]
fn a_second_answer_reaches_no_other_client(step: Step) {
    let system = start_edge();
    let server = server(&system, "i-1");
    for round in 0..10 {
        server.server.script([step.clone()]);
        let (id, answer) = request_until_one_arrives(&system, &server, &format!("twice-{round}"), "hello");
        let answer = answer.expect("an answer");
        assert!(answer.status != 200 || answer.body == format!("answer to {id}"));
        assert_next_requests_get_their_own_answers(&system, &server);
    }
}

#[test]
fn an_answer_to_another_request_is_rejected() {
    let system = start_edge();
    let server = server(&system, "i-1");
    server.server.script([Step::AnotherFirst("of-somebody-else".into())]);
    let (_, answer) = request_until_one_arrives(&system, &server, "mine", "hello");
    let answer = answer.expect("an answer");
    assert_eq!(answer.status, 502);
    assert!(!answer.body.contains("somebody"));
    assert_next_requests_get_their_own_answers(&system, &server);
}

#[test]
fn an_early_answer_to_a_long_body_leaves_no_stray_bytes_behind() {
    let system = start_edge();
    let server = server(&system, "i-1");
    let body = "0123456789abcdef".repeat(200_000);
    for round in 0..5 {
        server.server.script([Step::Early]);
        let (id, answer) = request_until_one_arrives(&system, &server, &format!("early-{round}"), &body);
        let answer = answer.expect("an answer");
        assert!(answer.status != 200 || answer.body == format!("answer to {id}"));
        assert_next_requests_get_their_own_answers(&system, &server);
    }
    assert_eq!(
        server.server.strays(),
        Vec::<String>::new(),
        "every request begins where the one before ended"
    );
    let is_whole = |seen: &Seen| seen.body.len() == body.len() || seen.body == b"hello";
    assert!(server.server.seen().iter().all(is_whole), "each body is whole");
}

#[test]
fn the_connection_to_the_model_server_is_not_reused_after_its_client_left() {
    let system = start_edge();
    let server = server(&system, "i-1");
    for round in 0..5 {
        server.server.script([Step::AgainLater(Duration::from_millis(30))]);
        let id = format!("gone-{round}");
        let mut client = std::net::TcpStream::connect(system.ingress).unwrap();
        let head = format!(
            "POST /app/x HTTP/1.1\r\nHost: shop.example\r\nX-Pathbank-Request-Id: {id}\r\nContent-Length: 5\r\n\r\nhello"
        );
        std::io::Write::write_all(&mut client, head.as_bytes()).unwrap();
        std::thread::sleep(Duration::from_millis(2 * round));
        drop(client);
        assert_next_requests_get_their_own_answers(&system, &server);
        assert!(server.server.times_seen(&id) <= 1);
    }
}

#[test]
fn a_redirect_of_a_server_goes_to_the_client_and_is_not_followed() {
    let system = start_edge();
    let server = server(&system, "i-1");
    let elsewhere = Scripted::start(LOCALHOST);
    server.server.script([Step::Redirect(elsewhere.address)]);
    let (_, answer) = request_until_one_arrives(&system, &server, "led-on", "hello");
    assert_eq!(answer.expect("an answer").status, 307);
    assert_eq!(elsewhere.seen(), Vec::<Seen>::new());
}

#[test]
fn an_answer_without_a_length_is_complete_once_its_connection_was_closed() {
    let system = start_edge();
    let server = server(&system, "i-1");
    server.server.script([Step::Unframed(None)]);
    let (id, answer) = request_until_one_arrives(&system, &server, "unframed", "hello");
    let answer = answer.expect("an answer");
    assert_eq!((answer.status, answer.body), (200, format!("answer to {id}")));
    assert!(answer.head.contains("content-length"), "the client's answer has a length: {}", answer.head);
    assert_next_requests_get_their_own_answers(&system, &server);
}

#[test_case(60; "within the head")]
#[test_case(112; "within the body")]
#[test_case(usize::MAX; "behind the body")]
fn an_answer_without_a_length_that_is_reset_is_not_complete(bytes: usize) {
    let system = start_edge();
    let server = server(&system, "i-1");
    server.server.script([Step::Unframed(Some(bytes))]);
    let (_, answer) = request_until_one_arrives(&system, &server, "reset", "hello");
    assert_eq!(answer.expect("an answer").status, 502);
}
