//! Frames as the program of revision 5480d97 wrote them: this program reads them, and writes the same bytes, so that
//! processes of both programs understand each other. Kinds that came later stand behind them, as the program wrote them that
//! had them first.

#![allow(clippy::unwrap_used, clippy::expect_used, reason = "a test fails by a panic")]

mod common;

use common::{hello, later_samples, long_samples, samples};
use pathbank_protocol::codec::{SharedMessage, decode, encode};
use pathbank_protocol::framing::take_body;
use pathbank_protocol::message::Frame;
use std::collections::BTreeMap;

/// One line for each frame: a name, and the bytes in hexadecimal digits.
const STORED: &str = include_str!("fixtures/frames.hex");

fn stored() -> BTreeMap<&'static str, Vec<u8>> {
    let byte = |digits: &str| u8::from_str_radix(digits, 16).unwrap();
    let bytes = |digits: &str| (0..digits.len()).step_by(2).map(|at| byte(&digits[at..at + 2])).collect();
    let parse =
        |line: &'static str| line.split_once(' ').map(|(name, digits)| (name, bytes(digits))).unwrap();
    STORED.lines().map(parse).collect()
}

fn read(bytes: &[u8]) -> Frame {
    let mut buffer = bytes.to_vec();
    let body = take_body(&mut buffer).unwrap().unwrap();
    assert!(buffer.is_empty());
    decode(&body).unwrap()
}

#[test]
fn a_stored_frame_of_each_kind_has_the_same_value() {
    let stored = stored();
    for (name, frame) in samples().into_iter().chain(later_samples()).chain(long_samples()) {
        assert_eq!(read(&stored[name]), frame, "{name}");
    }
    assert_eq!(stored.len(), samples().len() + later_samples().len() + long_samples().len());
}

#[test]
fn a_frame_of_each_kind_is_written_with_the_stored_bytes() {
    let stored = stored();
    for (name, frame) in samples().into_iter().chain(later_samples()) {
        assert_eq!(encode(&frame), stored[name], "{name}");
    }
}

#[test]
fn a_compressed_frame_is_written_with_the_stored_bytes() {
    let stored = stored();
    for (name, frame) in long_samples() {
        let message = SharedMessage::new(&frame);
        assert_eq!(message.to(&hello(true)), stored[name], "{name}");
        assert!(message.to(&hello(false)).len() > stored[name].len(), "{name}");
    }
}
