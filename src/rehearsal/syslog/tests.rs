use super::*;

#[test]
fn both_framings_are_read_and_a_lost_one_is_told() {
    let line = r#"<30>1 2026-12-01T00:00:00Z n3 pathbank 7 - [meta sequenceId="1"]"#;
    let got = |bytes: String| {
        let (sender, messages) = channel();
        frames(bytes.as_bytes(), &sender, Manner::Good);
        drop(sender);
        messages.iter().map(|message| message.is_ok()).collect::<Vec<_>>()
    };
    let length = line.len();
    assert_eq!(got(format!("{line}\n{line}\n")), [true, true]);
    assert_eq!(got(format!("{length} {line}{length} {line}")), [true, true]);
    assert_eq!(got(format!("{length} {line}{length} <30>")), [true], "a cut one is none");
    for cut in ["6", "68"] {
        assert_eq!(got(format!("{length} {line}{cut}")), [true], "one cut in its length is none either");
    }
    for lost in ["0", "68<", "x", "12345678"] {
        assert_eq!(got(format!("{length} {line}{lost}")), [true, false], "no length begins with {lost}");
    }
    assert_eq!(got(format!("{length} {line}\n{length} {line}")), [true, false]);
    assert_eq!(got(format!("0{length} {line}")), [false]);
    assert!(!got(format!("{} {line}", length - 1))[0]);
}

#[test]
fn what_is_not_as_the_catalogue_has_it_is_rejected() {
    let start = "<30>1 2026-12-01T00:00:00Z n3 pathbank 7";
    for (rest, sound) in [
        (r#"WATCH [node@32473 version="1" address="x"][meta sequenceId="1"]"#, true),
        (r#"- [pathbank@32473 a="1"][meta sequenceId="1"] text"#, true),
        (r#"WATCH [node@32473 address="x" version="1"][meta sequenceId="1"]"#, false),
        (r#"WATCH [node@32473 version="1"][meta sequenceId="1"]"#, false),
        (r#"WATCH_BROKE [node@32473 version="1" reason="x"][meta sequenceId="1"]"#, false),
        (r#"NOTHING [meta sequenceId="1"]"#, false),
        (r#"WATCH [node@32473 version="1" address="x"]"#, false),
        (r#"- [a"#, false),
    ] {
        assert_eq!(read(format!("{start} {rest}").as_bytes()).is_ok(), sound, "{rest}");
    }
}
