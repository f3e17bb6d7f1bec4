//! Model servers that send bytes which belong to no answer, on real sockets before a whole edge: a client gets
//! pieces that a run made, or an answer that does not look complete.

#![allow(clippy::unwrap_used, clippy::expect_used, reason = "a test fails by a panic")]

#[path = "../common/mod.rs"]
mod common;
mod stream_server;

use common::{System, call, document, until};
use std::io::{Read, Write};
use std::net::TcpStream;
use std::time::Duration;
use stream_server::{Garbage, PIECES, StreamServers, Then, event};

/// Each request earns a part of a retry (`retry_budget_ratio`).
const SOUND_STREAMS_FOR_A_RETRY: usize = 10;
const READ_TIMEOUT: Duration = Duration::from_secs(10);
/// A route whose streams may be resumed, and one whose streams may not.
const RESUMABLE: &str = "/llm/x";
const NOT_RESUMABLE: &str = "/once/x";

/// What a client got of a stream.
#[derive(Debug, PartialEq, Eq)]
struct Streamed {
    status: u16,
    body: String,
    /// Whether the answer looked complete.
    complete: bool,
}

/// Cores, an edge, two model servers whose streams may go wrong, and a client.
struct Case {
    system: System,
    servers: StreamServers,
}

impl Case {
    fn started() -> Case {
        let system = System::started();
        let servers = StreamServers::start(&system, &["i-1", "i-2"]);
        let mut configuration: serde_json::Value = serde_json::from_str(&document(3)).unwrap();
        let routes = configuration["routes"].as_array_mut().unwrap();
        let mut once = routes[1].clone();
        once["name"] = "r4".into();
        once["path_prefix"] = "/once/".into();
        once["resumable"] = false.into();
        routes.push(once);
        system.configure(0, &configuration.to_string());
        system.until_ready();
        let case = Case { system, servers };
        until("streams are served", || case.stream(RESUMABLE, "id-first", None).status == 200);
        case
    }

    /// Asks for a stream on a connection of its own.
    fn stream(&self, path: &str, id: &str, last_event_id: Option<u64>) -> Streamed {
        let mut connection = TcpStream::connect(self.system.ingress).unwrap();
        connection.set_read_timeout(Some(READ_TIMEOUT)).unwrap();
        let last = last_event_id.map(|last| format!("Last-Event-Id: {last}\r\n")).unwrap_or_default();
        write!(
            connection,
            "POST {path} HTTP/1.1\r\nHost: shop.example\r\nX-Pathbank-Request-Id: {id}\r\n{last}\
             X-Pathbank-Deadline-Ms: 6000\r\nX-Pathbank-Credential: key-1\r\nX-Pathbank-Model: m1\r\n\
             X-Pathbank-Token-Count: 10,10\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"
        )
        .unwrap();
        let mut bytes = Vec::new();
        // A reset ends what arrived as a close does.
        let _ = connection.read_to_end(&mut bytes);
        let text = String::from_utf8_lossy(&bytes).into_owned();
        let (head, body) = text.split_once("\r\n\r\n").unwrap_or((&text, ""));
        let status = head.split(' ').nth(1).and_then(|status| status.parse().ok()).unwrap_or(0);
        let (body, complete) = without_chunks(body);
        Streamed { status, body, complete }
    }

    /// What the edge says of a request.
    fn steps(&self, id: &str) -> String {
        let answer = call(self.system.readiness, "GET", &format!("/api/requests/{id}"), &[], "");
        answer.map(|answer| answer.body).unwrap_or_default()
    }

    /// Asks for a stream that goes wrong, after as many sound ones as earn the retry that it needs.
    fn stream_with(&self, path: &str, id: &str, garbage: Garbage) -> Streamed {
        for number in 0..SOUND_STREAMS_FOR_A_RETRY {
            let sound = self.stream(path, &format!("{id}-before-{number}"), None);
            assert!(sound.complete, "{sound:?}");
        }
        self.servers.plan.set(id, garbage);
        self.stream(path, id, None)
    }
}

/// The bytes of a body in chunks, and whether its last chunk came.
fn without_chunks(mut body: &str) -> (String, bool) {
    let mut bytes = String::new();
    while let Some((length, rest)) = body.split_once("\r\n") {
        let Ok(length) = usize::from_str_radix(length, 16) else { break };
        if length == 0 {
            return (bytes, true);
        }
        let Some(chunk) = rest.get(..length) else {
            bytes.push_str(rest);
            break;
        };
        bytes.push_str(chunk);
        body = rest.get(length + 2..).unwrap_or_default();
    }
    (bytes, false)
}

fn pieces(id: &str, pieces: std::ops::RangeInclusive<u64>) -> String {
    pieces.map(|piece| event(id, piece)).collect()
}

