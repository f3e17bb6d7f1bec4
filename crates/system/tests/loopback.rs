//! The real program on loopback addresses: first start, kills, restarts, configuration changes, drains,
//! streams, lost disks and operators' commands.

#![allow(clippy::unwrap_used, clippy::expect_used, reason = "a test fails by a panic")]

mod common;

use common::listener::EdgeListener;
use common::{System, call, document, start_server, until};
use pathbank_protocol::message::Frame;
use pathbank_system::local::Process;
use pathbank_system::stand_in::StandInSettings;
use std::io::{Read, Write};
use std::process::Command;
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};

const MODEL: &[(&str, &str)] = &[("X-Pathbank-Model", "m1"), ("X-Pathbank-Token-Count", "10,10")];

#[test]
fn a_first_start_serves_requests_and_streams() {
    let system = System::started();
    let server = system.server("i-app", "app", &[]);
    system.server("i-llm", "llm", &["m1"]);
    system.configure(0, &document(3));
    system.until_ready();
    let answer = system.ask_until_served("/app/x", "id-1", &[]);
    assert!(
        answer.body.contains("tenant-1:hello"),
        "the tenant's name and the body reach the model server: {}",
        answer.body
    );
    assert!(answer.head.contains("x-pathbank-response-signature: stand-in.i-app"));
    assert_eq!(server.runs(), ["id-1"]);
    let stream = system.ask_until_served("/llm/x", "id-2", MODEL);
    (1..=5)
        .for_each(|piece| assert!(stream.body.contains(&format!("data: piece {piece}")), "{}", stream.body));
    let status = |path: &str, key: &str, body: &str| {
        system.ask(path, "id-3", key, &[], body).map(|answer| answer.status)
    };
    assert_eq!(status("/app/x", "wrong", ""), Some(401));
    assert_eq!(status("/none/", "key-1", ""), Some(404));
    assert_eq!(status("/app/x", "key-1", &"x".repeat(1_001)), Some(413));
    assert_eq!(server.runs(), ["id-1"], "no refused request runs");
}

/// An edge that had just started held a request for 2.5 s, whether or not its client still waited.
#[test]
fn an_edge_without_a_configuration_holds_a_request_no_longer_than_its_client_waits() {
    let system = System::started();
    let ask = |id: &str| {
        let sent_at = Instant::now();
        let headers =
            [("Host", "shop.example"), ("X-Pathbank-Request-Id", id), ("X-Pathbank-Deadline-Ms", "400")];
        let answer = call(system.ingress, "POST", "/app/x", &headers, "");
        answer.map(|answer| (answer.status, sent_at.elapsed()))
    };
    until("the edge takes requests", || ask("id-1").is_some());
    let (status, took) = ask("id-2").unwrap();
    assert_eq!(status, 503);
    assert!(took < Duration::from_millis(2_000), "{took:?}");
}

/// A request that was late for its latency target was refused early; the same request with a shorter deadline was
/// taken for a repeat and held.
#[test]
fn requests_wait_for_a_slot_whatever_their_latency_target_and_however_often_they_were_tried() {
    let system = System::started();
    // One slot, and streams of a second.
    let address = system.local.server_address(9).unwrap();
    let settings = StandInSettings {
        capacity: 1,
        stream_pieces: 50,
        stream_pause: Duration::from_millis(20),
        ..StandInSettings::new("i-llm", "llm", "z1", &["m1"], &system.control)
    };
    start_server(system.runtime.handle(), settings, address);
    let mut configuration: serde_json::Value = serde_json::from_str(&document(3)).unwrap();
    configuration["routes"][1]["target_latency_ms"] = 100.into();
    system.configure(0, &configuration.to_string());
    system.until_ready();
    system.ask_until_served("/llm/x", "id-first", MODEL);
    let ask = |id: &str, deadline_ms: &str| {
        let mut headers = vec![
            ("Host", "shop.example"),
            ("X-Pathbank-Request-Id", id),
            ("X-Pathbank-Deadline-Ms", deadline_ms),
            ("X-Pathbank-Credential", "key-1"),
        ];
        headers.extend_from_slice(MODEL);
        call(system.ingress, "POST", "/llm/x", &headers, "").map(|answer| answer.status)
    };
    // The route's timeout is 8 s: a first try has all of it, a repeat less. A client leaves after 2 s of silence.
    for (id, deadline_ms) in [("id-1", "8000"), ("id-2", "7000")] {
        let status = std::thread::scope(|scope| {
            let running = scope.spawn(|| ask(&format!("{id}-running"), "8000"));
            std::thread::sleep(Duration::from_millis(200));
            let waiting = ask(id, deadline_ms);
            assert_eq!(running.join().unwrap(), Some(200));
            waiting
        });
        assert_eq!(status, Some(200), "{id} with {deadline_ms} ms");
    }
}

