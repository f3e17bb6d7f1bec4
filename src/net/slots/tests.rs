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

fn told(slot: &Slot) -> Option<bool> {
    slot.asked_to_leave().now_or_never()
}

#[test]
fn connections_over_a_time_limit_are_asked_to_leave_but_never_with_an_open_request() {
    for (others, after, gone) in [
        (0, REQUEST / 2, [false, false, false]),
        (0, REQUEST, [true, false, false]),
        (0, IDLE, [true, false, true]),
        // With more than half of the slots taken, idle connections are asked to leave earlier.
        (3, IDLE / 5, [true, false, true]),
    ] {
        let slots = slots(10);
        let held: Vec<Slot> = (0..3 + others).map(|_| slots.insert()).collect();
        held[1].mark_waiting();
        held[2].mark_answered();
        held[3..].iter().for_each(Slot::mark_waiting);
        slots.check_limits(Instant::now() + after);
        assert_eq!([&held[0], &held[1], &held[2]].map(|slot| told(slot).is_some()), gone, "{after:?}");
    }
}

#[test]
fn a_connection_that_stays_after_it_was_asked_to_leave_is_cut_off() {
    let slots = slots(10);
    let slot = slots.insert();
    slot.mark_answered();
    let now = Instant::now();
    slots.check_limits(now + IDLE);
    assert_eq!(told(&slot), Some(true));
    slots.check_limits(now + IDLE + CLOSE_LIMIT);
    assert_eq!(told(&slot), None);
    slots.check_limits(now + IDLE + 2 * CLOSE_LIMIT);
    assert!(told(&slot).is_some());
}

#[test]
fn with_many_idle_connections_a_first_answer_closes_its_connection() {
    let slots = slots(10);
    let held: Vec<Slot> = (0..6).map(|_| slots.insert()).collect();
    assert_eq!([0, 1, 2, 3].map(|i| held[i].mark_answered()), [false, false, false, true]);
    // The first connection sends another request, and is kept for longer.
    held[0].mark_waiting();
    assert!(!held[0].mark_answered());
    assert!(held[4].mark_answered());
    held[0].mark_waiting();
    assert!(held[0].mark_answered());
}

#[test]
fn with_all_slots_taken_connections_that_never_had_an_answer_leave_first() {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
    runtime.block_on(async {
        let slots = slots(4);
        let mut open_ones = vec![slots.insert()];
        let idle = slots.insert();
        idle.mark_answered();
        let (silent, later) = (slots.insert(), slots.insert());
        open_ones[0].mark_waiting();
        for leaving in [silent, later, idle] {
            // Only the end of this connection frees a slot; the new connection holds it with an open request.
            let goes = async {
                leaving.asked_to_leave().await;
                drop(leaving);
            };
            let (next, ()) = tokio::join!(slots.take(), goes);
            next.mark_waiting();
            open_ones.push(next);
        }
        assert!(open_ones.iter().all(|slot| told(slot).is_none()));
    });
}

#[test]
fn a_lingering_connection_leaves_first_and_is_subject_to_no_time_limit() {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
    runtime.block_on(async {
        let slots = slots(2);
        let lingers = slots.insert();
        lingers.mark_answered();
        slots.check_limits(Instant::now() + IDLE);
        assert_eq!((told(&lingers), lingers.was_asked_to_leave()), (Some(true), true));
        lingers.lingers();
        assert!(!lingers.was_asked_to_leave());
        slots.check_limits(Instant::now() + 2 * IDLE);
        assert_eq!(told(&lingers), None);
        // A connection that never had an answer would leave before an idle one.
        let silent = slots.insert();
        let goes = async {
            lingers.asked_to_leave().await;
            drop(lingers);
        };
        let (_next, ()) = tokio::join!(slots.take(), goes);
        assert!(slots.held() == 2 && !silent.was_asked_to_leave() && slots.counts().for_others == 1);
    });
}
