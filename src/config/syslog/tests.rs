use super::*;

const MEMORY: usize = 192 * 1024 * 1024;

fn names() -> Names {
    Names { classes: vec!["r".into(), "w".into()], plans: vec!["p".into()], ..Names::default() }
}

const GOOD: &str = "stderr = \"json\"\nmost_line = 1024\nqueue_kb = 100\nlines_per_second = 10.5\n\
    [requests]\nserved_one_in = 100\n[[requests.kinds]]\nclass = \"w\"\nserved_one_in = 5\n\
    [[collectors]]\ntransport = \"udp\"\naddress = \"127.0.0.1:514\"\n\
    [[collectors]]\ntransport = \"tcp\"\naddress = \"127.0.0.1:601\"\n[spool]\ndirectory = \"/\"\n";

#[test]
fn a_file_is_read_and_an_empty_one_is_the_platforms() {
    let log = Log::read(GOOD, &names(), MEMORY).unwrap();
    assert_eq!((log.stderr, log.limits.line, log.queue), (Format::Json, 1024, 100 * 1024));
    assert_eq!((log.collectors.len(), log.delivery.lines_per_second), (2, 10.5));
    let kind = SamplingRule { plan: None, class: Some(1), one_in: 5 };
    assert_eq!(log.request_log.unwrap().sampling, Sampling { one_in: 100, kinds: vec![kind] });
    let log = Log::read("", &names(), 1024 * 1024).unwrap();
    assert_eq!((log.stderr, log.queue), (Format::Syslog, 64 * 1024));
    assert!(log.collectors.is_empty() && log.spool.is_none() && log.request_log.is_none());
}

#[test]
fn the_file_as_shipped_is_the_platforms() {
    let log = Log::read(include_str!("../../../deploy/syslog.toml"), &names(), MEMORY).unwrap();
    let empty = Log::read("", &names(), MEMORY).unwrap();
    assert_eq!(format!("{log:?}"), format!("{empty:?}"), "what it names are the defaults");
}

#[test]
fn faults_name_the_key() {
    for (from, to, key) in [
        ("\"json\"", "\"xml\"", "key stderr"),
        ("1024", "100", "key most_line"),
        ("10.5", "0.5", "key lines_per_second"),
        ("class = \"w\"", "class = \"x\"", "key requests.kinds[0].class"),
        ("\"udp\"", "\"sctp\"", "key collectors[0].transport"),
        ("\"udp\"", "\"tls\"", "key collectors[0].ca"),
        ("\"tcp\"", "\"tcp\"\nca = \"/x\"", "key collectors[1].ca"),
        ("\"tcp\"", "\"tls\"\nfingerprints = [\"md5:00\"]", "key collectors[1].fingerprints[0]"),
        ("\"tcp\"", "\"tls\"\nca = \"/nowhere\"", "key collectors[1].ca"),
        ("127.0.0.1:601", "somewhere", "key collectors[1].address"),
        ("\"/\"", "\"/nowhere\"", "key spool.directory"),
    ] {
        let error = Log::read(&GOOD.replacen(from, to, 1), &names(), MEMORY).unwrap_err().to_string();
        assert!(error.contains(key), "{to}: {error}");
    }
}

#[test]
fn a_key_that_others_can_read_is_refused() {
    let path = std::env::temp_dir().join(format!("pathbank-key-{}", std::process::id()));
    std::fs::write(&path, "key").unwrap();
    for (mode, sound) in [(0o600, true), (0o400, true), (0o640, false), (0o604, false)] {
        std::fs::set_permissions(&path, std::fs::Permissions::from_mode(mode)).unwrap();
        assert_eq!(private(&path).is_ok(), sound, "{mode:o}");
    }
    std::fs::remove_file(&path).unwrap();
}
