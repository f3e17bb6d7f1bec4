//! Which generations an edge starts that the leader assigned to it. The test plays the leader.

#![allow(clippy::unwrap_used, clippy::expect_used, reason = "a test fails by a panic")]

mod common;

use common::System;
use pathbank_protocol::codec;
use pathbank_protocol::framing::take_body;
use pathbank_protocol::message::{
    CoreStatus, DrawEnding, DrawGrant, DrawId, DrawOffer, DrawResult, DrawTask, Frame,
};
use pathbank_system::stand_in::{StandInSettings, StandInState};
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::time::Duration;
use test_case::test_case;

const PATIENCE: Duration = Duration::from_secs(20);
const START_TIMEOUT_MS: u64 = 200;

/// A link that an edge opened to the leader that this test plays.
struct Leader {
    stream: TcpStream,
    buffer: Vec<u8>,
}

impl Leader {
    /// Waits for the edge of a system whose cores do not run.
    fn of(system: &mut System) -> Leader {
        let address = system.local.internal[0];
        let listener = TcpListener::bind(address).unwrap();
        system.local.edges[0].process.start().unwrap();
        let (stream, _) = listener.accept().unwrap();
        stream.set_read_timeout(Some(PATIENCE)).unwrap();
        let mut leader = Leader { stream, buffer: Vec::new() };
        let status =
            CoreStatus { leader: address.to_string(), edges: 1, current: true, ..CoreStatus::default() };
        leader.say(&Frame::Core(status));
        leader
    }

    fn say(&mut self, frame: &Frame) {
        self.stream.write_all(&codec::encode(frame)).unwrap();
    }

    /// Waits for the next frame of a kind; pings keep the link open meanwhile.
    fn receive<T>(&mut self, kind: impl Fn(Frame) -> Option<T>) -> T {
        let mut chunk = [0; 4_096];
        loop {
            while let Some(body) = take_body(&mut self.buffer).unwrap() {
                if let Some(received) = kind(codec::decode(&body).unwrap()) {
                    return received;
                }
            }
            let count = self.stream.read(&mut chunk).unwrap();
            assert!(count > 0, "the edge closed its link");
            self.buffer.extend_from_slice(&chunk[..count]);
            self.say(&Frame::Ping(1));
        }
    }
}

fn server(system: &System) -> (SocketAddr, Arc<StandInState>) {
    let address = system.local.server_address(0).unwrap();
    let settings = StandInSettings::new("w0", "llm", "z1", &["m1"], &system.control);
    (address, common::start_server(system.runtime.handle(), settings, address))
}

fn grant(requested_at: u64, address: SocketAddr, version: u64) -> DrawGrant {
    let id = DrawId { step: 1, epoch: 5, prompt: 7, instance: "w0".into(), version };
    let task = DrawTask {
        id,
        address: address.to_string(),
        model: "m1".into(),
        path: "/generate".into(),
        body: "a prompt".into(),
        input_tokens: 10,
        output_tokens: 15,
        prefix: String::new(),
        timeout_ms: 2_000,
        event_tokens: 3,
    };
    DrawGrant { requested_at, start_timeout_ms: START_TIMEOUT_MS, tasks: vec![task] }
}

#[test_case(0, 1, true; "a grant in time")]
#[test_case(START_TIMEOUT_MS + 50, 1, false; "a late grant")]
#[test_case(0, 2, false; "a version that the worker does not hold")]
fn an_assigned_generation_starts_in_time_or_not_at_all(late_ms: u64, version: u64, starts: bool) {
    // Given an edge that requested an offered generation, when the grant takes this long to arrive,
    let mut system = System::new();
    let (address, state) = server(&system);
    let mut leader = Leader::of(&mut system);
    leader.say(&Frame::DrawOffer(DrawOffer { count: 1 }));
    let request = leader.receive(|frame| match frame {
        Frame::DrawRequest(request) => Some(request),
        _ => None,
    });
    std::thread::sleep(Duration::from_millis(late_ms));
    leader.say(&Frame::DrawGrant(grant(request.requested_at, address, version)));
    let result: DrawResult = leader.receive(|frame| match frame {
        Frame::DrawResult(result) => Some(result),
        _ => None,
    });
    // then the edge starts the generation in time or not at all, and reports its end either way.
    assert_eq!(state.runs().len(), usize::from(starts));
    match result.ending {
        DrawEnding::Complete(answer) => {
            assert!(starts && answer.header_version == Some(1) && answer.text.contains("data: piece 5"));
            assert_eq!(answer.tokens, 15);
        }
        other => assert!(!starts && other == DrawEnding::Over, "{other:?}"),
    }
}
