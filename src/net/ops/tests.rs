use super::*;

#[test]
fn a_line_parses_to_one_command_or_an_error() {
    let long = [b'x'; MAX_LINE_BYTES];
    for (bytes, ended, wanted) in [
        (&b"READY\n"[..], false, Some(Ok(Command::Ready))),
        (b"STATS\n", false, Some(Ok(Command::Stats))),
        (b"DRAIN\n", false, Some(Ok(Command::Drain))),
        (b"UNDRAIN\nmore", true, Some(Ok(Command::Undrain))),
        (b"REA", false, None),
        (b"", false, None),
        (b"READY", true, Some(Err(BadLine::NoEnd))),
        (b"\n", false, Some(Err(BadLine::Empty))),
        (b"READY\r\n", false, Some(Ok(Command::Ready))),
        (b"\r\n", false, Some(Err(BadLine::Empty))),
        (b"READY\r\r\n", false, Some(Err(BadLine::Unknown))),
        (b"ready\n", false, Some(Err(BadLine::Unknown))),
        (b"READY now\n", false, Some(Err(BadLine::Unknown))),
        (b"\xff\xfe\n", false, Some(Err(BadLine::NoText))),
        (&long, false, Some(Err(BadLine::TooLong))),
        (&long[1..], false, None),
    ] {
        assert_eq!(Command::read(bytes, ended), wanted, "{bytes:?}");
    }
}

#[test]
fn ready_names_what_is_missing_and_a_drain_takes_effect_at_once() {
    let (lifecycle, phase) = Lifecycle::new(Duration::from_secs(1));
    let context = CommandContext { metrics: Metrics::default(), lifecycle, fleet: None };
    let ask = |line: &[u8]| context.answer(Command::read(line, true).unwrap());
    assert_eq!(ask(b"READY\n"), "ERR no brick is known yet\n");
    context.metrics.set_storage_nodes(2, 0);
    assert_eq!(ask(b"READY\n"), "ERR the core does not run\n");
    context.metrics.report_alive(Instant::now());
    assert_eq!(ask(b"READY\n"), "OK ready\n");
    assert_eq!(ask(b"DRAIN\n"), "OK draining\n");
    assert!(!phase.borrow().up);
    assert_eq!(ask(b"READY\n"), "ERR the head is draining\n");
    assert_eq!(ask(b"UNDRAIN\n"), "OK serving\n");
    assert!(phase.borrow().up);
    context.lifecycle.end(false);
    for line in [&b"READY\n"[..], b"DRAIN\n", b"UNDRAIN\n"] {
        assert_eq!(ask(line), "ERR the head is ending\n");
    }
    assert!(ask(b"STATS\n").ends_with("edge_gw_list_overdue_ms 0\nEND\n"));
}

#[test]
fn callers_that_never_finish_their_line_do_not_block_the_next() {
    use std::io::{Read, Write};
    let (lifecycle, _phase) = Lifecycle::new(Duration::from_secs(1));
    let context = CommandContext { metrics: Metrics::default(), lifecycle, fleet: None };
    let address = start(SocketAddr::from(([127, 0, 0, 1], 0)), 2, context).unwrap();
    let connect = || std::net::TcpStream::connect(address).unwrap();
    let mut slow: Vec<_> = (0..10).map(|_| connect()).collect();
    slow.iter_mut().for_each(|stream| stream.write_all(b"REA").unwrap());
    let mut caller = connect();
    caller.write_all(b"STATS\n").unwrap();
    let mut answer = String::new();
    caller.read_to_string(&mut answer).unwrap();
    assert!(answer.ends_with("END\n"), "{answer}");
    // The connection of the oldest slow caller was closed.
    assert!(!matches!(slow[0].read(&mut [0]), Ok(1..)));
}
