use super::*;

fn handle() -> Bytes {
    Bytes::from_static(b"\0h")
}

#[test]
fn every_packet_decodes_to_the_value_that_was_encoded() {
    let attrs = Attrs {
        size: Some(1 << 40),
        owner: Some((7, 8)),
        permissions: Some(0o644),
        times: Some((5, u32::MAX)),
    };
    for command in [
        Command::Open { path: "/a/b".into(), flags: READ | CREAT, attrs },
        Command::Close { handle: handle() },
        Command::Read { handle: handle(), offset: u64::MAX, length: 9 },
        Command::Write { handle: handle(), offset: 3, data: Bytes::from_static(b"data") },
        Command::Stat { path: "/a".into(), follow: true },
        Command::Stat { path: "/a".into(), follow: false },
        Command::Fstat { handle: handle() },
        Command::Unsupported(18),
    ] {
        let request = Request::Command { id: 0x0102_0304, command };
        assert_eq!(Request::decode(request.encode()), Ok(request));
    }
    for reply in [
        Reply::status(Status::OpUnsupported, "no"),
        Reply::Handle(handle()),
        Reply::Data(Bytes::from_static(b"data")),
        Reply::Attrs(Attrs { size: None, ..attrs }),
        Reply::Attrs(Attrs::default()),
    ] {
        let response = Response::Reply { id: 7, reply };
        assert_eq!(Response::decode(response.encode()), Ok(response.clone()));
        let Response::Reply { id, reply } = &response else { unreachable!("the response is a reply") };
        assert_eq!(EncodedReply::new(reply).with_id(*id), response.encode());
    }
}

#[test]
fn packets_are_encoded_as_the_specification_prescribes() {
    let read = Request::Command {
        id: 2,
        command: Command::Read { handle: handle(), offset: 0x1_0000_0000, length: 0x8000 },
    };
    let bytes = [&[5, 0, 0, 0, 2, 0, 0, 0, 2, 0, b'h'][..], &[0, 0, 0, 1, 0, 0, 0, 0, 0, 0, 0x80, 0]];
    assert_eq!(read.encode(), bytes.concat());
    let eof = Response::Reply { id: 2, reply: Reply::status(Status::Eof, "x") };
    let bytes = [101, 0, 0, 0, 2, 0, 0, 0, 1, 0, 0, 0, 1, b'x', 0, 0, 0, 2, b'e', b'n'];
    assert_eq!(eof.encode(), &bytes[..]);
}

#[test]
fn errors_in_packets_carry_the_request_id_if_it_can_be_read() {
    for (packet, id, problem) in [
        (&[][..], None, "a byte is missing"),
        (&[OPEN, 0, 0], None, "a number is cut short"),
        (&[CLOSE, 0, 0, 0, 9, 0, 0, 0, 5, b'x'], Some(9), "a string is cut short"),
        (&[CLOSE, 0, 0, 0, 9, 0, 0, 0, 1, b'x', 0], Some(9), "something follows the packet's end"),
        (&[STAT, 0, 0, 0, 9, 0, 0, 0, 1, 0xff], Some(9), "a path is not UTF-8"),
        (&[STAT, 0, 0, 0, 9, 0xff, 0xff, 0xff, 0xff], Some(9), "a string is cut short"),
        (
            &[OPEN, 0, 0, 0, 9, 0, 0, 0, 0, 0, 0, 0, 1, 0x80, 0, 0, 0, 0, 0, 0, 9],
            Some(9),
            "a number is cut short",
        ),
    ] {
        let malformed = Malformed { id, problem };
        assert_eq!(Request::decode(Bytes::copy_from_slice(packet)), Err(malformed), "{packet:?}");
    }
    let long = Request::Command {
        id: 1,
        command: Command::Fstat { handle: Bytes::from(vec![0; MAX_HANDLE_BYTES + 1]) },
    };
    let problem = "a string is too long";
    assert_eq!(Request::decode(long.encode()), Err(Malformed { id: Some(1), problem }));
}

#[test]
fn a_reply_has_to_be_one_to_its_command() {
    let open = Command::Open { path: "/a".into(), flags: READ, attrs: Attrs::default() };
    let read = Command::Read { handle: handle(), offset: 0, length: 4 };
    let write = Command::Write { handle: handle(), offset: 0, data: Bytes::from_static(b"data") };
    let stat = Command::Stat { path: "/a".into(), follow: true };
    let close = Command::Close { handle: handle() };
    let replies = [
        Reply::status(Status::Ok, ""),
        Reply::status(Status::Eof, ""),
        Reply::Handle(handle()),
        Reply::Data(Bytes::from_static(b"data")),
        Reply::Data(Bytes::from_static(b"longer")),
        Reply::Attrs(Attrs::default()),
        Reply::status(Status::Failure, ""),
        Reply::status(Status::NoSuchFile, ""),
    ];
    let met = |command: &Command| replies.each_ref().map(|reply| command.expected_reply().is_met_by(reply));
    assert_eq!(met(&open), [false, false, true, false, false, false, true, true]);
    assert_eq!(met(&read), [false, true, false, true, false, false, true, true]);
    assert_eq!(met(&write), [true, false, false, false, false, false, true, true]);
    assert_eq!(met(&close), met(&write));
    assert_eq!(met(&stat), [false, false, false, false, false, true, true, true]);
    assert_eq!(met(&Command::Fstat { handle: handle() }), met(&stat));
}
