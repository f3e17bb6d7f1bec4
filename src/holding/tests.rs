use super::*;

fn piece(length: usize) -> Bytes {
    Bytes::from(vec![7; length])
}

#[test]
fn all_that_is_held_can_be_sent_by_one_attempt_after_another() {
    let mut holding = Holding::new(100);
    holding.push(piece(40));
    holding.push(Bytes::new());
    holding.push(piece(30));
    for attempt in 0..2 {
        assert_eq!(holding.next(attempt, 0), Next::Piece(piece(40)));
        assert_eq!(holding.next(attempt, 1), Next::Piece(piece(30)));
        assert_eq!(holding.next(attempt, 2), Next::Wait);
        assert_eq!(holding.sent(attempt, 2), 0, "not bound, nothing is dropped");
    }
    holding.end(Over::Whole);
    holding.end(Over::Cut);
    assert_eq!(holding.next(2, 2), Next::End(Over::Whole));
    assert!(!holding.room() && !holding.outgrown());
}

#[test]
fn what_outgrows_its_bound_goes_on_at_one_attempt_only() {
    for pinched in [false, true] {
        let mut holding = Holding::new(100);
        holding.push(piece(60));
        assert!(holding.room());
        if pinched {
            holding.pinch();
        } else {
            holding.push(piece(60));
        }
        assert!(!holding.room() && holding.outgrown());
        let sent = if pinched { 1 } else { 2 };
        assert_eq!(holding.next(0, sent), Next::Bind);
        assert_eq!(holding.bind(0, sent), 60 * sent);
        assert!(holding.room() && holding.bytes() == 0);
        assert_eq!(holding.next(1, 0), Next::Lost);
        assert_eq!(holding.next(1, sent), Next::Lost, "another attempt, whatever it has sent");
        holding.push(piece(WINDOW));
        assert!(!holding.room() && !holding.outgrown());
        assert_eq!(holding.next(0, sent), Next::Piece(piece(WINDOW)));
        assert_eq!(holding.sent(1, sent + 1), 0);
        assert_eq!(holding.sent(0, sent + 1), WINDOW);
        assert!(holding.room());
        holding.end(Over::Cut);
        assert_eq!(holding.next(0, sent + 1), Next::End(Over::Cut));
    }
}

#[test]
fn a_call_bound_early_keeps_what_its_attempt_has_yet_to_send() {
    let mut holding = Holding::new(1000);
    (1..=3).for_each(|length| holding.push(piece(length)));
    assert_eq!(holding.bind(4, 1), 1);
    assert_eq!(holding.next(4, 1), Next::Piece(piece(2)));
    assert_eq!(holding.next(4, 0), Next::Lost);
    assert_eq!(holding.sent(4, 3), 5);
    assert_eq!(holding.next(4, 3), Next::Wait);
}
