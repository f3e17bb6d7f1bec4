use super::*;
use crate::gossip::{Incarnation, NodeState};

fn record(incarnation: u64, state: NodeState) -> NodeRecord {
    NodeRecord { incarnation: Incarnation::from_bits(incarnation), state }
}

#[test]
fn records_merged_in_any_order_lead_to_the_same_view() {
    let mut rng = fastrand::Rng::with_seed(7);
    let mut records: Vec<(NodeId, NodeRecord)> =
        (0..400).map(|_| (rng.u16(..70), record(rng.u64(1..9), NodeState::ALL[rng.usize(..5)]))).collect();
    let merged = |records: &[(NodeId, NodeRecord)]| {
        let mut view = View::new(70);
        for (node, record) in records {
            view.merge(0, *node, *record, Cause::DirectContact);
        }
        (view.digest(), view.block_digests(), view.records().collect::<Vec<_>>(), view.running_count())
    };
    let first = merged(&records);
    for _ in 0..20 {
        rng.shuffle(&mut records);
        assert_eq!(merged(&records), first);
    }
    assert_eq!(first.3, first.2.iter().filter(|(_, record)| record.is_running()).count());
}

#[test]
fn a_later_incarnation_overrides_any_state_and_a_later_state_the_same_incarnation() {
    use NodeState::*;
    let (mut view, rows) = (
        View::new(3),
        [
            (record(1, Joining), true),
            (record(1, Alive), true),
            (record(1, Joining), false),
            (record(1, Suspect), true),
            (record(1, Alive), false),
            (record(2, Alive), true),
            (record(1, Dead), false),
            (record(2, Dead), true),
            (record(2, Suspect), false),
            (record(2, Left), true),
            (record(3, Joining), true),
            (NodeRecord::UNKNOWN, false),
        ],
    );
    for (record, is_accepted) in rows {
        assert_eq!(view.merge(0, 1, record, Cause::GossipFrom(2)).is_some(), is_accepted, "{record:?}");
    }
    assert_eq!(view.merge(0, 3, record(1, Alive), Cause::DirectContact), None, "there is no such node");
}

#[test]
fn only_the_records_of_differing_blocks_are_returned() {
    for node_count in [1, 2, 64, 65, 300, 1_024] {
        let mut view = View::new(node_count);
        for node in 0..node_count as NodeId {
            view.merge(0, node, record(u64::from(node) + 1, NodeState::Alive), Cause::DirectContact);
        }
        assert!(view.block_digests().len() <= MAX_BLOCKS, "{node_count}");
        assert_eq!(view.differing(&view.block_digests()), []);
        let (mut other, last) = (view.clone(), node_count as NodeId - 1);
        other.merge(0, last, record(u64::from(last) + 1, NodeState::Dead), Cause::SuspicionTimeout);
        let differing = view.differing(&other.block_digests());
        assert!(differing.iter().any(|(node, _)| *node == last));
        assert!(differing.len() <= node_count.div_ceil(MAX_BLOCKS), "{node_count}: {differing:?}");
        // Of a fleet of another size: all.
        assert_eq!(view.differing(&[]).len(), node_count);
    }
}