/// Bytes that are no piece of a stream.
const GARBAGE: [(&str, &[u8]); 10] = [
    ("words", b"something went wrong\n\n"),
    ("binary", b"\x16\x03\x01\xff\xfe\n\n"),
    ("no-id", b"data: nobody made this\n\n"),
    ("empty-id", b"id:\ndata: nobody made this\n\n"),
    ("id-that-is-a-word", b"id: last\ndata: nobody made this\n\n"),
    ("same-id", b"id: 3\ndata: nobody made this\n\n"),
    ("earlier-id", b"id: 1\ndata: nobody made this\n\n"),
    ("half-an-event", b"id: 4\nda"),
    ("half-an-event-and-a-blank-line", b"id: 4\n\n"),
    ("another-answer", b"HTTP/1.1 200 OK\r\nX-Pathbank-Request-Id: other\r\nContent-Length: 0\r\n\r\n"),
];

/// The pieces before garbage.
const AFTER: u64 = 3;

/// Plays all garbage in streams of this route. Each client has to get pieces up to this one.
fn play(path: &str, then: Then, up_to: u64) {
    let case = Case::started();
    let mut wrong = Vec::new();
    for (name, bytes) in GARBAGE {
        let garbage = Garbage { after: AFTER, bytes: bytes.to_vec(), in_chunk: true, by_length: false, then };
        let streamed = case.stream_with(path, name, garbage);
        let whole = Streamed { status: 200, body: pieces(name, 1..=up_to), complete: up_to == PIECES };
        if streamed != whole {
            wrong.push(format!("{name}: {streamed:?}\n{}", case.steps(name)));
        }
        let runs = case.servers.runs(name);
        let resumed = runs.iter().skip(1).map(|run| run.last_event_id.as_deref());
        wrong.extend(
            resumed
                .filter(|id| *id != Some("3"))
                .map(|id| format!("{name}: resumed after {id:?}, not after 3")),
        );
    }
    assert!(wrong.is_empty(), "{}", wrong.join("\n"));
}

/// Plays garbage that lies where a chunk is due, so that the framing of the body is broken too.
fn play_between_chunks(path: &str, up_to: u64) {
    let case = Case::started();
    for (name, bytes) in GARBAGE {
        let garbage = Garbage {
            after: AFTER,
            bytes: bytes.to_vec(),
            in_chunk: false,
            by_length: false,
            then: Then::GoOn,
        };
        let streamed = case.stream_with(path, name, garbage);
        let whole = Streamed { status: 200, body: pieces(name, 1..=up_to), complete: up_to == PIECES };
        assert_eq!(streamed, whole, "{name}: {}", case.steps(name));
    }
}

// Issue 79: clients got a piece without an id, which no run had made.
#[test]
fn garbage_in_a_resumable_stream_does_not_reach_its_client() {
    play(RESUMABLE, Then::GoOn, PIECES);
}

#[test]
fn garbage_at_the_end_of_a_resumable_stream_does_not_reach_its_client() {
    play(RESUMABLE, Then::End, PIECES);
}

#[test]
fn garbage_before_a_reset_of_a_resumable_stream_does_not_reach_its_client() {
    play(RESUMABLE, Then::Reset, PIECES);
}

#[test]
fn garbage_in_a_stream_that_may_not_be_resumed_ends_it_as_not_complete() {
    play(NOT_RESUMABLE, Then::GoOn, AFTER);
}

#[test]
fn garbage_at_the_end_of_a_stream_that_may_not_be_resumed_does_not_look_complete() {
    play(NOT_RESUMABLE, Then::End, AFTER);
}

#[test]
fn garbage_before_a_close_of_a_stream_that_may_not_be_resumed_does_not_reach_its_client() {
    play(NOT_RESUMABLE, Then::Close, AFTER);
}

#[test]
fn garbage_between_the_chunks_of_a_resumable_stream_does_not_reach_its_client() {
    play_between_chunks(RESUMABLE, PIECES);
}

#[test]
fn garbage_between_the_chunks_of_a_stream_that_may_not_be_resumed_ends_it_as_not_complete() {
    play_between_chunks(NOT_RESUMABLE, AFTER);
}

#[test]
fn a_second_answer_behind_a_whole_stream_reaches_nobody() {
    let case = Case::started();
    for number in 0..20 {
        let id = format!("twice-{number}");
        let second = format!(
            "0\r\n\r\nHTTP/1.1 200 OK\r\nX-Pathbank-Request-Id: {id}\r\nX-Pathbank-Response-Signature: garbage\r\n\
             X-Pathbank-Instance-Load: 8,900,8\r\nContent-Length: 4\r\n\r\nnone"
        );
        let garbage = Garbage {
            after: PIECES,
            bytes: second.into_bytes(),
            in_chunk: false,
            by_length: false,
            then: Then::Close,
        };
        for id in [id.as_str(), &format!("{id}-next")] {
            let streamed = case.stream_with(NOT_RESUMABLE, id, garbage.clone());
            let whole = Streamed { status: 200, body: pieces(id, 1..=PIECES), complete: true };
            assert_eq!(streamed, whole, "{}", case.steps(id));
        }
    }
}

