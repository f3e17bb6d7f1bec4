use super::*;

const S: Micros = 1_000_000;

fn two() -> Delivery {
    Delivery::new(2, Limits::default(), 7)
}

#[test]
fn the_first_collector_is_used_and_the_second_while_the_first_rests() {
    let mut delivery = two();
    assert_eq!(delivery.step(S), Step::Connect(0));
    delivery.failed(S, 0);
    assert_eq!(delivery.step(S), Step::Connect(1));
    delivery.connected(S, 1);
    assert_eq!(delivery.step(S), Step::Send);
    assert_eq!(delivery.step(10 * S), Step::Send, "the preferred collector is not retried early");
    assert_eq!(delivery.step(11 * S), Step::Connect(0));
    delivery.failed(11 * S, 0);
    assert_eq!((delivery.step(12 * S), delivery.active()), (Step::Send, Some(1)));
    assert_eq!(delivery.step(21 * S), Step::Connect(0));
    delivery.connected(21 * S, 0);
    assert_eq!((delivery.step(40 * S), delivery.active()), (Step::Send, Some(0)));
}

/// Guards against a burst of lines at start to a collector that reads one line of each connection and closes it.
#[test]
fn a_connection_that_ends_before_a_line_settles_or_after_few_lines_makes_the_sender_careful() {
    for (lines, stands, careful) in [(3, false, true), (3, true, true), (40, false, true), (40, true, false)]
    {
        let mut delivery = two();
        delivery.connected(S, 0);
        (0..lines).for_each(|_| delivery.wrote());
        if stands {
            delivery.settled();
        }
        delivery.ended(2 * S, false);
        assert_eq!(delivery.careful(), careful, "{lines} lines, {stands}");
    }
}

#[test]
fn rests_grow_vary_by_seed_and_reset_after_delivered_lines() {
    let mut delivery = Delivery::new(1, Limits::default(), 7);
    let (mut now, mut rests) = (S, Vec::new());
    for _ in 0..12 {
        assert_eq!(delivery.step(now), Step::Connect(0));
        delivery.failed(now, 0);
        let Step::Rest(until) = delivery.step(now) else { panic!() };
        rests.push(until - now);
        now = until;
    }
    for (i, rest) in rests.iter().enumerate() {
        let least = (200_000u64 << i).min(30 * S);
        assert!((least..=least + least / 2).contains(rest), "{rests:?}");
    }
    delivery.connected(now, 0);
    delivery.wrote();
    delivery.settled();
    delivery.ended(now, false);
    let Step::Rest(until) = delivery.step(now) else { panic!() };
    assert!(until - now <= 300_000, "delivered lines reset the rest");
    let other = Delivery::new(1, Limits::default(), 8);
    let mut other = other;
    other.failed(S, 0);
    assert_ne!(other.step(S), Step::Rest(S + rests[0]), "different seeds give different rests");
}

#[test]
fn a_collector_that_closes_after_few_lines_receives_one_line_at_a_time() {
    let mut delivery = two();
    delivery.connected(S, 0);
    (0..3).for_each(|_| delivery.wrote());
    assert!(!delivery.careful());
    delivery.ended(S, true);
    assert!(delivery.careful());
    assert_eq!(
        delivery.step(S),
        Step::Connect(0),
        "a collector that read lines is used again without a rest"
    );
    delivery.connected(S, 0);
    delivery.ended(S, true);
    assert_eq!(delivery.step(S), Step::Connect(1), "a collector that read no line rests");
    delivery.connected(S, 1);
    (0..9).for_each(|_| delivery.wrote());
    delivery.settled();
    assert!(!delivery.careful(), "a connection that takes many lines ends careful mode");
}

#[test]
fn lines_keep_to_the_rate_limit() {
    let limits = Limits { lines_per_second: 100.0, ..Limits::default() };
    let mut delivery = Delivery::new(1, limits, 7);
    let (mut now, mut sent) = (S, 0);
    while now < 11 * S {
        match delivery.pace(now) {
            None => {
                delivery.wrote();
                sent += 1;
            }
            Some(until) => {
                assert!(until > now);
                now = until;
            }
        }
    }
    assert!((990..=1_011).contains(&sent), "{sent} lines in ten seconds");
}

#[test]
fn unsettled_lines_of_a_broken_connection_are_sent_once_more_and_then_given_up() {
    let limits = Limits { most_unsettled: 10, ..Limits::default() };
    let mut unsettled = Unsettled::default();
    for key in 1..=4 {
        unsettled.wrote(key * 100_000, key, b"line", false);
    }
    assert_eq!(unsettled.settle(400_000, &limits), Some(2), "over the limit in bytes");
    assert_eq!(unsettled.settle(1_300_000, &limits), Some(3), "old enough");
    assert_eq!(unsettled.next_settles(&limits), Some(1_400_000));
    unsettled.wrote(1_310_000, 5, b"five", false);
    assert_eq!(unsettled.ended(), 0);
    assert_eq!(unsettled.next_again(), Some((4, b"line".to_vec())));
    unsettled.wrote(1_400_000, 4, b"line", true);
    // Line 5 has not been sent again yet; line 4 has been sent twice.
    assert_eq!(unsettled.ended(), 1);
    assert_eq!(unsettled.next_again(), Some((5, b"five".to_vec())));
    assert_eq!((unsettled.next_again(), unsettled.is_empty()), (None, true));
    unsettled.wrote(S, 6, b"six", true);
    assert_eq!((unsettled.settle_all(), unsettled.is_empty()), (Some(6), true));
}
