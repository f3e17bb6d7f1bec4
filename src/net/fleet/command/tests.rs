use super::*;

#[test]
fn a_line_of_the_answer_becomes_a_json_object() {
    for (line, object) in [
        ("view 0f running 2 of 3 own 0", json!({"view": "0f", "running": "2", "of": "3", "own": "0"})),
        ("head 2 unknown", json!({"head": "2", "state": "unknown"})),
        (
            "head 1 dead start 9 spoke_up 0 since_ms 70 why told-by-2",
            json!({"head": "1", "state": "dead", "start": "9", "spoke_up": "0", "since_ms": "70",
                "why": "told-by-2"}),
        ),
    ] {
        assert_eq!(pairs(line), object, "{line}");
    }
}