#[test]
fn the_leader_reports_the_version_in_force_at_each_edge() {
    let system = System::started();
    system.configure(0, &document(3));
    system.until_ready();
    system.configure(3, &document(7));
    let holds = |version: u64| {
        let status = system.leader().and_then(|leader| system.status(leader)).unwrap_or_default();
        let holders = status["holders"].as_array().cloned().unwrap_or_default();
        !holders.is_empty() && holders.iter().all(|holder| holder["version"] == version)
    };
    until("every edge that the leader names has version 7", || holds(7));
}

// Guards against an edge that can apply no differences. Differences from two cores do not build on one
// another: an edge that got a complete configuration from one core and subscribed to another could apply none
// of the other's differences. It fetched a complete configuration for each change, 0.2 s after the change was
// announced.
#[test]
fn an_edge_that_missed_a_difference_can_fetch_one_that_builds_on_its_configuration() {
    let system = System::started();
    system.configure(0, &document(3));
    system.until_ready();
    let listener = EdgeListener::of(system.local.internal[0]);
    let updates = || -> Vec<(u64, u64)> {
        let received = listener.heard().into_iter();
        let updates = received.filter_map(|frame| match frame {
            Frame::Configuration(update) => Some((update.base_index, update.index)),
            _ => None,
        });
        updates.collect()
    };
    until("the first configuration arrives", || updates().len() == 1);
    let (base, first) = updates()[0];
    assert_eq!(base, 0, "an edge without a configuration gets a complete one");
    system.configure(3, &document(4));
    until("the next update is a difference", || updates().last().is_some_and(|(base, _)| *base == first));
    system.configure(4, &document(5));
    until("the update after it arrives", || updates().len() >= 3);
    let newest = updates().last().unwrap().1;
    assert!(listener.say(&Frame::FetchDifference(first)));
    until("the core sends the difference to the first configuration", || {
        updates().last() == Some(&(first, newest))
    });
}

#[test]
fn a_model_that_no_server_holds_is_loaded_on_demand() {
    let system = System::started();
    let server = system.server("i-llm", "llm", &["m1"]);
    system.configure(0, &document(3));
    system.until_ready();
    system.ask_until_served("/llm/x", "id-1", &[("X-Pathbank-Model", "m2")]);
    system.ask_until_served("/llm/x", "id-2", &[("X-Pathbank-Model", "m1/a2")]);
    assert_eq!(server.runs().len(), 2);
}

#[test]
fn configuration_changes_survive_a_killed_leader_and_a_restart_of_all_cores() {
    let mut system = System::started();
    system.configure(0, &document(3));
    until("a leader", || system.leader().is_some());
    let leader = system.leader().unwrap();
    system.local.cores[leader].kill();
    system.configure(3, &document(5));
    system.local.cores[leader].start().unwrap();
    system.local.cores.iter_mut().for_each(pathbank_system::local::Process::kill);
    system.local.cores.iter_mut().for_each(|core| core.start().unwrap());
    until("the change is read back", || system.read_configuration().is_some_and(|read| read["version"] == 5));
    assert_eq!(system.change(0, &document(3)), Some(200), "a change that was accepted is accepted again");
    assert_eq!(system.change(3, &document(9)), Some(412));
    assert_eq!(system.change(5, "{\"version\":7"), Some(400));
}

#[test]
fn a_change_at_a_leader_without_a_majority_is_answered_as_undecided() {
    let system = System::started();
    system.configure(0, &document(3));
    until("a leader", || system.leader().is_some());
    let leader = system.leader().unwrap();
    let others = system.local.cores.iter().enumerate().filter(|(core, _)| *core != leader);
    others.for_each(|(_, core)| core.freeze());
    let base = [("X-Pathbank-Base-Version", "3")];
    let path = "/api/config/replace";
    let answer = call(system.control[leader], "POST", path, &base, &document(4)).expect("an answer");
    assert!(answer.body.contains("\"result_code\":202"), "the outcome is undecided: {}", answer.body);
    assert!(answer.body.contains("another leader may have decided otherwise"), "{}", answer.body);
}

