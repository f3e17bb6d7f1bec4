//! Compares the numbered results that callers get with the operators' page.

#![allow(clippy::unwrap_used, clippy::expect_used, reason = "a test fails by a panic")]

use pathbank_control::result_code::ResultCode;
use std::path::Path;

const CODES: &[ResultCode] = &[
    ResultCode::Done,
    ResultCode::UnreadableDocument,
    ResultCode::UnknownBackend,
    ResultCode::DuplicateRoute,
    ResultCode::NoWeight,
    ResultCode::NoTimeout,
    ResultCode::VersionNotAbove,
    ResultCode::SharedKey,
    ResultCode::BaseMismatch,
    ResultCode::MissingBase,
    ResultCode::BodyTooLarge,
    ResultCode::BodyLate,
    ResultCode::NoLeader,
    ResultCode::Unclear,
    ResultCode::UnknownCall,
    ResultCode::NoRoute,
    ResultCode::UnknownKey,
    ResultCode::BadRequest,
    ResultCode::NoModelServer,
    ResultCode::Overloaded,
    ResultCode::BrokenOff,
    ResultCode::TimedOut,
    ResultCode::Stopping,
    ResultCode::NoConfiguration,
    ResultCode::OutOfMemory,
    ResultCode::UnknownStep,
    ResultCode::WrongStepState,
    ResultCode::EarlierStep,
    ResultCode::StepKeyTaken,
    ResultCode::WrongVersion,
    ResultCode::BelowFloor,
    ResultCode::MissingGenerations,
    ResultCode::StepTooLarge,
    ResultCode::PromptTaken,
    ResultCode::TooManySteps,
    ResultCode::BadStep,
];

/// The rows of the operators' page: number, name and HTTP status.
fn documented() -> Vec<(u16, String, u16)> {
    let page = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../docs/operators/result-codes.md");
    let text = std::fs::read_to_string(page).unwrap();
    let row = |line: &str| {
        let cells: Vec<&str> = line.split('|').map(str::trim).collect();
        Some((cells.get(1)?.parse().ok()?, (*cells.get(2)?).to_owned(), cells.get(3)?.parse().ok()?))
    };
    text.lines().filter_map(row).collect()
}

#[test]
fn each_result_has_the_documented_number_name_and_status() {
    let mut known: Vec<(u16, String, u16)> =
        CODES.iter().map(|code| (code.number(), code.name().to_owned(), code.status())).collect();
    known.sort();
    let mut documented = documented();
    documented.sort();
    assert_eq!(known, documented);
}

#[test]
fn a_renamed_variant_keeps_the_name_that_callers_see() {
    assert_eq!(ResultCode::NoModelServer.name(), "NoBrick");
}
