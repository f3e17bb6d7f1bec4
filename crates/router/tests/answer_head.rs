//! Tests of which heads are those of answers to a request, and of the load that they state.

#![allow(clippy::unwrap_used, clippy::expect_used, reason = "a test fails by a panic")]

use pathbank_router::answer::head::{AnswerHead, AnswerKind, HeadError, SentRequest};
use pathbank_router::answer::load::InstanceLoad;
use proptest::prelude::*;
use test_case::test_case;

const ID: &[u8] = b"id-1";

/// The head of a sound stream.
fn head() -> AnswerHead<'static> {
    AnswerHead {
        status: 200,
        request_id: Some(ID),
        signed: true,
        not_executed: false,
        framed: true,
        encoded: false,
        content_type: Some("text/event-stream"),
        version: Some(3),
    }
}

fn streaming() -> SentRequest<'static> {
    SentRequest { id: Some(ID), streaming: true, accepts_encoding: false, version: None }
}

fn plain() -> SentRequest<'static> {
    SentRequest { streaming: false, ..streaming() }
}

#[test_case(streaming(), head(), Ok(AnswerKind::Stream); "a stream")]
#[test_case(streaming(), AnswerHead { content_type: None, ..head() }, Ok(AnswerKind::Stream); "a stream without a media type")]
#[test_case(streaming(), AnswerHead { content_type: Some("Text/Event-Stream; charset=utf-8"), ..head() }, Ok(AnswerKind::Stream); "a stream with a parameter")]
#[test_case(streaming(), AnswerHead { content_type: Some("application/json"), ..head() }, Ok(AnswerKind::Whole); "a document on a streaming route")]
#[test_case(streaming(), AnswerHead { status: 500, ..head() }, Ok(AnswerKind::Whole); "a failure on a streaming route")]
#[test_case(streaming(), AnswerHead { framed: false, ..head() }, Err(HeadError::Unframed); "a stream without a length")]
#[test_case(streaming(), AnswerHead { encoded: true, ..head() }, Err(HeadError::Encoded); "a compressed stream")]
#[test_case(SentRequest { accepts_encoding: true, ..streaming() }, AnswerHead { encoded: true, ..head() }, Err(HeadError::Encoded); "a compressed stream that the client accepts")]
#[test_case(SentRequest { version: Some(3), ..streaming() }, head(), Ok(AnswerKind::Stream); "the version that was asked for")]
#[test_case(SentRequest { version: Some(2), ..streaming() }, head(), Err(HeadError::OtherVersion); "another version")]
#[test_case(SentRequest { version: Some(2), ..streaming() }, AnswerHead { version: None, ..head() }, Ok(AnswerKind::Stream); "no version")]
#[test_case(SentRequest { version: Some(2), ..streaming() }, AnswerHead { status: 421, ..head() }, Ok(AnswerKind::Misdirected); "misdirected for its version")]
#[test_case(plain(), AnswerHead { framed: false, ..head() }, Ok(AnswerKind::Whole); "a document without a length")]
#[test_case(plain(), AnswerHead { encoded: true, ..head() }, Err(HeadError::Encoded); "a compressed document")]
#[test_case(SentRequest { accepts_encoding: true, ..plain() }, AnswerHead { encoded: true, ..head() }, Ok(AnswerKind::Whole); "a compressed document that the client accepts")]
#[test_case(plain(), AnswerHead { signed: false, ..head() }, Err(HeadError::Unsigned); "no signature")]
#[test_case(plain(), AnswerHead { signed: false, status: 500, ..head() }, Ok(AnswerKind::Whole); "a failure without a signature")]
#[test_case(plain(), AnswerHead { request_id: None, ..head() }, Err(HeadError::OtherRequest); "no id")]
#[test_case(plain(), AnswerHead { request_id: Some(b"id-2"), ..head() }, Err(HeadError::OtherRequest); "the id of another request")]
#[test_case(plain(), AnswerHead { status: 503, not_executed: true, ..head() }, Ok(AnswerKind::NotRun); "not run")]
#[test_case(plain(), AnswerHead { status: 421, ..head() }, Ok(AnswerKind::Misdirected); "misdirected")]
// A late answer to another request made the edge send its own request again.
#[test_case(plain(), AnswerHead { status: 503, not_executed: true, request_id: Some(b"id-2"), ..head() }, Err(HeadError::OtherRequest); "another request was not run")]
#[test_case(plain(), AnswerHead { status: 421, request_id: None, ..head() }, Err(HeadError::OtherRequest); "misdirected without an id")]
fn a_head_is_checked(
    request: SentRequest<'static>,
    head: AnswerHead<'static>,
    expected: Result<AnswerKind, HeadError>,
) {
    assert_eq!(head.check(request), expected);
}

#[test_case("3,0,8", Some((3, 0, 8)); "plain")]
#[test_case(" 3 , 10 , 8 ", Some((3, 10, 8)); "with spaces")]
#[test_case("3,0", None; "two numbers")]
#[test_case("3,0,8,1", None; "four numbers")]
#[test_case("9,0,8", None; "more requests than slots")]
#[test_case("-1,0,8", None; "a negative number")]
#[test_case("+1,0,8", None; "a sign")]
#[test_case("1.5,0,8", None; "a fraction")]
#[test_case("99999999999,0,8", None; "a number that is too large")]
#[test_case("", None; "nothing")]
fn a_load_consists_of_three_numbers(text: &str, expected: Option<(u32, u32, u32)>) {
    let load = InstanceLoad::parse(text);
    assert_eq!(load.map(|load| (load.running, load.waiting, load.slots)), expected);
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn any_text_is_a_plausible_load_or_none(text in "\\PC{0,24}") {
        if let Some(load) = InstanceLoad::parse(&text) {
            prop_assert!(load.running <= load.slots);
        }
    }
}
