use super::*;
use crate::syslog::parse::parse;

pub fn head(id: &str) -> Head<'_> {
    let timestamp: &'static dyn fmt::Display = &"2026-12-01T03:04:05.000006Z";
    Head { severity: Severity::Warning, timestamp, host: "n3", app: "pathbank", process: 7, id }
}

fn line(limits: Limits, values: &[(&str, &str)], text: &str) -> String {
    let mut buffer = String::new();
    let mut line = Line::begin(&mut buffer, limits, &head("ID"));
    if !values.is_empty() {
        line.element("a@32473");
        values.iter().for_each(|(key, value)| line.parameter(key, value));
    }
    line.end(&text);
    buffer
}

#[test]
fn lines_follow_rfc_5424() {
    let limits = Limits::default();
    let start = "<28>1 2026-12-01T03:04:05.000006Z n3 pathbank 7 ID ";
    for (values, text, wanted) in [
        (&[][..], "", "-".to_string()),
        (&[], "hi", format!("- {BOM}hi")),
        (&[("x", "1")], "", r#"[a@32473 x="1"]"#.to_string()),
        (&[("x", r#"a"b]c\d"#)], "", r#"[a@32473 x="a\"b\]c\\d"]"#.to_string()),
        (&[("x", "a\nb\u{7f}\u{85}")], "", "[a@32473 x=\"a\u{240a}b\u{2421}\u{fffd}\"]".to_string()),
        (&[("odd =]\"\u{e9}key", "\u{1f3cf}")], "", "[a@32473 oddkey=\"\u{1f3cf}\"]".to_string()),
        (&[("", "")], "two\nlines", format!("[a@32473 -=\"\"] {BOM}two\u{240a}lines")),
    ] {
        assert_eq!(line(limits, values, text), format!("{start}{wanted}"));
    }
}

#[test]
fn limits_never_cut_inside_a_character_or_an_escape() {
    for value in 0..12 {
        let line = line(Limits { line: 2048, value }, &[("x", "\u{e9}\"\u{20ac}]\u{1f3cf}\\")], "");
        let message = parse(line.as_bytes()).unwrap();
        let got = &message.parameter("a@32473", "x").unwrap();
        assert!("\u{e9}\"\u{20ac}]\u{1f3cf}\\".starts_with(&***got) && got.len() <= value, "{got:?}");
    }
    for most in 120..400 {
        let long = "]\u{e9}".repeat(200);
        let values = [("one", long.as_str()), ("two", "2"), ("three", &long), ("four", "4")];
        let line = line(Limits { line: most, value: 90 }, &values, &long);
        assert!(line.len() <= most, "{} over {most}", line.len());
        let message = parse(line.as_bytes()).unwrap();
        assert!(message.parameter("a@32473", "cut").is_some());
    }
}

#[test]
fn frames_count_octets() {
    let mut bytes = Vec::new();
    frame(&mut bytes, "a\u{e9}".as_bytes());
    assert_eq!(bytes, "3 a\u{e9}".as_bytes());
}
