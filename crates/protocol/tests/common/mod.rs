//! Frames of every kind, for tests.

#![allow(dead_code, reason = "each test file uses some of them")]

use pathbank_coordination::state_comparison::{
    ComparisonId, ComparisonReport, ComparisonRequest, StateDigest,
};
use pathbank_coordination::types::{
    Entry, Member, Membership, Message, Payload, SnapshotChunk, SnapshotId, StoreId,
};
use pathbank_protocol::message::*;

pub fn member() -> Member {
    Member {
        id: StoreId(7),
        name: "core-1".into(),
        address: "10.0.0.1:7660".into(),
        control_address: "10.0.0.1:8407".into(),
    }
}

pub fn server() -> ModelServer {
    ModelServer {
        instance: "i-1".into(),
        backend: "llm".into(),
        address: "10.0.0.9:8080".into(),
        zone: "z".into(),
        version: "v1".into(),
        capacity: 64,
        state: ModelServerState::Draining,
        cold_remaining_ms: 5,
        remaining_ms: 2_000,
        models: vec![LoadedModel { name: "m".into(), version: 3, adapters: vec!["a1".into(), "a2".into()] }],
        sequence: 9,
        busy: true,
    }
}

pub fn report() -> EdgeReport {
    EdgeReport {
        edge: "edge-1".into(),
        incarnation: 4,
        usage: vec![UsageWindow { window: 8, counts: vec![("tenant".into(), 3)] }],
        demand: vec![ModelDemand {
            backend: "llm".into(),
            model: "m".into(),
            adapter: "a1".into(),
            arrived: 2,
            tokens: 900,
            waiting: 1,
            prefill_ms: 140,
            slot_time_ms: 2_600,
            objective_ms: 500,
        }],
        loads: vec![ModelServerLoad {
            instance: "i-1".into(),
            in_flight: 2,
            failed: 1,
            answered: 9,
            error_permille: 100,
        }],
        demand_span_ms: 4_000,
        configuration: ConfigurationInForce { index: 9, version: 14, for_ms: 250 },
    }
}

pub fn admission() -> AdmissionRequest {
    let option = AdmissionOption { instance: "i-1".into(), prefill_ms: 80, other_cost_ms: 30 };
    let options = vec![option.clone(), AdmissionOption { prefill_ms: 9, ..option }];
    AdmissionRequest { request: 7, options, urgency: 12 }
}

pub fn draw_id() -> DrawId {
    DrawId { step: 3, epoch: 40, prompt: 5, instance: "i-1".into(), version: 7 }
}

pub fn draw_grant() -> DrawGrant {
    let task = DrawTask {
        id: draw_id(),
        address: "10.0.0.9:8080".into(),
        model: "m".into(),
        path: "/generate".into(),
        body: "a prompt".into(),
        input_tokens: 20,
        output_tokens: 30,
        prefix: "aa:20".into(),
        timeout_ms: 9_000,
        event_tokens: 3,
    };
    DrawGrant { requested_at: 12, start_timeout_ms: 300, tasks: vec![task.clone(), task] }
}

pub fn draw_result(ending: DrawEnding) -> Frame {
    Frame::DrawResult(DrawResult { id: draw_id(), timeout_ms: 9_000, ending })
}

pub fn drawn(header_version: Option<u64>) -> DrawEnding {
    let (text, truncated) = ("some text".into(), true);
    DrawEnding::Complete(DrawnAnswer {
        header_version,
        event_versions: vec![7, 8],
        tokens: 30,
        text,
        truncated,
    })
}

pub fn model_versions() -> Frame {
    let trained = ModelVersions { backend: "llm".into(), model: "m".into(), open: Some(8), sealed: Some(7) };
    Frame::ModelVersions(vec![ModelVersions { open: None, ..trained.clone() }, trained])
}

pub fn order_status(models: Option<Vec<LoadedModel>>) -> Frame {
    let withheld = vec![WithheldModel { model: "m".into(), adapter: "a1".into() }];
    Frame::OrderStatus(OrderStatus { instance: "i-1".into(), withheld, models, busy: true })
}

pub fn core_status() -> CoreStatus {
    CoreStatus {
        members: vec![member()],
        leader: "l".into(),
        edges: 8,
        wall_clock_ms: 6,
        zone: "z".into(),
        configuration_index: 4,
        current: true,
    }
}

pub fn replica(message: Message) -> Frame {
    Frame::Replica(member(), message)
}

pub fn append() -> Message {
    let membership = Membership { voters: vec![member()], outgoing: vec![member()] };
    let payloads = [
        Payload::LeaderStart("core-1".into()),
        Payload::Membership(membership),
        Payload::Command(vec![1, 2]),
    ];
    let entry = |(at, payload): (usize, Payload)| Entry { index: at as u64 + 1, term: 2, payload };
    let entries = payloads.into_iter().enumerate().map(entry).collect();
    Message::Append { term: 2, previous_index: 0, previous_term: 0, entries, commit: 1, sent_at: 77 }
}

pub fn snapshot_chunk() -> Message {
    let id = SnapshotId { index: 5, length: 700, checksum: 0xdead_beef };
    Message::SnapshotChunk(SnapshotChunk { term: 3, id, offset: 400, bytes: vec![9; 300], sent_at: 5 })
}

