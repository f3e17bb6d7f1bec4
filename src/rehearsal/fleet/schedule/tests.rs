use super::*;

#[test]
fn a_seed_draws_the_same_faults_and_the_least_of_them_is_found() {
    let kinds: Vec<Kind> = KINDS.iter().map(|(kind, _)| *kind).collect();
    let all = drawn(7, 5, 3, &kinds, 8_000);
    assert_eq!(all, drawn(7, 5, 3, &kinds, 8_000));
    assert_ne!(all, drawn(8, 5, 3, &kinds, 8_000));
    assert!(all.len() > 8, "{}", all.len());
    let (one, other) = (all[2], all[6]);
    let least = shortest(all, 100, |faults| faults.contains(&one) && faults.contains(&other));
    assert_eq!(least, [one, other]);
    assert_eq!("one-way".parse(), Ok(Kind::CutOneWay));
    assert!("none".parse::<Kind>().unwrap_err().contains("deaf-leader"));
}
