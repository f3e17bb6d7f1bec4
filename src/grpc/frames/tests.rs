use super::*;

fn frame(kind: u8, flags: u8, stream: u32, payload: &[u8]) -> Vec<u8> {
    let mut bytes = (payload.len() as u32).to_be_bytes()[1..].to_vec();
    bytes.extend([kind, flags]);
    bytes.extend(stream.to_be_bytes());
    bytes.extend(payload);
    bytes
}

#[test]
fn frames_are_found_however_the_bytes_are_split() {
    let mut bytes = vec![b'P'; PREFACE_BYTES];
    bytes.extend(frame(4, 0, 0, &[]));
    bytes.extend(frame(1, 4, 1, &[7; 20]));
    bytes.extend(frame(0, 1, 1, &[9; 300]));
    bytes.extend(frame(7, 0, 0, &[0x80, 0, 0, 41, 0, 0, 0, 0, b'b', b'y']));
    for size in [1, 2, 3, 9, 10, 64, bytes.len()] {
        let (mut scanner, mut events) = (Scanner::new(PREFACE_BYTES), Vec::new());
        bytes.chunks(size).for_each(|piece| scanner.scan(piece, |event| events.push(event)));
        let complete: Vec<Frame> = events
            .iter()
            .filter_map(|event| if let FrameEvent::Complete(frame) = event { Some(*frame) } else { None })
            .collect();
        assert_eq!(events.len(), 8, "each frame must start once and end once in pieces of {size} bytes");
        assert_eq!(
            complete.iter().map(|f| (f.kind, f.stream, f.length)).collect::<Vec<_>>(),
            [
                (FrameKind::Settings, 0, 0),
                (FrameKind::Headers, 1, 20),
                (FrameKind::Data, 1, 300),
                (FrameKind::GoAway, 0, 10)
            ]
        );
        assert_eq!(complete.iter().map(Frame::ends_stream).collect::<Vec<_>>(), [false, false, true, false]);
        assert_eq!((complete[1].ends_headers(), complete[3].last_stream()), (true, Some(41)));
    }
}

#[test]
fn a_frame_is_complete_only_with_its_last_byte() {
    let (bytes, mut ends) = (frame(0, 1, 3, b"abc"), 0);
    let mut scanner = Scanner::new(0);
    scanner.scan(&bytes[..bytes.len() - 1], |event| {
        ends += usize::from(matches!(event, FrameEvent::Complete(_)))
    });
    assert_eq!(ends, 0);
    scanner.scan(&bytes[bytes.len() - 1..], |event| {
        ends += usize::from(matches!(event, FrameEvent::Complete(_)))
    });
    assert_eq!(ends, 1);
}
