use super::*;

fn every_kind() -> Vec<Datagram> {
    let record = |n: u64| {
        (n as Number, Record { incarnation: Incarnation::of(n << 20 | 7), state: State::ALL[n as usize % 5] })
    };
    let few: Vec<_> = (1..4).map(record).collect();
    let full: Vec<_> = (1..=ENTRIES as u64).map(record).collect();
    let says = [
        Say::Ask(few.clone()),
        Say::Ask(Vec::new()),
        Say::Answer { of: 9, records: full.clone() },
        Say::AskFor { whom: 1_023, records: few.clone() },
        Say::Blocks((0..BLOCKS as u32).map(|n| n * 0x03_0201).collect()),
        Say::Records(full),
    ];
    let about = About { list: 77, revision: 1 << 30, draining: true, pressure: 3 };
    let told = |say| Datagram {
        from: 5,
        to: 1_000,
        incarnation: Incarnation::began(1_700_000_000),
        joined: true,
        serial: u32::MAX - 1,
        digest: u64::MAX / 3,
        about,
        say,
    };
    says.into_iter().map(told).collect()
}

#[test]
fn what_is_said_is_read_back_and_is_never_too_long() {
    let key = Key::of("fleet-a");
    for said in every_kind() {
        let bytes = said.bytes(&key);
        assert!(bytes.len() <= MOST_BYTES, "{} {said:?}", bytes.len());
        assert_eq!(Datagram::read(&bytes, &key), Ok(said));
    }
}

#[test]
fn what_is_cut_foreign_changed_or_of_a_later_form_is_none() {
    let key = Key::of("fleet-a");
    for said in every_kind() {
        let bytes = said.bytes(&key);
        assert_eq!(Datagram::read(&bytes, &Key::of("fleet-b")), Err(Bad::Foreign));
        for cut in 0..bytes.len() {
            assert!(Datagram::read(&bytes[..cut], &key).is_err(), "{cut} {said:?}");
        }
        assert!(Datagram::read(&[&bytes[..], &[0]].concat(), &key).is_err());
        for place in 0..bytes.len() {
            let mut changed = bytes.clone();
            changed[place] ^= 0x10;
            let bad = if place == 0 { Bad::Form } else { Bad::Foreign };
            assert_eq!(Datagram::read(&changed, &key), Err(bad), "{place}");
        }
    }
    // Sound as to its check, and of a kind or a state that this version has not.
    for (place, value, count) in [(5, 9, 0), (HEAD + 8, 5, 1), (HEAD - 1, 2, 1)] {
        let record = (1, Record { incarnation: Incarnation::of(1), state: State::Alive });
        let said = Datagram { say: Say::Ask(vec![record; count]), ..every_kind()[0].clone() };
        let mut bytes = said.bytes(&key);
        bytes[place] = value;
        let check = key.check(&bytes[1 + CHECK..]);
        bytes[1..=CHECK].copy_from_slice(&check);
        assert_eq!(Datagram::read(&bytes, &key), Err(Bad::Figures), "{place}");
    }
    assert_eq!(Datagram::read(&[], &key), Err(Bad::Cut));
    assert_eq!(Datagram::read(&[1, 0, 0, 3, 0, 9], &key), Err(Bad::Form), "what the module says");
}
