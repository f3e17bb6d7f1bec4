use super::*;
use crate::syslog::encode::shown;
use crate::syslog::parse::parse;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

fn logger(stderr: Format) -> Logger {
    let pipe = Pipe::new(1024 * 1024);
    Logger {
        host: "n3".into(),
        level: LevelFilter::Info,
        process: 7,
        limits: Limits { line: 60_000, value: 20_000 },
        sequence: Mutex::new(0),
        stderr,
        to_stderr: pipe,
        to_collectors: None,
    }
}

fn log_line(logger: &Logger, target: &str, pairs: &[(&str, &str)], text: &str) -> Option<Vec<u8>> {
    let pairs: &dyn log::kv::Source = &pairs;
    logger.log(
        &Record::builder()
            .level(Level::Info)
            .target(target)
            .args(format_args!("{text}"))
            .key_values(pairs)
            .build(),
    );
    let mut line = Vec::new();
    logger.to_stderr.pop(&mut line).map(|_| line)
}

#[test]
fn an_event_carries_the_id_severity_and_element_of_its_catalogue_entry() {
    let logger = logger(Format::Syslog);
    let line = log_line(&logger, events::UP.target, &[("name", "n3"), ("listen", "x")], "").unwrap();
    let message = parse(&line).unwrap();
    assert_eq!((message.facility, message.severity, message.id), (3, Severity::Notice, Some("UP")));
    assert_eq!(message.parameter("head@32473", "listen").map(|v| &**v), Some("x"));
    assert_eq!(message.parameter("meta", "sequenceId").map(|v| &**v), Some("1"));
    assert_eq!(message.parameter("origin", "software").map(|v| &**v), Some("pathbank"));
    assert_eq!(
        (message.parameter("timeQuality", "tzKnown").map(|v| &**v), message.text.as_deref()),
        (Some("1"), None)
    );
    let line = log_line(&logger, "pathbank::core", &[], "two\nlines").unwrap();
    let message = parse(&line).unwrap();
    assert_eq!((message.id, message.text.as_deref()), (None, Some("two\u{240a}lines")));
    assert_eq!(message.parameter("meta", "sequenceId").map(|v| &**v), Some("2"));
    assert_eq!(log_line(&logger, "h2::proto", &[], "of others"), None);
}

#[test]
fn json_lines_hold_the_same_fields() {
    let logger = logger(Format::Json);
    let line = log_line(&logger, events::NODE.target, &[("node", "s\"1"), ("shard", "3")], "").unwrap();
    let value: serde_json::Value = serde_json::from_slice(&line).unwrap();
    assert_eq!((&value["msgid"], &value["node"]), (&"NODE".into(), &"s\"1".into()));
    assert_eq!(value["severity"], "informational");
}

proptest! {
    // The same cases at each run.
    #![proptest_config(ProptestConfig {
        cases: 256,
        rng_seed: RngSeed::Fixed(20_261_201),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    /// The strict parser returns the values of an event unchanged, except for replaced control characters.
    #[test]
    fn values_survive_encoding_and_parsing(values in proptest::collection::vec("\\PC{0,40}|[\"\\\\\\]\\x00-\\xff]{0,20}", 1..6), text in "\\PC{0,60}") {
        let logger = logger(Format::Syslog);
        let names = ["a", "b", "c", "d", "e"];
        let pairs: Vec<(&str, &str)> = names.into_iter().zip(values.iter().map(String::as_str)).collect();
        let line = log_line(&logger, events::REQUEST.target, &pairs, &text).unwrap();
        let message = parse(&line).map_err(|e| TestCaseError::fail(e.to_string()))?;
        for (name, value) in pairs {
            let got = message.parameter("request@32473", name).map(std::string::ToString::to_string);
            prop_assert_eq!(got, Some(shown(value)));
        }
        prop_assert_eq!(message.text.as_deref().unwrap_or_default(), shown(&text));
    }
}
