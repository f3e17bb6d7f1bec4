use super::*;

fn piece(length: usize) -> Bytes {
    Bytes::from(vec![7; length])
}

#[test]
fn all_that_is_held_can_be_sent_by_one_attempt_after_another() {
    let mut buffer = ReplayBuffer::new(100);
    buffer.push(piece(40));
    buffer.push(Bytes::new());
    buffer.push(piece(30));
    for attempt in 0..2 {
        assert_eq!(buffer.next(attempt, 0), Next::Piece(piece(40)));
        assert_eq!(buffer.next(attempt, 1), Next::Piece(piece(30)));
        assert_eq!(buffer.next(attempt, 2), Next::Wait);
        assert_eq!(buffer.sent(attempt, 2), 0, "not bound, nothing is dropped");
    }
    buffer.end(Over::Whole);
    buffer.end(Over::Cut);
    assert_eq!(buffer.next(2, 2), Next::End(Over::Whole));
    assert!(!buffer.room() && !buffer.outgrown());
}

#[test]
fn what_outgrows_its_bound_goes_on_at_one_attempt_only() {
    for pinched in [false, true] {
        let mut buffer = ReplayBuffer::new(100);
        buffer.push(piece(60));
        assert!(buffer.room());
        if pinched {
            buffer.pinch();
        } else {
            buffer.push(piece(60));
        }
        assert!(!buffer.room() && buffer.outgrown());
        let sent = if pinched { 1 } else { 2 };
        assert_eq!(buffer.next(0, sent), Next::Bind);
        assert_eq!(buffer.bind(0, sent), 60 * sent);
        assert!(buffer.room() && buffer.bytes() == 0);
        assert_eq!(buffer.next(1, 0), Next::Lost);
        assert_eq!(buffer.next(1, sent), Next::Lost, "another attempt, whatever it has sent");
        buffer.push(piece(WINDOW));
        assert!(!buffer.room() && !buffer.outgrown());
        assert_eq!(buffer.next(0, sent), Next::Piece(piece(WINDOW)));
        assert_eq!(buffer.sent(1, sent + 1), 0);
        assert_eq!(buffer.sent(0, sent + 1), WINDOW);
        assert!(buffer.room());
        buffer.end(Over::Cut);
        assert_eq!(buffer.next(0, sent + 1), Next::End(Over::Cut));
    }
}

#[test]
fn a_call_bound_early_keeps_what_its_attempt_has_yet_to_send() {
    let mut buffer = ReplayBuffer::new(1000);
    (1..=3).for_each(|length| buffer.push(piece(length)));
    assert_eq!(buffer.bind(4, 1), 1);
    assert_eq!(buffer.next(4, 1), Next::Piece(piece(2)));
    assert_eq!(buffer.next(4, 0), Next::Lost);
    assert_eq!(buffer.sent(4, 3), 5);
    assert_eq!(buffer.next(4, 3), Next::Wait);
}
