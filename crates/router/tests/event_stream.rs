//! Tests of how the pieces of a stream are told from whatever else a model server sends.

#![allow(clippy::unwrap_used, clippy::expect_used, reason = "a test fails by a panic")]

use bytes::Bytes;
use pathbank_router::answer::event_stream::{EventReader, MAX_EVENT_BYTES, StreamError};
use proptest::prelude::*;
use test_case::test_case;

/// What a reader let pass of a whole body.
#[derive(Debug, PartialEq, Eq)]
struct Passed {
    bytes: Vec<u8>,
    versions: Vec<u64>,
    last_id: Option<u64>,
    events: u64,
    end: Result<(), StreamError>,
}

/// Reads a body that arrives in chunks. Nothing is read after an error, as at the edge.
fn read<'a>(mut reader: EventReader, chunks: impl Iterator<Item = &'a [u8]>) -> Passed {
    let (mut bytes, mut versions, mut end) = (Vec::new(), Vec::new(), Ok(()));
    for chunk in chunks {
        let pieces = reader.read(&Bytes::copy_from_slice(chunk));
        bytes.extend_from_slice(&pieces.bytes);
        versions.extend(pieces.versions);
        if let Some(error) = pieces.error {
            end = Err(error);
            break;
        }
    }
    if end.is_ok() {
        end = reader.finish();
    }
    Passed { bytes, versions, last_id: reader.last_id(), events: reader.events(), end }
}

fn read_whole(body: &[u8]) -> Passed {
    read(EventReader::default(), std::iter::once(body))
}

/// Splits a body at these places, in any order; places beyond its end are left out.
fn split<'a>(body: &'a [u8], places: &[usize]) -> Vec<&'a [u8]> {
    let mut places: Vec<usize> = places.iter().map(|place| place % (body.len() + 1)).collect();
    places.push(0);
    places.push(body.len());
    places.sort_unstable();
    places.windows(2).map(|pair| &body[pair[0]..pair[1]]).collect()
}

#[test_case(1; "byte by byte")]
#[test_case(7; "seven bytes at a time")]
#[test_case(1_000; "at once")]
fn complete_events_pass_and_the_last_id_is_known(chunk_size: usize) {
    let body =
        b"id: 1\ndata: a\n\nversions: 8\nid: 2\ndata: b\ndata: c\n\nid:30\nevent: x\nretry: 5\ndata\n\n";
    let passed = read(EventReader::default(), body.chunks(chunk_size));
    let expected =
        Passed { bytes: body.to_vec(), versions: vec![8], last_id: Some(30), events: 3, end: Ok(()) };
    assert_eq!(passed, expected);
}

#[test]
fn an_event_that_is_not_complete_does_not_pass() {
    let mut reader = EventReader::default();
    let pieces = reader.read(&Bytes::from_static(b"id: 1\ndata: a\n\nid: 2\nda"));
    assert_eq!(pieces.bytes, "id: 1\ndata: a\n\n");
    assert_eq!(reader.finish(), Err(StreamError::EndsWithinEvent));
    reader.restart();
    let pieces = reader.read(&Bytes::from_static(b"id: 2\ndata: b\n\n"));
    assert_eq!(pieces.bytes, "id: 2\ndata: b\n\n", "the next model server sends the event in full");
    assert_eq!(reader.finish(), Ok(()));
    assert_eq!((reader.last_id(), reader.events()), (Some(2), 2));
}

#[test_case(b"garbage", StreamError::EndsWithinEvent; "no line")]
#[test_case(b"garbage\n\n", StreamError::UnknownField; "a word")]
#[test_case(b"HTTP/1.1 200 OK\r\nX-Pathbank-Request-Id: 1\r\n\r\n", StreamError::UnknownField; "the head of another answer")]
#[test_case(b"\x16\x03\xff\xfe\n\n", StreamError::NotUtf8; "binary")]
#[test_case(b"id: 2\ndata: \xff\n\n", StreamError::NotUtf8; "data that is no text")]
#[test_case(b"data: x\n\n", StreamError::NoId; "no id")]
#[test_case(b"id:\ndata: x\n\n", StreamError::InvalidId; "an empty id")]
#[test_case(b"id\ndata: x\n\n", StreamError::InvalidId; "an id without a value")]
#[test_case(b"id: two\ndata: x\n\n", StreamError::InvalidId; "an id that is a word")]
#[test_case(b"id: +2\ndata: x\n\n", StreamError::InvalidId; "an id with a sign")]
#[test_case(b"id: 99999999999999999999\ndata: x\n\n", StreamError::InvalidId; "an id that no number holds")]
#[test_case(b"id: 2\nid: 3\ndata: x\n\n", StreamError::RepeatedId; "two ids")]
#[test_case(b"id: 1\ndata: x\n\n", StreamError::IdNotRising { last: 1, id: 1 }; "the same id again")]
#[test_case(b"id: 0\ndata: x\n\n", StreamError::IdNotRising { last: 1, id: 0 }; "an earlier id")]
#[test_case(b"id: 2\n\n", StreamError::NoData { id: 2 }; "no data")]
#[test_case(b"versions: x\nid: 2\ndata: x\n\n", StreamError::InvalidVersion; "a version that is a word")]
#[test_case(b"id: 2\nversions: 4\ndata: x\n\n", StreamError::InvalidVersion; "a version in a later line")]
#[test_case(b"id: 2\ndaid: 3\ndata: x\n\n", StreamError::UnknownField; "an event that another one cuts off")]
#[test_case(b"id: 2\ndata: x\n", StreamError::EndsWithinEvent; "an end within an event")]
#[test_case(b"id: 2", StreamError::EndsWithinEvent; "an end within a line")]
fn garbage_after_an_event_does_not_pass(garbage: &[u8], error: StreamError) {
    let sound = b"id: 1\ndata: a\n\n";
    let body = [sound, garbage].concat();
    for chunk_size in [1, 5, body.len()] {
        let passed = read(EventReader::default(), body.chunks(chunk_size));
        assert_eq!(passed.bytes, sound, "in chunks of {chunk_size}");
        assert_eq!((passed.last_id, passed.events, passed.end), (Some(1), 1, Err(error)));
    }
}

