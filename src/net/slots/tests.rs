use super::*;
use futures_util::FutureExt;

const REQUEST: Duration = Duration::from_secs(2);
const IDLE: Duration = Duration::from_secs(10);

fn slots(most: usize) -> Slots {
    Slots::new(ClientLimits {
        most,
        spare: 0,
        most_idle: 3,
        request: REQUEST,
        idle: IDLE,
        idle_if_many: IDLE / 5,
    })
}

fn told(place: &Slot) -> Option<bool> {
    place.told_to_leave().now_or_never()
}

#[test]
fn whoever_is_over_a_limit_is_told_to_go_and_an_open_request_never() {
    for (others, after, gone) in [
        (0, REQUEST / 2, [false, false, false]),
        (0, REQUEST, [true, false, false]),
        (0, IDLE, [true, false, true]),
        // More than half of the places taken: idle ones go earlier.
        (3, IDLE / 5, [true, false, true]),
    ] {
        let slots = slots(10);
        let held: Vec<Slot> = (0..3 + others).map(|_| slots.sit()).collect();
        held[1].waiting();
        held[2].answered();
        held[3..].iter().for_each(Slot::waiting);
        slots.look(Instant::now() + after);
        assert_eq!([&held[0], &held[1], &held[2]].map(|slot| told(slot).is_some()), gone, "{after:?}");
    }
}

#[test]
fn what_was_told_to_go_and_lingers_is_cut_off() {
    let slots = slots(10);
    let place = slots.sit();
    place.answered();
    let now = Instant::now();
    slots.look(now + IDLE);
    assert_eq!(told(&place), Some(true));
    slots.look(now + IDLE + LAST_BYTES);
    assert_eq!(told(&place), None);
    slots.look(now + IDLE + 2 * LAST_BYTES);
    assert!(told(&place).is_some());
}

#[test]
fn with_many_idle_an_answer_is_the_last_for_who_asked_but_once() {
    let slots = slots(10);
    let held: Vec<Slot> = (0..6).map(|_| slots.sit()).collect();
    assert_eq!([0, 1, 2, 3].map(|i| held[i].answered()), [false, false, false, true]);
    // The first one asks again, and is kept for longer.
    held[0].waiting();
    assert!(!held[0].answered());
    assert!(held[4].answered());
    held[0].waiting();
    assert!(held[0].answered());
}

#[test]
fn a_full_house_first_sends_those_away_that_never_had_an_answer() {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
    runtime.block_on(async {
        let slots = slots(4);
        let mut open_ones = vec![slots.sit()];
        let idle = slots.sit();
        idle.answered();
        let (silent, later) = (slots.sit(), slots.sit());
        open_ones[0].waiting();
        for victim in [silent, later, idle] {
            // The place comes with the victim's end and with nobody else's; an open request takes it.
            let goes = async {
                victim.told_to_leave().await;
                drop(victim);
            };
            let (next, ()) = tokio::join!(slots.take(), goes);
            next.waiting();
            open_ones.push(next);
        }
        assert!(open_ones.iter().all(|slot| told(slot).is_none()));
    });
}

#[test]
fn a_connection_that_only_lingers_is_the_first_to_go_and_no_time_of_its_own_ends_it() {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
    runtime.block_on(async {
        let slots = slots(2);
        let lingers = slots.sit();
        lingers.answered();
        slots.look(Instant::now() + IDLE);
        assert_eq!((told(&lingers), lingers.is_told()), (Some(true), true));
        lingers.lingers();
        assert!(!lingers.is_told());
        slots.look(Instant::now() + 2 * IDLE);
        assert_eq!(told(&lingers), None);
        // One that never had an answer would go before an idle one.
        let silent = slots.sit();
        let goes = async {
            lingers.told_to_leave().await;
            drop(lingers);
        };
        let (_next, ()) = tokio::join!(slots.take(), goes);
        assert!(slots.held() == 2 && !silent.is_told() && slots.counts().for_others == 1);
    });
}
