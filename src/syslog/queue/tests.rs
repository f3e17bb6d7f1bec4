use super::*;

fn popped(queue: &mut Queue) -> Vec<String> {
    let (mut line, mut all) = (Vec::new(), Vec::new());
    while queue.pop(&mut line).is_some() {
        all.push(String::from_utf8(line.clone()).unwrap());
    }
    all
}

#[test]
fn lines_are_popped_in_the_order_of_their_push() {
    let mut queue = Queue::new(10_000);
    for (i, severity) in [6, 3, 6, 4, 3, 7].into_iter().enumerate() {
        assert!(queue.push(i as u64, Severity::ALL[severity], "X", format!("l{i}").as_bytes()));
    }
    assert_eq!(queue.lines(), 6);
    assert_eq!(popped(&mut queue), ["l0", "l1", "l2", "l3", "l4", "l5"]);
    assert_eq!((queue.bytes(), queue.lines(), queue.dropped()), (0, 0, vec![]));
}

#[test]
fn the_least_severe_and_oldest_lines_are_dropped_first_and_counted() {
    let mut queue = Queue::new(4 * (2 + LINE_OVERHEAD_BYTES));
    let info = Severity::Informational;
    queue.push(1, info, "A", b"a1");
    queue.push(2, Severity::Error, "E", b"e1");
    queue.push(3, info, "B", b"b1");
    queue.push(4, Severity::Warning, "W", b"w1");
    assert!(queue.push(5, Severity::Error, "E", b"e2"));
    assert!(queue.push(6, info, "A", b"a2"), "of the same severity, the older line is dropped");
    assert!(queue.push(7, Severity::Error, "E", b"e3"));
    assert!(queue.push(8, Severity::Error, "E", b"e4"));
    assert!(!queue.push(9, info, "A", b"a3"), "all queued lines are more severe");
    assert!(queue.push(10, Severity::Error, "E", b"e5"));
    assert_eq!(popped(&mut queue), ["e2", "e3", "e4", "e5"]);
    let dropped = |id, count, from, until| Dropped { id, count, from, until };
    let wanted = [dropped("A", 3, 1, 9), dropped("B", 1, 3, 3), dropped("W", 1, 4, 4), dropped("E", 1, 2, 2)];
    assert_eq!(queue.dropped(), wanted);
    assert_eq!(queue.dropped(), []);
}

#[test]
fn a_clock_set_back_keeps_the_order_and_the_times_of_dropped_lines() {
    let mut queue = Queue::new(2 * (2 + LINE_OVERHEAD_BYTES));
    for (i, at) in [50, 20, 30, 10].into_iter().enumerate() {
        queue.push(at, Severity::Notice, "N", format!("n{i}").as_bytes());
    }
    assert_eq!(popped(&mut queue), ["n2", "n3"]);
    assert_eq!(queue.dropped(), [Dropped { id: "N", count: 2, from: 20, until: 50 }]);
}

#[test]
fn a_line_longer_than_the_limit_is_dropped_and_the_limit_always_holds() {
    let mut queue = Queue::new(500);
    assert!(!queue.push(0, Severity::Emergency, "L", &[b'x'; 500]));
    let mut random = fastrand::Rng::with_seed(3);
    let (mut pushed, mut out, mut line) = (1, 0, Vec::new());
    for i in 0..5_000 {
        let severity = Severity::ALL[random.usize(0..8)];
        queue.push(i, severity, "R", &vec![b'y'; random.usize(0..120)]);
        pushed += 1;
        if random.u8(0..4) == 0 {
            out += u64::from(queue.pop(&mut line).is_some());
        }
        assert!(queue.bytes() <= 500);
    }
    let dropped: u64 = queue.dropped().iter().map(|dropped| dropped.count).sum();
    assert_eq!(out + dropped + queue.lines() as u64, pushed);
}