#[test]
fn nothing_passes_after_an_error_until_another_server_goes_on() {
    let mut reader = EventReader::default();
    let pieces = reader.read(&Bytes::from_static(b"id: 1\ndata: a\n\nid:\n\nid: 2\ndata: b\n\n"));
    assert_eq!(pieces.bytes, "id: 1\ndata: a\n\n");
    assert_eq!(reader.read(&Bytes::from_static(b"id: 3\ndata: c\n\n")).bytes, "");
    reader.restart();
    assert_eq!(reader.read(&Bytes::from_static(b"id: 2\ndata: b\n\n")).bytes, "id: 2\ndata: b\n\n");
}

#[test]
fn a_resumed_stream_goes_on_after_its_last_event() {
    let mut reader = EventReader::after(Some(12));
    assert_eq!(reader.last_id(), Some(12));
    let pieces = reader.read(&Bytes::from_static(b"id: 12\ndata: x\n\n"));
    assert_eq!(pieces.error, Some(StreamError::IdNotRising { last: 12, id: 12 }));
}

#[test_case(b"id: 1\r\ndata: a\r\n\r\nid: 2\r\ndata: b\r\n\r\n"; "carriage returns and line feeds")]
#[test_case(b"id: 1\rdata: a\r\rid: 2\rdata: b\r\r"; "carriage returns alone")]
#[test_case(b"id: 1\ndata: a\r\n\nid: 2\r\ndata: b\n\r\n"; "both mixed")]
#[test_case(b"id: 1\n: a comment\ndata: a\n\nid: 2\ndata: b\n\n"; "a comment in an event")]
fn a_sound_stream_passes_as_it_is(body: &[u8]) {
    for chunk_size in 1..=body.len() {
        let passed = read(EventReader::default(), body.chunks(chunk_size));
        assert_eq!(passed.bytes, body, "in chunks of {chunk_size}");
        assert_eq!((passed.last_id, passed.events, passed.end), (Some(2), 2, Ok(())));
    }
}

// The LF of a CRLF that arrived in two parts passed without the comment before it.
#[test]
fn comments_are_left_out_with_their_line_ends_however_they_are_split() {
    let body = b": hello\r\n\r\nid: 1\r\ndata: a\r\n\r\n: again\r\n\r\n";
    for chunk_size in 1..=body.len() {
        let passed = read(EventReader::default(), body.chunks(chunk_size));
        assert_eq!(passed.bytes, b"id: 1\r\ndata: a\r\n\r\n", "in chunks of {chunk_size}");
    }
}

#[test]
fn comments_and_empty_lines_between_events_are_no_pieces() {
    let passed = read_whole(b": hello\n\n\nid: 1\ndata: a\n\n\n\n: still here\n\nid: 2\ndata: b\n\n: bye\n");
    assert_eq!(passed.bytes, b"id: 1\ndata: a\n\nid: 2\ndata: b\n\n");
    assert_eq!(passed.end, Ok(()));
}

#[test]
fn an_event_has_a_longest_length() {
    let event = |length: usize| [b"id: 1\ndata: ", vec![b'x'; length].as_slice(), b"\n\n"].concat();
    assert_eq!(read_whole(&event(MAX_EVENT_BYTES - 100)).end, Ok(()));
    let endless = event(MAX_EVENT_BYTES);
    let passed = read(EventReader::default(), endless[..endless.len() - 2].chunks(16_384));
    assert_eq!((passed.bytes.len(), passed.end), (0, Err(StreamError::TooLong)));
    let at_once = read_whole(&endless);
    assert_eq!((at_once.bytes.len(), at_once.end), (0, Err(StreamError::TooLong)));
}

