//! The real programs on loopback: first start, kills, restarts, changes, drains, streams, lost disks.

#![allow(clippy::unwrap_used, clippy::expect_used, reason = "a test fails by a panic")]

mod common;

use common::listener::EdgeListener;
use common::{System, call, document, until};
use pathbank_protocol::message::Frame;
use pathbank_system::local::Process;
use std::io::{Read, Write};
use std::process::Command;
use std::sync::atomic::Ordering;

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
    assert_eq!(server.runs(), ["id-1"], "and none of those ran");
}

#[test]
fn the_leader_tells_which_edge_has_which_version_in_force() {
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

// Differences of two cores do not lead on from one another: an edge that took a whole configuration from one
// and listens to the other took none of its differences, and lived on whole ones, each asked for 0.2 s after
// it was announced. It was found by reading, when each stretch of a change's way was given its bound.
#[test]
fn an_edge_that_missed_a_difference_is_told_what_leads_on_from_what_it_has() {
    let system = System::started();
    system.configure(0, &document(3));
    system.until_ready();
    let listener = EdgeListener::of(system.local.internal[0]);
    let updates = || -> Vec<(u64, u64)> {
        let heard = listener.heard().into_iter();
        let updates = heard.filter_map(|frame| match frame {
            Frame::Configuration(update) => Some((update.base_index, update.index)),
            _ => None,
        });
        updates.collect()
    };
    until("the first comes whole", || updates().len() == 1);
    let (base, first) = updates()[0];
    assert_eq!(base, 0, "who has none gets the whole");
    system.configure(3, &document(4));
    until("the next is a difference", || updates().last().is_some_and(|(base, _)| *base == first));
    system.configure(4, &document(5));
    until("and the next one leads on from that", || updates().len() >= 3);
    let newest = updates().last().unwrap().1;
    assert!(listener.say(&Frame::FetchDifference(first)));
    until("what leads on from the first is told again", || updates().last() == Some(&(first, newest)));
}

#[test]
fn a_model_that_no_server_holds_is_loaded_when_it_is_asked_for() {
    let system = System::started();
    let server = system.server("i-llm", "llm", &["m1"]);
    system.configure(0, &document(3));
    system.until_ready();
    system.ask_until_served("/llm/x", "id-1", &[("X-Pathbank-Model", "m2")]);
    system.ask_until_served("/llm/x", "id-2", &[("X-Pathbank-Model", "m1/a2")]);
    assert_eq!(server.runs().len(), 2);
}

#[test]
fn changes_survive_a_killed_leader_and_kills_of_all() {
    let mut system = System::started();
    system.configure(0, &document(3));
    until("a leader", || system.leader().is_some());
    let leader = system.leader().unwrap();
    system.local.cores[leader].kill();
    system.configure(3, &document(5));
    system.local.cores[leader].start().unwrap();
    system.local.cores.iter_mut().for_each(pathbank_system::local::Process::kill);
    system.local.cores.iter_mut().for_each(|core| core.start().unwrap());
    until("it is read back", || system.read_configuration().is_some_and(|read| read["version"] == 5));
    assert_eq!(system.change(0, &document(3)), Some(200), "what was taken is taken again");
    assert_eq!(system.change(3, &document(9)), Some(412));
    assert_eq!(system.change(5, "{\"version\":7"), Some(400));
}

#[test]
fn a_change_at_a_leader_that_loses_the_lead_is_answered_at_once() {
    let system = System::started();
    system.configure(0, &document(3));
    until("a leader", || system.leader().is_some());
    let leader = system.leader().unwrap();
    let others = system.local.cores.iter().enumerate().filter(|(core, _)| *core != leader);
    others.for_each(|(_, core)| core.freeze());
    let base = [("X-Pathbank-Base-Version", "3")];
    let path = "/api/config/replace";
    let answer = call(system.control[leader], "POST", path, &base, &document(4)).expect("an answer");
    assert!(answer.body.contains("\"result_code\":202"), "its end is unclear: {}", answer.body);
    assert!(answer.body.contains("another leader may have decided otherwise"), "{}", answer.body);
}

#[test]
fn a_core_whose_disk_is_lost_comes_back_as_another_store() {
    let mut system = System::started();
    system.configure(0, &document(3));
    until("a leader", || system.leader().is_some());
    let leader = system.leader().unwrap();
    let stores = |system: &System| {
        let core = (leader + 1) % 3;
        system.status(core).map(|status| status["voters"].to_string()).unwrap_or_default()
    };
    until("the group is known", || !stores(&system).is_empty());
    let before = stores(&system);
    system.local.cores[leader].kill();
    std::fs::remove_dir_all(system.data(leader)).unwrap();
    system.local.cores[leader].allow_bootstrap(false).unwrap();
    system.local.cores[leader].start().unwrap();
    until("another store is in", || {
        let now = stores(&system);
        !now.is_empty() && now != before
    });
    until("it has the configuration", || {
        system.status(leader).is_some_and(|status| status["configuration_version"] == 3)
    });
    system.configure(3, &document(4));
}

#[test]
fn a_server_that_drains_gets_nothing_more() {
    let system = System::started();
    let leaving = system.server("i-1", "app", &[]);
    let staying = system.server("i-2", "app", &[]);
    system.configure(0, &document(3));
    system.until_ready();
    until("both are known", || system.status(0).is_some_and(|status| status["bricks"] == 2));
    leaving.draining.store(true, Ordering::Relaxed);
    until("it is known to leave", || system.status(0).is_some_and(|status| status["bricks"] == 1));
    let before = leaving.runs().len();
    // One request's time for the news to reach the edge.
    system.ask_until_served("/app/x", "id-0", &[]);
    let settled = leaving.runs().len();
    (1..20).for_each(|number| drop(system.ask_until_served("/app/x", &format!("id-{number}"), &[])));
    assert!(settled <= before + 1);
    assert_eq!(leaving.runs().len(), settled);
    assert!(staying.runs().len() >= 19);
}

#[test]
fn an_edge_that_is_asked_to_stop_finishes_its_streams_and_ends() {
    let mut system = System::started();
    system.server("i-llm", "llm", &["m1"]);
    system.configure(0, &document(3));
    system.until_ready();
    system.ask_until_served("/llm/x", "id-0", MODEL);
    system.local.edges[0].process.ask_to_stop();
    until("it calls itself not ready", || {
        call(system.readiness, "GET", "/api/readyz", &[], "").is_none_or(|answer| answer.status == 503)
    });
    let late = system.ask("/llm/x", "id-1", "key-1", MODEL, "").expect("it still serves who comes");
    assert!(late.status == 200 && late.body.contains("piece 5"));
    until("it has ended", || system.local.edges[0].process.has_ended());
}

/// A model server that answers its first request only when it is told to.
fn held_server(system: &System) -> (std::sync::mpsc::Receiver<()>, std::sync::mpsc::Sender<()>) {
    let listener = std::net::TcpListener::bind((system.ingress.ip(), 0)).unwrap();
    let address = listener.local_addr().unwrap();
    let (came, coming) = std::sync::mpsc::channel();
    let (release, released) = std::sync::mpsc::channel();
    std::thread::spawn(move || {
        let (mut stream, _) = listener.accept().unwrap();
        let mut request = [0; 4_096];
        let _ = stream.read(&mut request);
        let _ = came.send(());
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
    (coming, release)
}

#[test]
fn an_edge_that_stops_refuses_late_connections_and_still_answers_what_is_at_a_server() {
    let mut system = System::started();
    system.configure(0, &document(3));
    system.until_ready();
    let (came, release) = held_server(&system);
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
    came.recv().unwrap();
    system.local.edges[0].process.ask_to_stop();
    until("late connections are refused", || std::net::TcpStream::connect(ingress).is_err());
    assert!(!system.local.edges[0].process.has_ended(), "a request is still at its model server");
    release.send(()).unwrap();
    let answer = asking.join().unwrap().expect("a whole answer");
    assert_eq!((answer.status, answer.body.as_str()), (200, "held"));
    until("it has ended", || system.local.edges[0].process.has_ended());
}

/// Runs an operator's command. Returns whether it succeeded, and what it printed.
fn run(arguments: &[&str]) -> (bool, String) {
    let output = Command::new(env!("CARGO_BIN_EXE_pathbank-system")).args(arguments).output().unwrap();
    let text = [output.stdout, output.stderr].concat();
    (output.status.success(), String::from_utf8_lossy(&text).into_owned())
}

#[test]
fn operators_ask_what_is_placed_where_and_who_holds_the_duties() {
    let system = System::started();
    system.server("i-llm", "llm", &["m1"]);
    system.configure(0, &document(3));
    system.until_ready();
    system.ask_until_served("/llm/x", "id-1", &[("X-Pathbank-Model", "m2")]);
    let control = system.control[1].to_string();
    until("the model server is told to hold both", || {
        let (_, text) = run(&["placement", "--control", &control]);
        ["m1", "m2"].iter().all(|model| {
            text.lines().any(|line| line.contains(&format!("\t{model}\t")) && line.contains("i-llm"))
        })
    });
    let (ok, text) = run(&["duties", "--control", &control]);
    assert!(ok && text.contains("\"fencing_token\"") && text.contains("\"lease_holder\": \"core-"), "{text}");
}

/// Requests that the leader has counted in windows that are not sealed.
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
fn usage_survives_the_leaders_and_then_the_edge_and_the_leader() {
    let mut system = System::started();
    system.server("i-app", "app", &[]);
    system.configure(0, &document(3));
    system.until_ready();
    (0..3).for_each(|number| drop(system.ask_until_served("/app/x", &format!("id-{number}"), &[])));
    until("the leader counts them", || counted(&system) == Some(3));
    // Whichever core leads next, the same one among them, hears it again from the edge.
    system.local.cores.iter_mut().for_each(Process::kill);
    system.local.cores.iter_mut().for_each(|core| core.start().unwrap());
    until("the next leader counts them", || counted(&system) == Some(3));
    // An edge that ends tells every core: the next leader has it from nobody else.
    system.local.edges[0].process.ask_to_stop();
    until("the edge ends", || system.local.edges[0].process.has_ended());
    let leader = system.leader().expect("somebody leads");
    system.local.cores[leader].kill();
    until("another one leads, and has counted them", || {
        system.leader().is_some_and(|next| next != leader) && counted(&system) == Some(3)
    });
}

#[test]
fn operators_ask_what_became_of_a_request() {
    let system = System::started();
    system.server("i-app", "app", &[]);
    system.configure(0, &document(3));
    system.until_ready();
    system.ask_until_served("/app/x", "id-1", &[]);
    let head = system.readiness.to_string();
    let (ok, text) = run(&["explain", "id-1", "--edge", &head]);
    let places = ["accepted", "sent", "answered", "complete"].map(|step| text.find(step));
    assert!(ok && places.is_sorted() && places.iter().all(Option::is_some), "{text}");
    assert!(text.contains("instance=\"i-app\"") && text.contains("route=\"r1\""), "{text}");
    let (ok, text) = run(&["explain", "id-none", "--edge", &head]);
    assert!(!ok && text.contains("no head asked knows request id-none"), "{text}");
    let log = system.local.folder.join("edge.log");
    std::fs::write(&log, "DEBUG refused id=\"id-10\" code=1\nDEBUG sent to a brick id=\"id-1\" sends=0\n")
        .unwrap();
    let (ok, text) = run(&["explain", "id-1", "--log", &log.display().to_string()]);
    assert_eq!((ok, text.lines().count()), (true, 1), "{text}");
    assert!(!run(&["explain", "id-1"]).0, "it is not said where to look");
}

#[test]
fn operators_ask_by_the_command_line() {
    let system = System::started();
    let file = system.local.folder.join("document.json");
    std::fs::write(&file, document(3)).unwrap();
    let (control, file) = (system.control[0].to_string(), file.display().to_string());
    assert_eq!(run(&["config", "check", &file]), (true, "ok: version 3\n".into()));
    until("it is applied", || run(&["config", "apply", "--control", &control, &file]).0);
    assert!(run(&["config", "get", "--control", &control]).1.contains("\"version\": 3"));
    assert!(run(&["status", "--control", &control]).1.contains("voters"));
    std::fs::write(&file, document(4).replace("/app/", "/application/")).unwrap();
    assert_eq!(run(&["config", "diff", "--control", &control, &file]), (true, "~ routes r1\n".into()));
    std::fs::write(&file, "{").unwrap();
    let (ok, text) = run(&["config", "check", &file]);
    assert!(!ok && text.contains("EOF"), "{text}");
}

/// A model server that reads each request and then closes the connection, until the test is over. Returns its
/// address.
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
fn what_may_have_run_and_may_not_run_twice_goes_to_no_other_server() {
    const REQUESTS_OF_ONE_LIFE: u64 = 5;
    let mut system = System::started();
    system.configure(0, &document(3));
    system.until_ready();
    let breaking = breaking_server(&system);
    let sound = system.server("i-app", "app", &[]);
    let mut number = 0;
    until("a request meets the model server that breaks off", || {
        number += 1;
        // It goes on speaking: what is silent is taken for gone.
        heartbeat(&system, "i-breaking", breaking, number);
        // An edge prefers one of two model servers for as long as it lives; where that is the sound one,
        // another incarnation draws anew.
        if number.is_multiple_of(REQUESTS_OF_ONE_LIFE) {
            system.local.edges[0].process.kill();
            system.local.edges[0].process.start().unwrap();
            system.until_ready();
        }
        let answer = system.ask("/app/x", &format!("id-{number}"), "key-1", &[], "hello");
        answer.is_some_and(|answer| answer.status == 502)
    });
    assert!(!sound.runs().contains(&format!("id-{number}")), "it may have run already");
    until("the sound model server serves", || {
        number += 1;
        let answer = system.ask("/app/x", &format!("id-{number}"), "key-1", &[], "hello");
        answer.is_some_and(|answer| answer.status == 200)
    });
    assert!(sound.runs().contains(&format!("id-{number}")));
}

#[test]
fn heads_serve_prompts_alone_while_no_leader_answers() {
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
