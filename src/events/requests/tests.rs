use super::*;

#[test]
fn requests_with_problems_are_always_logged_and_the_others_sampled() {
    let kinds = vec![
        SamplingRule { plan: Some(1), class: None, one_in: 4 },
        SamplingRule { plan: Some(1), class: Some(0), one_in: 0 },
    ];
    let names = |n| vec![String::new(); n];
    let mut request_log = RequestLog::new(names(2), names(2), Sampling { one_in: 10, kinds });
    let mut count = |plan, class| {
        let sampled = (0..100).filter_map(|_| request_log.sample(plan, class, Finish::Served, 1, false));
        sampled.map(|one_in| one_in as usize).collect::<Vec<_>>()
    };
    assert_eq!(count(0, 0), [10; 10]);
    assert_eq!(count(0, 1), [10; 10]);
    assert_eq!(count(1, 1), [4; 25]);
    assert!(count(1, 0).is_empty());
    for (finish, attempts, late) in [
        (Finish::Refused, 0, false),
        (Finish::Failed, 1, false),
        (Finish::Left, 1, false),
        (Finish::Served, 2, false),
        (Finish::Served, 1, true),
    ] {
        assert_eq!(request_log.sample(1, 0, finish, attempts, late), Some(1), "{finish:?}");
    }
}
