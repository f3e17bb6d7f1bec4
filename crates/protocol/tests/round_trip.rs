//! Encoding and decoding: round trips, framing, compression, damaged bytes.

#![allow(clippy::unwrap_used, clippy::expect_used, reason = "a test fails by a panic")]

mod common;

use common::*;
use pathbank_coordination::types::Message;
use pathbank_protocol::codec::{SharedMessage, decode, encode};
use pathbank_protocol::framing::{FrameTooLong, LENGTH_BYTES, take_body};
use pathbank_protocol::message::*;
use test_case::test_case;

#[test_case(Frame::Hello(Hello { role: ProcessRole::Edge, name: "e".into(), zone: "z".into(), incarnation: 1, accepts_compression: true, compares_states: false, command_format: 0 }); "hello")]
#[test_case(replica(append()); "append")]
#[test_case(replica(snapshot_chunk()); "snapshot chunk")]
#[test_case(replica(Message::SnapshotReply { term: 3, index: 5, received: 700, sent_at: 5 }); "snapshot reply")]
#[test_case(replica(Message::Leave); "leave")]
#[test_case(replica(Message::LeaveReply { term: 3, replacing: true }); "leave reply")]
#[test_case(replica(Message::VoteRequest { term: 1, pre: true, leadership_transfer: false, last_index: 2, last_term: 1 }); "vote request")]
#[test_case(replica(Message::VoteReply { term: 1, pre: false, granted: true }); "vote reply")]
#[test_case(replica(Message::AppendReply { term: 1, accepted: true, index: 4, sent_at: 3 }); "append reply")]
#[test_case(replica(Message::CampaignNow { term: 4, calls_settled: false }); "campaign now")]
#[test_case(replica(Message::CampaignNow { term: 4, calls_settled: true }); "campaign now with settled calls")]
#[test_case(replica(Message::Join); "join")]
#[test_case(Frame::Core(core_status()); "core")]
#[test_case(Frame::Configuration(ConfigurationUpdate { index: 3, base_index: 2, document: b"{}".to_vec() }); "configuration")]
#[test_case(Frame::ModelServers(ModelServerUpdate { complete: true, servers: vec![server()] }); "model servers")]
#[test_case(Frame::Heartbeats(vec![server(), server()]); "heartbeats")]
#[test_case(Frame::Report(report()); "report")]
#[test_case(Frame::Subscribe(Subscription { wanted: true, known_index: 9 }); "subscribe")]
#[test_case(Frame::FetchConfiguration; "fetch configuration")]
#[test_case(Frame::FetchDifference(41); "fetch difference")]
#[test_case(Frame::Loads(report().loads); "loads")]
#[test_case(Frame::AdmissionRequest(admission()); "admission request")]
#[test_case(Frame::AdmissionGrant(AdmissionGrant { request: 7, option: 1, wait_ms: 30 }); "admission grant")]
#[test_case(Frame::DrawOffer(DrawOffer { count: 4 }); "draw offer")]
#[test_case(Frame::DrawRequest(DrawRequest { requested_at: 9, count: 3 }); "draw request")]
#[test_case(Frame::DrawGrant(draw_grant()); "draw grant")]
#[test_case(draw_result(drawn(Some(7))); "a complete generation")]
#[test_case(draw_result(drawn(None)); "a complete generation without a version")]
#[test_case(draw_result(DrawEnding::Over); "a generation that ended without an answer")]
#[test_case(draw_result(DrawEnding::Unknown); "a generation whose end is unknown")]
#[test_case(model_versions(); "model versions")]
#[test_case(order_status(None); "order status")]
#[test_case(order_status(Some(Vec::new())); "order status without resident models")]
#[test_case(order_status(Some(server().models)); "order status with a resident model")]
#[test_case(Frame::Ping(12); "ping")]
fn a_message_survives_a_round_trip(frame: Frame) {
    let mut bytes = encode(&frame);
    let body = take_body(&mut bytes).unwrap().unwrap();
    assert!(bytes.is_empty());
    assert_eq!(decode(&body).unwrap(), frame);
}

#[test]
fn later_kinds_survive_a_round_trip() {
    for (name, frame) in later_samples() {
        assert_eq!(read_back(&encode(&frame)), frame, "{name}");
    }
}

#[test]
fn a_body_is_taken_once_it_is_complete() {
    let frame = Frame::Report(report());
    let bytes = [encode(&frame), encode(&Frame::Ping(1))].concat();
    let mut buffer = Vec::new();
    let mut bodies = Vec::new();
    for piece in bytes.chunks(5) {
        buffer.extend_from_slice(piece);
        while let Some(body) = take_body(&mut buffer).unwrap() {
            bodies.push(decode(&body).unwrap());
        }
    }
    assert_eq!(bodies, [frame, Frame::Ping(1)]);
}

#[test]
fn a_length_over_the_limit_is_an_error() {
    let mut buffer = u32::MAX.to_le_bytes().to_vec();
    assert_eq!(take_body(&mut buffer), Err(FrameTooLong(u32::MAX as usize)));
}

#[test]
fn damaged_bytes_do_not_panic() {
    let complete = encode(&replica(append()));
    for at in LENGTH_BYTES..complete.len() {
        let mut body = complete[LENGTH_BYTES..].to_vec();
        body[at - LENGTH_BYTES] ^= 0x55;
        let _ = decode(&body);
        let _ = decode(&complete[LENGTH_BYTES..at]);
    }
}

fn read_back(bytes: &[u8]) -> Frame {
    let mut buffer = bytes.to_vec();
    decode(&take_body(&mut buffer).unwrap().unwrap()).unwrap()
}

#[test]
fn a_long_message_is_compressed_for_receivers_that_accept_it() {
    let document = br#"{"name":"route-1","path_prefix":"/one/"},"#.repeat(1_000);
    let frame = Frame::Configuration(ConfigurationUpdate { index: 3, base_index: 0, document });
    let message = SharedMessage::new(&frame);
    let (plain, compressed) = (message.to(&hello(false)), message.to(&hello(true)));
    assert_eq!((read_back(&plain), read_back(&compressed)), (frame.clone(), frame));
    assert!(compressed.len() < plain.len() / 8, "{} of {} bytes", compressed.len(), plain.len());
}

#[test]
fn a_message_that_does_not_shrink_is_sent_plain() {
    let message = SharedMessage::new(&Frame::Ping(1));
    assert_eq!(message.to(&hello(true)), message.to(&hello(false)));
}

#[test]
fn damaged_compressed_bytes_do_not_panic() {
    let document = br#"{"name":"route-1"},"#.repeat(300);
    let frame = Frame::Configuration(ConfigurationUpdate { index: 3, base_index: 0, document });
    let complete = SharedMessage::new(&frame).to(&hello(true));
    for at in LENGTH_BYTES..complete.len() {
        for flipped in [0x01, 0x55, 0x80, 0xff] {
            let mut body = complete[LENGTH_BYTES..].to_vec();
            body[at - LENGTH_BYTES] ^= flipped;
            let _ = decode(&body);
        }
    }
}