#[test]
fn a_core_that_lost_its_disk_rejoins_as_a_new_voter() {
    let mut system = System::started();
    system.configure(0, &document(3));
    until("a leader", || system.leader().is_some());
    let leader = system.leader().unwrap();
    let voters = |system: &System| {
        let core = (leader + 1) % 3;
        system.status(core).map(|status| status["voters"].to_string()).unwrap_or_default()
    };
    until("the voters are known", || !voters(&system).is_empty());
    let before = voters(&system);
    system.local.cores[leader].kill();
    std::fs::remove_dir_all(system.data(leader)).unwrap();
    system.local.cores[leader].allow_bootstrap(false).unwrap();
    system.local.cores[leader].start().unwrap();
    until("the voters have changed", || {
        let now = voters(&system);
        !now.is_empty() && now != before
    });
    until("the new voter has the configuration", || {
        system.status(leader).is_some_and(|status| status["configuration_version"] == 3)
    });
    system.configure(3, &document(4));
}

#[test]
fn a_draining_model_server_gets_no_new_requests() {
    let system = System::started();
    let leaving = system.server("i-1", "app", &[]);
    let staying = system.server("i-2", "app", &[]);
    system.configure(0, &document(3));
    system.until_ready();
    until("both model servers are known", || system.status(0).is_some_and(|status| status["bricks"] == 2));
    leaving.draining.store(true, Ordering::Relaxed);
    until("the draining one is known to drain", || {
        system.status(0).is_some_and(|status| status["bricks"] == 1)
    });
    let before = leaving.runs().len();
    // The edge learns of the drain within the time of one request.
    system.ask_until_served("/app/x", "id-0", &[]);
    let settled = leaving.runs().len();
    (1..20).for_each(|number| drop(system.ask_until_served("/app/x", &format!("id-{number}"), &[])));
    assert!(settled <= before + 1);
    assert_eq!(leaving.runs().len(), settled);
    assert!(staying.runs().len() >= 19);
}

#[test]
fn an_edge_that_shuts_down_still_serves_new_clients_and_then_ends() {
    let mut system = System::started();
    system.server("i-llm", "llm", &["m1"]);
    system.configure(0, &document(3));
    system.until_ready();
    system.ask_until_served("/llm/x", "id-0", MODEL);
    system.local.edges[0].process.ask_to_stop();
    until("the edge is not ready", || {
        call(system.readiness, "GET", "/api/readyz", &[], "").is_none_or(|answer| answer.status == 503)
    });
    let late = system.ask("/llm/x", "id-1", "key-1", MODEL, "").expect("the edge still serves new clients");
    assert!(late.status == 200 && late.body.contains("piece 5"));
    until("the edge has ended", || system.local.edges[0].process.has_ended());
}

/// Starts a model server that reports its first request and answers it only when it is released.
fn held_server(system: &System) -> (std::sync::mpsc::Receiver<()>, std::sync::mpsc::Sender<()>) {
    let listener = std::net::TcpListener::bind((system.ingress.ip(), 0)).unwrap();
    let address = listener.local_addr().unwrap();
    let (arrived, arrival) = std::sync::mpsc::channel();
    let (release, released) = std::sync::mpsc::channel();
    std::thread::spawn(move || {
        let (mut stream, _) = listener.accept().unwrap();
        let mut request = [0; 4_096];
        let _ = stream.read(&mut request);
        let _ = arrived.send(());
        let _ = released.recv();
        let answer = "HTTP/1.1 200 OK\r\nX-Pathbank-Request-Id: id-held\r\nX-Pathbank-Response-Signature: held\r\n\
                      Content-Length: 4\r\n\r\nheld";
        let _ = stream.write_all(answer.as_bytes());
    });
    let body = format!(
        "{{\"backend\":\"app\",\"address\":\"{address}\",\"zone\":\"z1\",\"capacity\":4,\"state\":\"ready\",\"sequence\":1}}"
    );
    until("its heartbeat is acknowledged", || {
        let path = "/api/instances/i-held/heartbeat";
        call(system.control[0], "POST", path, &[], &body).is_some_and(|answer| answer.status == 200)
    });
    (arrival, release)
}

