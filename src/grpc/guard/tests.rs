use super::*;

const S: Micros = 1_000_000;

fn frame(kind: Kind, flags: u8, length: usize) -> Seen {
    Seen::Begins(Frame { kind, flags, stream: 1, length, start: [0; 8] })
}

/// How many of these, `gap` apart, are let pass out of `most`.
fn passed(frame: Seen, gap: Micros, most: usize) -> (usize, Option<Offence>) {
    let mut guard = Guard::new(16 * 1024);
    for i in 0..most {
        if let Some(offence) = guard.frame(S + i as Micros * gap, frame) {
            return (i, Some(offence));
        }
    }
    (most, None)
}

#[test]
fn floods_are_told_by_their_kind_and_an_ordinary_pace_never() {
    for (kind, flags, length, burst, ordinary, offence) in [
        (Kind::Reset, 0, 4, 200, S / 20, Offence::RapidReset),
        (Kind::Settings, 0, 6, 20, 2 * S, Offence::SettingsFlood),
        (Kind::Ping, 0, 8, 50, S, Offence::PingFlood),
        (Kind::Ping, 1, 8, 50, S / 40, Offence::PingFlood),
        (Kind::Data, 0, 0, 50, S / 40, Offence::EmptyFlood),
        (Kind::Priority, 0, 5, 50, S / 40, Offence::EmptyFlood),
        (Kind::Other, 0, 5, 50, S / 40, Offence::EmptyFlood),
        (Kind::WindowUpdate, 0, 4, 20_000, S / 10_000, Offence::UpdateFlood),
        (Kind::Continuation, 0, 1, 5, S, Offence::Continuations),
        (Kind::Continuation, 0, 4_000, 4, S, Offence::HeaderBytes),
    ] {
        let frame = frame(kind, flags, length);
        assert_eq!(passed(frame, 0, 100_000), (burst, Some(offence)), "{kind:?}");
        if kind != Kind::Continuation {
            assert_eq!(passed(frame, ordinary, 30_000), (30_000, None), "{kind:?}");
        }
    }
    for harmless in [frame(Kind::Data, 0, 1), frame(Kind::Data, 1, 0), frame(Kind::Headers, 4, 200)] {
        assert_eq!(passed(harmless, 0, 100_000).1, None);
    }
}

#[test]
fn each_header_block_counts_anew() {
    let mut guard = Guard::new(1000);
    for _ in 0..50 {
        assert_eq!(guard.frame(S, frame(Kind::Headers, 0, 600)), None);
        assert_eq!(guard.frame(S, frame(Kind::Continuation, 4, 400)), None);
    }
    assert_eq!(guard.frame(S, frame(Kind::Headers, 4, 1001)), Some(Offence::HeaderBytes));
}

#[test]
fn names_are_apart() {
    let names: std::collections::BTreeSet<_> = Offence::ALL.iter().map(|o| o.name()).collect();
    assert_eq!(names.len(), Offence::ALL.len());
}
