use super::*;

fn piece(length: usize) -> Bytes {
    Bytes::from(vec![7; length])
}

#[test]
fn a_body_within_the_limit_can_be_sent_by_several_attempts() {
    let mut buffer = ReplayBuffer::new(100);
    buffer.push(piece(40));
    buffer.push(Bytes::new());
    buffer.push(piece(30));
    for attempt in 0..2 {
        assert_eq!(buffer.next(attempt, 0), Next::Piece(piece(40)));
        assert_eq!(buffer.next(attempt, 1), Next::Piece(piece(30)));
        assert_eq!(buffer.next(attempt, 2), Next::Wait);
        assert_eq!(buffer.sent(attempt, 2), 0, "nothing is dropped while the call is not bound");
    }
    buffer.end(BodyEnd::Complete);
    buffer.end(BodyEnd::Reset);
    assert_eq!(buffer.next(2, 2), Next::End(BodyEnd::Complete));
    assert!(!buffer.can_read() && !buffer.exceeds_limit());
}

#[test]
fn a_body_over_the_limit_can_only_be_sent_by_one_attempt() {
    for exhausted in [false, true] {
        let mut buffer = ReplayBuffer::new(100);
        buffer.push(piece(60));
        assert!(buffer.can_read());
        if exhausted {
            buffer.mark_memory_exhausted();
        } else {
            buffer.push(piece(60));
        }
        assert!(!buffer.can_read() && buffer.exceeds_limit());
        let sent = if exhausted { 1 } else { 2 };
        assert_eq!(buffer.next(0, sent), Next::Bind);
        assert_eq!(buffer.bind(0, sent), 60 * sent);
        assert!(buffer.can_read() && buffer.bytes() == 0);
        assert_eq!(buffer.next(1, 0), Next::Lost);
        assert_eq!(buffer.next(1, sent), Next::Lost, "another attempt gets nothing, whatever it has sent");
        buffer.push(piece(WINDOW));
        assert!(!buffer.can_read() && !buffer.exceeds_limit());
        assert_eq!(buffer.next(0, sent), Next::Piece(piece(WINDOW)));
        assert_eq!(buffer.sent(1, sent + 1), 0);
        assert_eq!(buffer.sent(0, sent + 1), WINDOW);
        assert!(buffer.can_read());
        buffer.end(BodyEnd::Reset);
        assert_eq!(buffer.next(0, sent + 1), Next::End(BodyEnd::Reset));
    }
}

#[test]
fn a_call_bound_early_keeps_the_data_that_its_attempt_has_not_sent() {
    let mut buffer = ReplayBuffer::new(1000);
    (1..=3).for_each(|length| buffer.push(piece(length)));
    assert_eq!(buffer.bind(4, 1), 1);
    assert_eq!(buffer.next(4, 1), Next::Piece(piece(2)));
    assert_eq!(buffer.next(4, 0), Next::Lost);
    assert_eq!(buffer.sent(4, 3), 5);
    assert_eq!(buffer.next(4, 3), Next::Wait);
}
