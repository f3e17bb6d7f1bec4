use super::*;

#[test]
fn only_the_content_type_application_grpc_marks_a_call() {
    for (value, wanted) in [
        ("application/grpc", true),
        ("application/grpc+proto", true),
        ("application/grpc;charset=x", true),
        ("application/grpc-web", false),
        ("application/json", false),
        ("", false),
    ] {
        assert_eq!(is_grpc(value), wanted, "{value}");
    }
}

#[test]
fn a_refusal_says_when_to_retry_and_a_failure_forbids_retries() {
    let refused = status_trailers(&Final::Refused(Duration::from_micros(1_500_001)), false);
    assert_eq!((&refused[STATUS], &refused[PUSHBACK]), (&"14".parse().unwrap(), &"1501".parse().unwrap()));
    let bytes = BASE64_STANDARD_NO_PAD.decode(&refused[DETAILS]).unwrap();
    assert_eq!(details::retry_delay(&bytes), Some(Duration::from_micros(1_500_001)));
    let failed = status_trailers(&Final::Failed(None), false);
    assert_eq!((&failed[STATUS], &failed[PUSHBACK]), (&"2".parse().unwrap(), &"-1".parse().unwrap()));
    assert!(!failed.contains_key(DETAILS));
}
