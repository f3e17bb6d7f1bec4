use super::*;

fn frame(kind: u8, flags: u8, stream: u32, payload: &[u8]) -> Vec<u8> {
    let mut bytes = (payload.len() as u32).to_be_bytes()[1..].to_vec();
    bytes.extend([kind, flags]);
    bytes.extend(stream.to_be_bytes());
    bytes.extend(payload);
    bytes
}

#[test]
fn frames_are_told_alike_in_whatever_pieces_they_pass() {
    let mut bytes = vec![b'P'; PREFACE];
    bytes.extend(frame(4, 0, 0, &[]));
    bytes.extend(frame(1, 4, 1, &[7; 20]));
    bytes.extend(frame(0, 1, 1, &[9; 300]));
    bytes.extend(frame(7, 0, 0, &[0x80, 0, 0, 41, 0, 0, 0, 0, b'b', b'y']));
    for size in [1, 2, 3, 9, 10, 64, bytes.len()] {
        let (mut scanner, mut seen) = (Scanner::new(PREFACE), Vec::new());
        bytes.chunks(size).for_each(|piece| scanner.pass(piece, |event| seen.push(event)));
        let whole: Vec<Frame> = seen
            .iter()
            .filter_map(|s| if let Seen::Whole(frame) = s { Some(*frame) } else { None })
            .collect();
        assert_eq!(seen.len(), 8, "each frame begins once and ends once, by {size}");
        assert_eq!(
            whole.iter().map(|f| (f.kind, f.stream, f.length)).collect::<Vec<_>>(),
            [(Kind::Settings, 0, 0), (Kind::Headers, 1, 20), (Kind::Data, 1, 300), (Kind::GoAway, 0, 10)]
        );
        assert_eq!(whole.iter().map(Frame::ends_stream).collect::<Vec<_>>(), [false, false, true, false]);
        assert_eq!((whole[1].ends_headers(), whole[3].last_stream()), (true, Some(41)));
    }
}

#[test]
fn a_frame_of_which_a_byte_is_missing_is_not_whole() {
    let (bytes, mut ends) = (frame(0, 1, 3, b"abc"), 0);
    let mut scanner = Scanner::new(0);
    scanner.pass(&bytes[..bytes.len() - 1], |seen| ends += usize::from(matches!(seen, Seen::Whole(_))));
    assert_eq!(ends, 0);
    scanner.pass(&bytes[bytes.len() - 1..], |seen| ends += usize::from(matches!(seen, Seen::Whole(_))));
    assert_eq!(ends, 1);
}
