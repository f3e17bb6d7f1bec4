use super::*;

const REQUEST: &str = r#"<30>1 2026-12-01T00:00:00.5Z n3 pathbank 7 REQUEST [request@32473 request="5" volume="00" plan="starter" class="token-read" units="2" attempts="2" held_us="1500" out_us="30000" outcome="served" late="yes" one_in="10"][meta sequenceId="4"]"#;
const ATTEMPT: &str = r#"<30>1 2026-12-01T00:00:00.5Z n3 pathbank 7 ATTEMPT [request@32473 request="5" volume="00" attempt="1" why="another after full" node="s-1" ending="served" took_us="2000"][meta sequenceId="3"]"#;

#[test]
fn conditions_are_parsed_and_match_header_fields_and_parameters() {
    let message = message(REQUEST.as_bytes()).unwrap();
    for (text, fits) in [
        ("plan=starter", true),
        ("plan=business", false),
        ("plan!=business", true),
        ("nothing!=x", true),
        ("nothing=x", false),
        ("class~read", true),
        ("out_us>=30000", true),
        ("out_us>=30001", false),
        ("held_us<=1500", true),
        ("outcome>=1", false),
        ("request@32473.request=5", true),
        ("meta.request=5", false),
        ("msgid=REQUEST", true),
        ("host=n3", true),
        ("severity=informational", true),
        ("time~2026-12-01", true),
        ("text=x", false),
    ] {
        assert_eq!(text.parse::<Condition>().unwrap().fits(&message), fits, "{text}");
    }
    for text in ["", "plan", "=x", "out_us>=x"] {
        assert!(text.parse::<Condition>().is_err(), "{text}");
    }
}

#[test]
fn lines_with_a_length_in_front_are_parsed_and_errors_have_their_position() {
    let counted = format!("{} {REQUEST}", REQUEST.len());
    assert_eq!(message(counted.as_bytes()).unwrap().id, Some("REQUEST"));
    assert_eq!(message(b"12 <30>2 - - - - - -").unwrap_err().at, 7);
    assert_eq!(message(b"12 30").unwrap_err().at, 0);
}

#[test]
fn requests_are_followed_and_counted_as_many_times_as_they_represent() {
    let (request, attempt) = (message(REQUEST.as_bytes()).unwrap(), message(ATTEMPT.as_bytes()).unwrap());
    let told = follow(&attempt).unwrap();
    assert!(told.ends_with("attempt 1 at s-1: another after full, ended served after 2.00 ms"), "{told}");
    assert!(
        follow(&request)
            .unwrap()
            .contains("served of volume 00 (starter, token-read, 2 units): held 1.50 ms")
    );
    let mut summaries = Summaries::new(GroupBy::Plan);
    summaries.add(&request);
    summaries.add(&attempt);
    let table = summaries.to_string();
    let line = table.lines().nth(1).unwrap();
    let fields: Vec<&str> = line.split_whitespace().collect();
    assert_eq!((fields[0], fields[1], fields[6], fields[7]), ("starter", "10", "10", "served=10"), "{table}");
    let mut summaries = Summaries::new(GroupBy::Node);
    summaries.add(&request);
    summaries.add(&attempt);
    assert!(summaries.to_string().lines().nth(1).unwrap().starts_with("s-1"));
}

#[test]
fn repeated_lines_are_found_and_missing_ones_counted() {
    let mut deduplicator = Deduplicator::default();
    let (request, attempt) = (message(REQUEST.as_bytes()).unwrap(), message(ATTEMPT.as_bytes()).unwrap());
    assert_eq!([&request, &attempt, &request].map(|m| deduplicator.first(m)), [true, true, false]);
    assert_eq!((deduplicator.repeats, deduplicator.gaps()), (1, 0));
    let later = REQUEST.replace("sequenceId=\"4\"", "sequenceId=\"9\"");
    deduplicator.first(&message(later.as_bytes()).unwrap());
    assert_eq!(deduplicator.gaps(), 4);
}
