use super::*;

#[test]
fn the_examples_of_rfc_5424_are_parsed() {
    let with_text =
        "<34>1 2003-10-11T22:14:15.003Z mymachine.example.com su - ID47 - \u{feff}'su root' failed";
    let message = parse(with_text.as_bytes()).unwrap();
    assert_eq!((message.facility, message.severity), (4, Severity::Critical));
    assert_eq!((message.process, message.id), (None, Some("ID47")));
    assert_eq!(message.text.as_deref(), Some("'su root' failed"));
    let data = r#"<165>1 2003-08-24T05:14:15.000003-07:00 192.0.2.1 myproc 8710 - [exampleSDID@32473 iut="3" eventSource="Application" eventID="1011"][examplePriority@32473 class="high"]"#;
    let message = parse(data.as_bytes()).unwrap();
    assert_eq!(message.parameter("exampleSDID@32473", "iut").map(|v| &**v), Some("3"));
    assert_eq!(message.any("class").map(|v| &**v), Some("high"));
    assert_eq!(message.text, None);
    let odd = r#"<0>1 - - - - - [x a="\a\"\\\]" a="2"] "#;
    let message = parse(odd.as_bytes()).unwrap();
    assert_eq!(message.elements[0].parameters[0].1, r#"\a"\]"#);
    assert_eq!((message.text.as_deref(), message.elements[0].parameters.len()), (Some(""), 2));
    assert_eq!(parse(b"<30>1 - - - - - - \xff").unwrap().text.as_deref(), Some("\u{fffd}"));
}

#[test]
fn malformed_messages_are_rejected_with_the_byte_at_fault() {
    let long = "x".repeat(33);
    for (line, at) in [
        ("", 0),
        ("34>1", 0),
        ("<>1", 1),
        ("<192>1 - - - - - -", 1),
        ("<034>1 - - - - - -", 1),
        ("<1234>1 - - - - - -", 4),
        ("<30>2 - - - - - -", 4),
        ("<30>12 - - - - - -", 5),
        ("<30>1  - - - - -", 6),
        ("<30>1 2026-13-01T00:00:00Z - - - - -", 11),
        ("<30>1 2026-02-29T00:00:00Z - - - - -", 14),
        ("<30>1 2026-12-01t00:00:00Z - - - - -", 16),
        ("<30>1 2026-12-01T24:00:00Z - - - - -", 17),
        ("<30>1 2026-12-01T00:00:60Z - - - - -", 23),
        ("<30>1 2026-12-01T00:00:00.Z - - - - -", 26),
        ("<30>1 2026-12-01T00:00:00.1234567Z - - - - -", 32),
        ("<30>1 2026-12-01T00:00:00 - - - - -", 25),
        ("<30>1 2026-12-01T00:00:00z - - - - -", 25),
        ("<30>1 - - - - -", 15),
        ("<30>1 - h\u{e9} - - - -", 9),
        ("<30>1 - - - - - nothing", 16),
        ("<30>1 - - - - - [", 17),
        ("<30>1 - - - - - [a x=\"1\" text", 29),
        ("<30>1 - - - - - [a x=1]", 21),
        ("<30>1 - - - - - [a x=\"]\"] text", 22),
        ("<30>1 - - - - - [a x=\"1] text", 23),
        ("<30>1 - - - - - [a x=\"1\"][a]", 26),
        ("<30>1 - - - - - [a]x", 19),
        ("<30>1 - - - - - -x", 17),
        (&format!("<30>1 - - - - - [{long}]"), 17),
        (&format!("<30>1 - - - - {long} -"), 14),
    ] {
        assert_eq!(parse(line.as_bytes()).map_err(|e| e.at), Err(at), "{line}");
    }
    assert_eq!(parse(b"<30>1 - - - - - [a x=\"\xc3\"]").unwrap_err().at, 22);
    assert_eq!(parse(b"<30>1 - - - - - - \xef\xbb\xbfab\xff").unwrap_err().at, 23);
}
