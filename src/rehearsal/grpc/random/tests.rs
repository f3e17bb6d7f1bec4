use super::*;
use hyper::header::HeaderMap;

fn ended(code: &str, pushback: &str, messages: &[&str]) -> Ended {
    let mut trailers = HeaderMap::new();
    trailers.insert("grpc-status", code.parse().unwrap());
    trailers.insert("grpc-retry-pushback-ms", pushback.parse().unwrap());
    let messages = messages.iter().map(std::string::ToString::to_string).collect();
    Ended { trailers, messages, statuses: 1, ..Ended::default() }
}

#[test]
fn the_checker_finds_each_broken_rule() {
    let began = |attempt| Seen::Began { call: "r1".into(), attempt };
    let whole = |attempt| Seen::Whole { call: "r1".into(), attempt };
    let (unary, once) = ("/kit.Safe/Unary", "/kit.Once/Unary");
    for (path, ended, seen, sound) in [
        (unary, ended("0", "0", &["r1/0/0:x"]), vec![began(0), whole(0)], true),
        (unary, ended("0", "0", &["r1/1/0:x"]), vec![began(0), began(1), whole(1)], true),
        (once, ended("2", "-1", &[]), vec![began(0), whole(0)], true),
        (once, ended("14", "5", &[]), vec![began(0)], true),
        (unary, Ended::default(), vec![began(0), whole(0)], false),
        (unary, Ended { statuses: 2, ..ended("0", "0", &[]) }, vec![began(0), whole(0)], false),
        (unary, Ended { reset: Some(None), ..ended("0", "0", &[]) }, vec![began(0), whole(0)], false),
        (unary, ended("17", "-1", &[]), vec![began(0)], false),
        (unary, ended("0", "0", &["r1/0/0:x"]), vec![began(0), whole(0), began(1)], false),
        (unary, ended("0", "0", &["r1/0/1:x"]), vec![began(0), whole(0)], false),
        (unary, ended("2", "-1", &[]), vec![began(0), began(1), began(2), began(3)], false),
        (unary, ended("0", "0", &[]), vec![began(0)], false),
        (unary, ended("14", "5", &["r1/0/0:x"]), vec![began(0), whole(0)], false),
        (unary, ended("14", "-1", &[]), vec![], false),
        (once, ended("2", "-1", &[]), vec![began(0), whole(0), began(1), whole(1)], false),
        (once, ended("14", "5", &[]), vec![began(0), whole(0)], false),
        ("/kit.Safe/ServerStream", ended("0", "0", &["r1/0/0:x"]), vec![began(0), whole(0)], false),
    ] {
        let calls = BTreeMap::from([("r1".to_string(), (path.to_string(), ended.clone()))]);
        assert_eq!(audit(&calls, &seen).is_ok(), sound, "{path} {ended:?} {seen:?}");
    }
}

#[test]
fn faults_are_the_same_for_the_same_seed_and_of_every_kind() {
    let kinds = |seed| -> Vec<String> {
        (0..500).map(|i| format!("{:?}", fault(seed, &format!("r{i}"), 0))).collect()
    };
    assert_eq!(kinds(1), kinds(1));
    assert_ne!(kinds(1), kinds(2));
    let apart: std::collections::BTreeSet<String> =
        kinds(1).iter().map(|kind| kind.split(['(', '{']).take(2).collect()).collect();
    assert!(apart.len() >= 10, "{apart:?}");
}