#[test]
fn an_edge_that_shuts_down_refuses_late_connections_and_answers_requests_at_model_servers() {
    let mut system = System::started();
    system.configure(0, &document(3));
    system.until_ready();
    let (arrival, release) = held_server(&system);
    until("the edge knows the model server", || system.status(0).is_some_and(|status| status["bricks"] == 1));
    let ingress = system.ingress;
    let asking = std::thread::spawn(move || {
        let headers = [
            ("Host", "shop.example"),
            ("X-Pathbank-Request-Id", "id-held"),
            ("X-Pathbank-Deadline-Ms", "5000"),
            ("X-Pathbank-Credential", "key-1"),
        ];
        call(ingress, "POST", "/app/x", &headers, "hello")
    });
    arrival.recv().unwrap();
    system.local.edges[0].process.ask_to_stop();
    until("late connections are refused", || std::net::TcpStream::connect(ingress).is_err());
    assert!(!system.local.edges[0].process.has_ended(), "a request is still at its model server");
    release.send(()).unwrap();
    let answer = asking.join().unwrap().expect("a whole answer");
    assert_eq!((answer.status, answer.body.as_str()), (200, "held"));
    until("the edge has ended", || system.local.edges[0].process.has_ended());
}

/// Runs an operator's command. Returns whether it succeeded, and what it printed.
fn run(arguments: &[&str]) -> (bool, String) {
    let output = Command::new(env!("CARGO_BIN_EXE_pathbank-system")).args(arguments).output().unwrap();
    let text = [output.stdout, output.stderr].concat();
    (output.status.success(), String::from_utf8_lossy(&text).into_owned())
}

#[test]
fn the_placement_and_duties_commands_print_model_servers_and_lease_holders() {
    let system = System::started();
    system.server("i-llm", "llm", &["m1"]);
    system.configure(0, &document(3));
    system.until_ready();
    system.ask_until_served("/llm/x", "id-1", &[("X-Pathbank-Model", "m2")]);
    let control = system.control[1].to_string();
    until("the model server is expected to hold both models", || {
        let (_, text) = run(&["placement", "--control", &control]);
        ["m1", "m2"].iter().all(|model| {
            text.lines().any(|line| line.contains(&format!("\t{model}\t")) && line.contains("i-llm"))
        })
    });
    let (ok, text) = run(&["duties", "--control", &control]);
    assert!(ok && text.contains("\"fencing_token\"") && text.contains("\"lease_holder\": \"core-"), "{text}");
}

/// The number of requests that the leader has counted in usage windows that are not sealed.
fn counted(system: &System) -> Option<u64> {
    let leader = system.leader()?;
    let (_, text) = run(&["duties", "--control", &system.control[leader].to_string()]);
    let duties: serde_json::Value = serde_json::from_str(&text).ok()?;
    let windows = duties["usage"]["counted"].as_object()?;
    Some(
        windows
            .values()
            .filter_map(|by_tenant| by_tenant.as_object())
            .flat_map(|by| by.values())
            .filter_map(serde_json::Value::as_u64)
            .sum(),
    )
}

#[test]
fn usage_counts_survive_a_restart_of_all_cores_and_the_end_of_the_edge_and_the_leader() {
    let mut system = System::started();
    system.server("i-app", "app", &[]);
    system.configure(0, &document(3));
    system.until_ready();
    (0..3).for_each(|number| drop(system.ask_until_served("/app/x", &format!("id-{number}"), &[])));
    until("the leader has counted the requests", || counted(&system) == Some(3));
    // The edge reports its counts again to the next leader, even if that is the same core.
    system.local.cores.iter_mut().for_each(Process::kill);
    system.local.cores.iter_mut().for_each(|core| core.start().unwrap());
    until("the next leader has counted the requests", || counted(&system) == Some(3));
    // An edge that ends reports its counts to every core; the next leader can get them from no other process.
    system.local.edges[0].process.ask_to_stop();
    until("the edge ends", || system.local.edges[0].process.has_ended());
    let leader = system.leader().expect("there is a leader");
    system.local.cores[leader].kill();
    until("another core leads and has counted the requests", || {
        system.leader().is_some_and(|next| next != leader) && counted(&system) == Some(3)
    });
}

#[test]
fn the_explain_command_prints_the_steps_of_a_request() {
    let system = System::started();
    system.server("i-app", "app", &[]);
    system.configure(0, &document(3));
    system.until_ready();
    system.ask_until_served("/app/x", "id-1", &[]);
    let edge = system.readiness.to_string();
    let (ok, text) = run(&["explain", "id-1", "--edge", &edge]);
    let places = ["accepted", "sent", "answered", "complete"].map(|step| text.find(step));
    assert!(ok && places.is_sorted() && places.iter().all(Option::is_some), "{text}");
    assert!(text.contains("instance=\"i-app\"") && text.contains("route=\"r1\""), "{text}");
    let (ok, text) = run(&["explain", "id-none", "--edge", &edge]);
    assert!(!ok && text.contains("no head asked knows request id-none"), "{text}");
    let log = system.local.folder.join("edge.log");
    std::fs::write(&log, "DEBUG refused id=\"id-10\" code=1\nDEBUG sent to a brick id=\"id-1\" sends=0\n")
        .unwrap();
    let (ok, text) = run(&["explain", "id-1", "--log", &log.display().to_string()]);
    assert_eq!((ok, text.lines().count()), (true, 1), "{text}");
    assert!(!run(&["explain", "id-1"]).0, "explain needs an edge or a log file");
}

