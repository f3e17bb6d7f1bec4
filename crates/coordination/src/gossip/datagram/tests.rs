use super::*;

fn every_kind() -> Vec<Datagram> {
    let record = |n: u64| {
        (
            n as NodeId,
            NodeRecord {
                incarnation: Incarnation::from_bits(n << 20 | 7),
                state: NodeState::ALL[n as usize % 5],
            },
        )
    };
    let few: Vec<_> = (1..4).map(record).collect();
    let full: Vec<_> = (1..=MAX_RECORDS as u64).map(record).collect();
    let bodies = [
        Body::Probe(few.clone()),
        Body::Probe(Vec::new()),
        Body::Ack { subject: 9, records: full.clone() },
        Body::IndirectProbe { target: 1_023, records: few },
        Body::BlockDigests((0..MAX_BLOCKS as u32).map(|n| n * 0x03_0201).collect()),
        Body::Repair(full),
    ];
    let status =
        NodeStatus { node_list_version: 77, configuration_revision: 1 << 30, draining: true, pressure: 3 };
    let datagram = |body| Datagram {
        from: 5,
        to: 1_000,
        incarnation: Incarnation::started_at(1_700_000_000),
        joined: true,
        sequence: u32::MAX - 1,
        digest: u64::MAX / 3,
        status,
        body,
    };
    bodies.into_iter().map(datagram).collect()
}

#[test]
fn each_kind_is_decoded_as_it_was_encoded_and_fits_a_datagram() {
    let key = FleetKey::derive("fleet-a");
    for datagram in every_kind() {
        let bytes = datagram.encode(&key);
        assert!(bytes.len() <= MAX_DATAGRAM_BYTES, "{} {datagram:?}", bytes.len());
        assert_eq!(Datagram::decode(&bytes, &key), Ok(datagram));
    }
}

#[test]
fn truncated_foreign_corrupted_and_later_datagrams_are_rejected() {
    let key = FleetKey::derive("fleet-a");
    for datagram in every_kind() {
        let bytes = datagram.encode(&key);
        assert_eq!(Datagram::decode(&bytes, &FleetKey::derive("fleet-b")), Err(DecodeError::Checksum));
        for cut in 0..bytes.len() {
            assert!(Datagram::decode(&bytes[..cut], &key).is_err(), "{cut} {datagram:?}");
        }
        assert!(Datagram::decode(&[&bytes[..], &[0]].concat(), &key).is_err());
        for position in 0..bytes.len() {
            let mut changed = bytes.clone();
            changed[position] ^= 0x10;
            let error = if position == 0 { DecodeError::UnknownFormat } else { DecodeError::Checksum };
            assert_eq!(Datagram::decode(&changed, &key), Err(error), "{position}");
        }
    }
    // The checksum matches; the kind, the state or the count is unknown to this version.
    for (position, value, count) in [(5, 9, 0), (HEADER_BYTES + 8, 5, 1), (HEADER_BYTES - 1, 2, 1)] {
        let record = (1, NodeRecord { incarnation: Incarnation::from_bits(1), state: NodeState::Alive });
        let datagram = Datagram { body: Body::Probe(vec![record; count]), ..every_kind()[0].clone() };
        let mut bytes = datagram.encode(&key);
        bytes[position] = value;
        let checksum = key.checksum(&bytes[1 + CHECKSUM_BYTES..]);
        bytes[1..=CHECKSUM_BYTES].copy_from_slice(&checksum);
        assert_eq!(Datagram::decode(&bytes, &key), Err(DecodeError::Malformed), "{position}");
    }
    assert_eq!(Datagram::decode(&[], &key), Err(DecodeError::Length));
    assert_eq!(
        Datagram::decode(&[1, 0, 0, 3, 0, 9], &key),
        Err(DecodeError::UnknownFormat),
        "another format on the same socket"
    );
}
