use super::*;

#[test]
fn what_is_a_call_is_told_by_its_type() {
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
fn the_heads_own_status_says_when_to_come_again_or_never() {
    let refused = trailers(&Final::Refused(Duration::from_micros(1_500_001)), false);
    assert_eq!((&refused[STATUS], &refused[PUSHBACK]), (&"14".parse().unwrap(), &"1501".parse().unwrap()));
    let bytes = BASE64_STANDARD_NO_PAD.decode(&refused[DETAILS]).unwrap();
    assert_eq!(details::retry_delay(&bytes), Some(Duration::from_micros(1_500_001)));
    let failed = trailers(&Final::Failed(None), false);
    assert_eq!((&failed[STATUS], &failed[PUSHBACK]), (&"2".parse().unwrap(), &"-1".parse().unwrap()));
    assert!(!failed.contains_key(DETAILS));
}