pub fn hello(accepts_compression: bool) -> Hello {
    Hello {
        role: ProcessRole::Edge,
        name: "e".into(),
        zone: "z".into(),
        incarnation: 1,
        accepts_compression,
        compares_states: false,
        command_format: 0,
    }
}

/// A frame of each kind, by a name that says which.
pub fn samples() -> Vec<(&'static str, Frame)> {
    let core_hello = Hello { role: ProcessRole::Core, ..hello(false) };
    let vote_request =
        Message::VoteRequest { term: 1, pre: true, leadership_transfer: false, last_index: 2, last_term: 1 };
    let update = ConfigurationUpdate { index: 3, base_index: 2, document: b"{}".to_vec() };
    let ready = ModelServer { state: ModelServerState::Ready, busy: false, models: Vec::new(), ..server() };
    let removed = ModelServer { state: ModelServerState::Removed, ..ready.clone() };
    let servers = vec![server(), ready, removed];
    let expected = ExpectedModel { backend: "llm".into(), model: "m".into(), ready_in_ms: 800 };
    vec![
        ("hello", Frame::Hello(hello(true))),
        ("hello_of_a_core", Frame::Hello(core_hello)),
        ("vote_request", replica(vote_request)),
        ("vote_reply", replica(Message::VoteReply { term: 1, pre: false, granted: true })),
        ("append", replica(append())),
        ("append_reply", replica(Message::AppendReply { term: 1, accepted: true, index: 4, sent_at: 3 })),
        ("snapshot_chunk", replica(snapshot_chunk())),
        ("snapshot_reply", replica(Message::SnapshotReply { term: 3, index: 5, received: 700, sent_at: 5 })),
        ("campaign_now", replica(Message::CampaignNow { term: 4, calls_settled: false })),
        ("join", replica(Message::Join)),
        ("leave", replica(Message::Leave)),
        ("leave_reply", replica(Message::LeaveReply { term: 3, replacing: true })),
        ("core", Frame::Core(core_status())),
        ("configuration", Frame::Configuration(update)),
        ("model_servers", Frame::ModelServers(ModelServerUpdate { complete: true, servers })),
        ("heartbeats", Frame::Heartbeats(vec![server()])),
        ("report", Frame::Report(report())),
        ("ping", Frame::Ping(12)),
        ("subscribe", Frame::Subscribe(Subscription { wanted: true, known_index: 9 })),
        ("fetch_configuration", Frame::FetchConfiguration),
        ("fetch_difference", Frame::FetchDifference(41)),
        ("loads", Frame::Loads(report().loads)),
        ("admission_request", Frame::AdmissionRequest(admission())),
        ("admission_grant", Frame::AdmissionGrant(AdmissionGrant { request: 7, option: 1, wait_ms: 30 })),
        ("draw_offer", Frame::DrawOffer(DrawOffer { count: 4 })),
        ("draw_request", Frame::DrawRequest(DrawRequest { requested_at: 9, count: 3 })),
        ("draw_grant", Frame::DrawGrant(draw_grant())),
        ("draw_result_complete", draw_result(drawn(Some(7)))),
        ("draw_result_without_a_version", draw_result(drawn(None))),
        ("draw_result_over", draw_result(DrawEnding::Over)),
        ("draw_result_unknown", draw_result(DrawEnding::Unknown)),
        ("model_versions", model_versions()),
        ("order_status", order_status(None)),
        ("order_status_with_models", order_status(Some(server().models))),
        ("expected_models", Frame::ExpectedModels(vec![expected])),
    ]
}

/// Frames that came after the program of `samples`.
pub fn later_samples() -> Vec<(&'static str, Frame)> {
    let comparing = Hello { role: ProcessRole::Core, compares_states: true, ..hello(true) };
    let numbered = Hello { command_format: 1, ..comparing.clone() };
    let id = ComparisonId { term: 4, number: 7 };
    let request = ComparisonRequest { id, index: 1_234 };
    let state = StateDigest { format: 1, digest: 0x0102_0304_0506_0708_090a_0b0c_0d0e_0f10 };
    let report = ComparisonReport { store: StoreId(9), request, state };
    vec![
        ("hello_of_a_comparing_core", Frame::Hello(comparing)),
        ("comparison_request", Frame::ComparisonRequest(request)),
        ("comparison_report", Frame::ComparisonReport(report)),
        ("hello_of_a_core_with_a_command_format", Frame::Hello(numbered)),
        ("campaign_now_with_settled_calls", replica(Message::CampaignNow { term: 4, calls_settled: true })),
    ]
}

/// Frames that are long enough to be compressed, by a name that says which.
pub fn long_samples() -> Vec<(&'static str, Frame)> {
    let document = br#"{"name":"route-1","path_prefix":"/one/"},"#.repeat(100);
    let update = ConfigurationUpdate { index: 3, base_index: 0, document };
    let servers = (0..40).map(|number| ModelServer { instance: format!("i-{number}"), ..server() }).collect();
    vec![
        ("compressed_configuration", Frame::Configuration(update)),
        ("compressed_model_servers", Frame::ModelServers(ModelServerUpdate { complete: false, servers })),
    ]
}