#[test]
fn the_config_and_status_commands_work_on_a_running_system() {
    let system = System::started();
    let file = system.local.folder.join("document.json");
    std::fs::write(&file, document(3)).unwrap();
    let (control, file) = (system.control[0].to_string(), file.display().to_string());
    assert_eq!(run(&["config", "check", &file]), (true, "ok: version 3\n".into()));
    until("the configuration is applied", || run(&["config", "apply", "--control", &control, &file]).0);
    assert!(run(&["config", "get", "--control", &control]).1.contains("\"version\": 3"));
    assert!(run(&["status", "--control", &control]).1.contains("voters"));
    std::fs::write(&file, document(4).replace("/app/", "/application/")).unwrap();
    assert_eq!(run(&["config", "diff", "--control", &control, &file]), (true, "~ routes r1\n".into()));
    std::fs::write(&file, "{").unwrap();
    let (ok, text) = run(&["config", "check", &file]);
    assert!(!ok && text.contains("EOF"), "{text}");
}

/// Starts a model server that reads each request and then closes the connection. Returns its address.
fn breaking_server(system: &System) -> std::net::SocketAddr {
    let listener = std::net::TcpListener::bind((system.ingress.ip(), 0)).unwrap();
    let address = listener.local_addr().unwrap();
    std::thread::spawn(move || {
        for mut stream in listener.incoming().flatten() {
            let _ = stream.read(&mut [0; 4_096]);
        }
    });
    address
}

fn heartbeat(system: &System, instance: &str, address: std::net::SocketAddr, sequence: u64) {
    let body = format!(
        "{{\"backend\":\"app\",\"address\":\"{address}\",\"zone\":\"z1\",\"capacity\":4,\"state\":\"ready\",\"sequence\":{sequence}}}"
    );
    let path = format!("/api/instances/{instance}/heartbeat");
    let _ = call(system.control[0], "POST", &path, &[], &body);
}

#[test]
fn a_non_idempotent_request_that_may_have_run_is_not_retried() {
    const REQUESTS_PER_INCARNATION: u64 = 5;
    let mut system = System::started();
    system.configure(0, &document(3));
    system.until_ready();
    let breaking = breaking_server(&system);
    let sound = system.server("i-app", "app", &[]);
    let mut number = 0;
    until("a request reaches the model server that closes connections", || {
        number += 1;
        // Without heartbeats the model server would be taken for gone.
        heartbeat(&system, "i-breaking", breaking, number);
        // An edge prefers one of two model servers for as long as it runs. If that is the sound one, another
        // incarnation of the edge may prefer the other.
        if number.is_multiple_of(REQUESTS_PER_INCARNATION) {
            system.local.edges[0].process.kill();
            system.local.edges[0].process.start().unwrap();
            system.until_ready();
        }
        let answer = system.ask("/app/x", &format!("id-{number}"), "key-1", &[], "hello");
        answer.is_some_and(|answer| answer.status == 502)
    });
    assert!(!sound.runs().contains(&format!("id-{number}")), "the request may have run already");
    until("the sound model server serves a request", || {
        number += 1;
        let answer = system.ask("/app/x", &format!("id-{number}"), "key-1", &[], "hello");
        answer.is_some_and(|answer| answer.status == 200)
    });
    assert!(sound.runs().contains(&format!("id-{number}")));
}

#[test]
fn edges_serve_prompts_while_no_leader_answers() {
    let system = System::started();
    system.server("i-llm", "llm", &["m1"]);
    system.configure(0, &document(3));
    system.until_ready();
    system.ask_until_served("/llm/x", "id-0", MODEL);
    system.local.cores.iter().for_each(pathbank_system::local::Process::freeze);
    for number in 1..=6 {
        let answer = system.ask("/llm/x", &format!("id-{number}"), "key-1", MODEL, "").expect("an answer");
        assert!(answer.status == 200 && answer.body.contains("piece 5"), "{number}: {}", answer.status);
    }
}
