use super::*;

const ABSENT: PeerProcess = PeerProcess { lives: false, halved: false };
const FULL: PeerProcess = PeerProcess { lives: true, halved: false };
const HALF: PeerProcess = PeerProcess { lives: true, halved: true };

/// Formats `accept` as `a` and `halved` as `h`.
fn flags(permissions: Permissions) -> String {
    format!("{}{}", if permissions.accept { "a" } else { "-" }, if permissions.halved { "h" } else { "-" })
}

#[test]
fn a_process_accepts_only_after_the_other_has_halved_and_has_all_only_while_alone() {
    for (name, looks) in [
        ("alone", &[(0, ABSENT, "-h"), (1, ABSENT, "a-"), (9_999, ABSENT, "a-")][..]),
        (
            "takes over from the other",
            &[(0, FULL, "-h"), (50, FULL, "-h"), (100, HALF, "ah"), (150, ABSENT, "ah")],
        ),
        ("the other ends", &[(0, HALF, "ah"), (50, ABSENT, "ah"), (100, ABSENT, "a-")]),
        (
            "one check misses the other",
            &[(0, HALF, "ah"), (50, ABSENT, "ah"), (100, HALF, "ah"), (150, ABSENT, "ah")],
        ),
        (
            "the other does not respond",
            &[(0, FULL, "-h"), (2_999, FULL, "-h"), (3_000, FULL, "ah"), (9_000, FULL, "ah")],
        ),
        ("both start", &[(0, HALF, "ah"), (50, HALF, "ah")]),
        (
            "the other takes over and dies",
            &[
                (0, ABSENT, "-h"),
                (1, ABSENT, "a-"),
                (500, HALF, "ah"),
                (550, ABSENT, "ah"),
                (600, ABSENT, "a-"),
            ],
        ),
    ] {
        let start = Instant::now();
        let mut pair = Pair::new(start);
        for (at, other, wanted) in looks {
            let permissions = pair.check(start + Duration::from_millis(*at), *other);
            assert_eq!(flags(permissions), *wanted, "{name} at {at}");
        }
    }
}

#[test]
fn two_processes_never_use_more_than_the_limits_of_one_host_in_any_order_of_checks() {
    // Each check reads what the other process announced after its own last check.
    for order in 0..1u32 << 12 {
        let start = Instant::now();
        let mut pairs = [Pair::new(start), Pair::new(start)];
        let mut announced = [Permissions { accept: false, halved: true }; 2];
        let mut alive = [true, false];
        for step in 0..12 {
            let index = (order >> step & 1) as usize;
            if !alive[index] {
                // The process starts: it is seen as running and has not announced the half share yet.
                alive[index] = true;
                announced[index] = Permissions { accept: false, halved: false };
                continue;
            }
            let other = 1 - index;
            let seen = PeerProcess { lives: alive[other], halved: alive[other] && announced[other].halved };
            announced[index] = pairs[index].check(start + CHECK_INTERVAL * step, seen);
            let used = |i: usize| match announced[i] {
                Permissions { accept: true, halved: false } => 2,
                Permissions { accept: true, halved: true } => 1,
                _ => 0,
            };
            assert!(used(0) + used(1) <= 2, "{order:012b} step {step}: {announced:?}");
        }
    }
}