// A server that broke off before its first piece left the next one to begin anew.
#[test]
fn a_stream_that_its_client_resumes_goes_on_after_the_last_event_at_each_server() {
    let case = Case::started();
    let garbage =
        Garbage { after: 2, bytes: b"id: 1\n".to_vec(), in_chunk: true, by_length: false, then: Then::End };
    let sound = case.stream_with(RESUMABLE, "earns-a-retry", garbage.clone());
    assert!(sound.complete, "{sound:?}");
    for garbage in [None, Some(garbage)] {
        let id = format!("resumed-{}", garbage.is_some());
        if let Some(garbage) = garbage {
            // Earns the retry first.
            case.stream_with(RESUMABLE, "earns-another", garbage.clone());
            (0..SOUND_STREAMS_FOR_A_RETRY).for_each(|_| drop(case.stream(RESUMABLE, "sound", None)));
            case.servers.plan.set(&id, garbage);
        }
        let streamed = case.stream(RESUMABLE, &id, Some(2));
        let whole = Streamed { status: 200, body: pieces(&id, 3..=PIECES), complete: true };
        assert_eq!(streamed, whole, "{}", case.steps(&id));
        let after = case.servers.runs(&id);
        assert!(after.iter().all(|run| run.last_event_id.as_deref() == Some("2")), "{after:?}");
    }
}

// The length counted what the edge left out, so that the answer of a sound server never looked complete.
#[test]
fn a_stream_with_a_length_is_complete_without_the_comments_in_it() {
    let case = Case::started();
    for path in [RESUMABLE, NOT_RESUMABLE] {
        let bytes = b": still here\n\n".to_vec();
        let comment = Garbage { after: 2, bytes, in_chunk: true, by_length: true, then: Then::GoOn };
        let id = format!("comment-{}", path.len());
        let streamed = case.stream_with(path, &id, comment);
        let whole = Streamed { status: 200, body: pieces(&id, 1..=PIECES), complete: true };
        assert_eq!(streamed, whole, "{path}: {}", case.steps(&id));
    }
}

/// The seeds of garbage that is drawn at random; `PATHBANK_GARBAGE_SEEDS=0..1000` plays others.
fn seeds() -> std::ops::Range<u64> {
    let asked = std::env::var("PATHBANK_GARBAGE_SEEDS").ok();
    let range = asked.as_deref().and_then(|text| text.split_once(".."));
    range.map_or(0..60, |(first, end)| first.parse().expect("a seed")..end.parse().expect("a seed"))
}

#[test]
fn no_bytes_of_a_server_reach_a_client_but_pieces() {
    let case = Case::started();
    for seed in seeds() {
        let mut draw = fastrand::Rng::with_seed(seed);
        let bytes: Vec<u8> = (0..draw.usize(1..200)).map(|_| draw.u8(..)).collect();
        let then = [Then::GoOn, Then::End, Then::Close, Then::Reset][draw.usize(..4)];
        let garbage =
            Garbage { after: draw.u64(0..=PIECES), bytes, in_chunk: draw.bool(), by_length: false, then };
        let (id, once) = (format!("seed-{seed}"), format!("seed-{seed}-once"));
        let streamed = case.stream_with(RESUMABLE, &id, garbage.clone());
        let whole = Streamed { status: 200, body: pieces(&id, 1..=PIECES), complete: true };
        assert_eq!(streamed, whole, "{garbage:?} {}", case.steps(&id));
        let streamed = case.stream_with(NOT_RESUMABLE, &once, garbage.clone());
        let whole = pieces(&once, 1..=PIECES);
        assert!(whole.starts_with(&streamed.body), "{streamed:?} {garbage:?}");
        let is_whole = streamed.body == whole;
        assert!(is_whole || !streamed.complete, "{streamed:?} {garbage:?} {}", case.steps(&once));
    }
}

// A state that is none counted as draining, and took the server out of rotation.
#[test]
fn a_heartbeat_with_a_state_that_is_none_changes_nothing() {
    let case = Case::started();
    let body = |state: &str| {
        format!(
            "{{\"backend\":\"llm\",\"address\":\"127.0.0.1:9\",\"zone\":\"z1\",\"state\":{state},\"sequence\":900}}"
        )
    };
    for state in ["\"unwell\"", "\"\"", "null", "7"] {
        let control = case.system.control[0];
        let answer = call(control, "POST", "/api/instances/i-1/heartbeat", &[], &body(state)).unwrap();
        assert_eq!(answer.status, 400, "{state}: {}", answer.body);
        assert!(answer.body.contains("UnreadableDocument"), "{}", answer.body);
    }
    let list = call(case.system.control[0], "GET", "/api/bricks", &[], "").unwrap().body;
    assert!(!list.contains("draining"), "{list}");
}

#[test]
fn a_stream_does_not_go_on_with_the_pieces_of_another_version() {
    let case = Case::started();
    let garbage = Garbage {
        after: AFTER,
        bytes: b"id:\n\n".to_vec(),
        in_chunk: true,
        by_length: false,
        then: Then::GoOn,
    };
    case.servers.change_version.lock().unwrap().insert("changed".to_owned());
    let streamed = case.stream_with(RESUMABLE, "changed", garbage);
    let before = Streamed { status: 200, body: pieces("changed", 1..=AFTER), complete: false };
    assert_eq!(streamed, before, "{}", case.steps("changed"));
    assert_eq!(case.servers.runs("changed").len(), 2, "another server was asked");
}