/// Whether a body consists of pieces with rising ids: the definition, read slowly.
fn consists_of_pieces(body: &[u8]) -> bool {
    let Ok(text) = std::str::from_utf8(body) else { return false };
    let text = text.replace("\r\n", "\n").replace('\r', "\n");
    if text.is_empty() {
        return true;
    }
    let Some(text) = text.strip_suffix("\n\n") else { return false };
    let mut last = None;
    text.split("\n\n").all(|event| {
        let ids: Vec<&str> = event.lines().filter_map(|line| line.strip_prefix("id")).collect();
        let [id] = ids[..] else { return false };
        let id: Option<u64> = id.trim_start_matches(':').trim_start().parse().ok();
        let rises = id > last;
        last = id;
        let known = |line: &str| {
            let name = line.split(':').next().unwrap_or(line);
            ["", "id", "data", "event", "retry", "versions"].contains(&name)
        };
        rises && event.lines().all(known) && event.lines().any(|line| line.starts_with("data"))
    })
}

fn line_end() -> impl Strategy<Value = &'static str> {
    prop_oneof![Just("\n"), Just("\r\n"), Just("\r")]
}

/// A sound stream: its events, each as text.
fn sound_events() -> impl Strategy<Value = Vec<String>> {
    let event = (1_u64..40, proptest::option::of(0_u64..9), "[ -~]{0,40}", line_end());
    proptest::collection::vec(event, 0..8).prop_map(|events| {
        let mut last = 0;
        let texts = events.into_iter().map(|(step, version, data, end)| {
            last += step;
            let version = version.map(|version| format!("versions:{version}{end}")).unwrap_or_default();
            format!("{version}id: {last}{end}data: {data}{end}{end}")
        });
        texts.collect()
    })
}

/// Bytes that look like a stream more often than any bytes do.
fn garbage() -> impl Strategy<Value = Vec<u8>> {
    let word = prop_oneof![
        Just(b"id: ".to_vec()),
        Just(b"id:".to_vec()),
        Just(b"data: ".to_vec()),
        Just(b"versions: 3".to_vec()),
        Just(b"\n".to_vec()),
        Just(b"\n\n".to_vec()),
        Just(b"\r\n".to_vec()),
        Just(b"\r".to_vec()),
        Just(b": ".to_vec()),
        "[0-9]{1,3}".prop_map(String::into_bytes),
        proptest::collection::vec(any::<u8>(), 0..12),
    ];
    proptest::collection::vec(word, 0..24).prop_map(|words| words.concat())
}

fn places() -> impl Strategy<Value = Vec<usize>> {
    proptest::collection::vec(any::<usize>(), 0..12)
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 2_000, failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn a_sound_stream_passes_whole_however_it_is_split(events in sound_events(), places in places()) {
        let body = events.concat().into_bytes();
        let passed = read(EventReader::default(), split(&body, &places).into_iter());
        prop_assert_eq!(passed.end, Ok(()));
        prop_assert_eq!(passed.bytes, body);
        prop_assert_eq!(passed.events, events.len() as u64);
    }

    #[test]
    fn an_event_passes_with_its_last_byte(events in sound_events()) {
        let mut reader = EventReader::default();
        for event in &events {
            prop_assert_eq!(reader.read(&Bytes::from(event.clone())).bytes, event.as_bytes());
        }
    }

    #[test]
    fn whatever_arrives_only_pieces_pass(body in garbage(), places in places()) {
        let whole = read_whole(&body);
        prop_assert!(consists_of_pieces(&whole.bytes), "{:?}", whole.bytes);
        let in_parts = read(EventReader::default(), split(&body, &places).into_iter());
        prop_assert_eq!(in_parts, whole);
    }

    #[test]
    fn garbage_within_a_stream_ends_it_after_the_pieces_before(
        events in sound_events(),
        garbage in garbage(),
        at in any::<prop::sample::Index>(),
        places in places(),
    ) {
        let before = at.index(events.len() + 1);
        let sound = events[..before].concat().into_bytes();
        let body = [&sound, garbage.as_slice(), events[before..].concat().as_bytes()].concat();
        let passed = read(EventReader::default(), split(&body, &places).into_iter());
        prop_assert!(passed.bytes.starts_with(&sound));
        prop_assert!(consists_of_pieces(&passed.bytes), "{:?}", passed.bytes);
    }

    #[test]
    fn a_stream_that_is_cut_off_within_an_event_is_not_complete(
        events in sound_events(),
        cut in any::<prop::sample::Index>(),
    ) {
        let body = events.concat().into_bytes();
        let cut = cut.index(body.len() + 1);
        let passed = read_whole(&body[..cut]);
        prop_assert!(body.starts_with(&passed.bytes));
        let at_a_piece = passed.bytes.len() == cut;
        prop_assert_eq!(passed.end.is_ok(), at_a_piece);
    }
}
