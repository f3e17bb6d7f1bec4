use super::*;

const SECOND: Micros = 1_000_000;

fn frame(kind: FrameKind, flags: u8, length: usize) -> FrameEvent {
    FrameEvent::Started(Frame { kind, flags, stream: 1, length, payload_start: [0; 8] })
}

/// Sends up to `count` frames, `gap` apart. Returns how many the guard accepts, and the offence that ends
/// them.
fn accepted(frame: FrameEvent, gap: Micros, count: usize) -> (usize, Option<Offence>) {
    let mut guard = Guard::new(16 * 1024);
    for i in 0..count {
        if let Some(offence) = guard.frame(SECOND + i as Micros * gap, frame) {
            return (i, Some(offence));
        }
    }
    (count, None)
}

#[test]
fn a_flood_is_an_offence_of_its_kind_and_an_ordinary_rate_is_none() {
    for (kind, flags, length, burst, ordinary, offence) in [
        (FrameKind::Reset, 0, 4, 200, SECOND / 20, Offence::RapidReset),
        (FrameKind::Settings, 0, 6, 20, 2 * SECOND, Offence::SettingsFlood),
        (FrameKind::Ping, 0, 8, 50, SECOND, Offence::PingFlood),
        (FrameKind::Ping, 1, 8, 50, SECOND / 40, Offence::PingFlood),
        (FrameKind::Data, 0, 0, 50, SECOND / 40, Offence::EmptyFlood),
        (FrameKind::Priority, 0, 5, 50, SECOND / 40, Offence::EmptyFlood),
        (FrameKind::Other, 0, 5, 50, SECOND / 40, Offence::EmptyFlood),
        (FrameKind::WindowUpdate, 0, 4, 20_000, SECOND / 10_000, Offence::UpdateFlood),
        (FrameKind::Continuation, 0, 1, 5, SECOND, Offence::Continuations),
        (FrameKind::Continuation, 0, 4_000, 4, SECOND, Offence::HeaderBytes),
    ] {
        let frame = frame(kind, flags, length);
        assert_eq!(accepted(frame, 0, 100_000), (burst, Some(offence)), "{kind:?}");
        if kind != FrameKind::Continuation {
            assert_eq!(accepted(frame, ordinary, 30_000), (30_000, None), "{kind:?}");
        }
    }
    for harmless in
        [frame(FrameKind::Data, 0, 1), frame(FrameKind::Data, 1, 0), frame(FrameKind::Headers, 4, 200)]
    {
        assert_eq!(accepted(harmless, 0, 100_000).1, None);
    }
}

#[test]
fn limits_apply_to_each_header_block_separately() {
    let mut guard = Guard::new(1000);
    for _ in 0..50 {
        assert_eq!(guard.frame(SECOND, frame(FrameKind::Headers, 0, 600)), None);
        assert_eq!(guard.frame(SECOND, frame(FrameKind::Continuation, 4, 400)), None);
    }
    assert_eq!(guard.frame(SECOND, frame(FrameKind::Headers, 4, 1001)), Some(Offence::HeaderBytes));
}

#[test]
fn no_two_offences_share_a_name() {
    let names: std::collections::BTreeSet<_> = Offence::ALL.iter().map(|o| o.name()).collect();
    assert_eq!(names.len(), Offence::ALL.len());
}
