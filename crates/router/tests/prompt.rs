//! Tests of the headers that name a model and describe a prompt.

#![allow(clippy::unwrap_used, clippy::expect_used, reason = "a test fails by a panic")]

use pathbank_router::prompt::{ModelName, PromptPart, TokenCount, parse_parts};
use test_case::test_case;

#[test_case("m", "m", ""; "a model")]
#[test_case("m/a3", "m", "a3"; "an adapter")]
#[test_case("", "", ""; "no model")]
fn parses_a_model_and_its_adapter(value: &str, model: &str, adapter: &str) {
    assert_eq!(ModelName::parse(value), ModelName { model: model.into(), adapter: adapter.into() });
}

#[test]
fn parses_token_counts_and_prompt_parts_up_to_the_first_malformed_one() {
    assert_eq!(TokenCount::parse("1460,80"), Some(TokenCount { input: 1_460, output: 80 }));
    assert_eq!(TokenCount::parse("1460"), None);
    let parts = parse_parts("5c1e07a2:800,91bd3f06:410,bad,1:1");
    assert_eq!(
        parts,
        [PromptPart { id: 0x5c1e_07a2, tokens: 800 }, PromptPart { id: 0x91bd_3f06, tokens: 410 }]
    );
}
