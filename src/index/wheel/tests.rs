use super::*;
use std::collections::BTreeMap;

#[test]
fn the_wheel_returns_the_entries_of_an_ordered_map() {
    for seed in 0..20 {
        let mut random = fastrand::Rng::with_seed(seed);
        let mut now = random.u64(0..1 << 50);
        let (mut wheel, mut reference, mut keys) = (TimerWheel::new(now), BTreeMap::new(), BTreeMap::new());
        let mut popped = 0;
        for serial in 0..6_000u64 {
            match random.u32(0..10) {
                0..5 => {
                    // Due at once up to years ahead, and sometimes overdue.
                    let bits = random.u32(1..58);
                    let ahead = random.u64(0..1 << bits);
                    let at = if random.u32(0..20) == 0 { now.saturating_sub(ahead) } else { now + ahead };
                    keys.insert(serial, (at, wheel.insert(at, serial)));
                    reference.insert((at, serial), ());
                }
                5 => {
                    if let Some((&old, &(at, key))) = keys.range(random.u64(0..serial + 1)..).next() {
                        assert_eq!(wheel.remove(key).is_some(), reference.remove(&(at, old)).is_some());
                        assert_eq!(wheel.remove(key), None, "the entry was removed before, seed {seed}");
                        keys.remove(&old);
                    }
                }
                _ => {
                    let bits = random.u32(1..30);
                    now += random.u64(0..1 << bits);
                }
            }
            let exact = reference.first_key_value().map(|((at, _), ())| *at);
            assert!(wheel.next_due().is_some() == exact.is_some() && wheel.next_due() <= exact);
            while let Some((at, serial)) = wheel.pop(now) {
                let first = reference.pop_first().map(|(key, ())| key);
                assert_eq!(first, Some((at, serial)), "seed {seed}");
                keys.remove(&serial);
                popped += 1;
            }
            assert!(reference.first_key_value().is_none_or(|((at, _), ())| *at > now));
            assert_eq!(wheel.len(), reference.len());
        }
        assert!(popped > 500, "only {popped} entries were popped, seed {seed}");
    }
}

#[test]
fn the_key_of_a_popped_entry_removes_no_other_entry() {
    let mut wheel = TimerWheel::new(0);
    let first = wheel.insert(5, 'a');
    assert_eq!(wheel.pop(5), Some((5, 'a')));
    let second = wheel.insert(7, 'b');
    assert_eq!((wheel.remove(first), wheel.len()), (None, 1));
    assert_eq!(wheel.remove(second), Some('b'));
    assert_eq!((wheel.next_due(), wheel.is_empty()), (None, true));
}
