use super::*;

const MS: Duration = Duration::from_millis(1);

/// up, accept, last, close, ends
fn flags(phase: Phase) -> [bool; 5] {
    [phase.up, phase.accept, phase.last, phase.close, phase.ends]
}

fn word(flags: [bool; 5]) -> String {
    let letter = |(on, letter): (bool, char)| if on { letter } else { '-' };
    flags.into_iter().zip("ualce".chars()).map(letter).collect()
}

#[test]
fn every_call_in_every_state_brings_its_phases() {
    // Calls and looks by the millisecond; D drain, U undrain, T SIGTERM, S SIGTERM with the socket shared.
    for (name, steps) in [
        ("a drain", &[(0, "D", "-a---"), (499, "", "-a---"), (500, "", "-al--"), (1_700, "", "-alc-")][..]),
        ("stays drained", &[(0, "D", "-a---"), (60_000, "", "-alc-")]),
        ("back at once", &[(0, "D", "-a---"), (1, "U", "ua---"), (9_000, "", "ua---")]),
        ("back half way", &[(0, "D", "-a---"), (1_000, "U", "ua---")]),
        ("twice", &[(0, "D", "-a---"), (400, "D", "-a---"), (500, "", "-al--")]),
        ("again", &[(0, "D", "-a---"), (2_000, "U", "ua---"), (2_001, "D", "-a---"), (2_400, "", "-a---")]),
        ("without a drain", &[(0, "U", "ua---")]),
        ("the end", &[(0, "T", "ua--e"), (600, "", "u---e"), (3_249, "", "u---e"), (3_250, "", "u-lce")]),
        ("the end twice", &[(0, "T", "ua--e"), (600, "T", "u---e"), (3_250, "T", "u-lce")]),
        ("the end in a drain", &[(0, "D", "-a---"), (600, "T", "ua--e"), (1_200, "", "u---e")]),
        ("no way back", &[(0, "T", "ua--e"), (1, "U!", "ua--e"), (2, "D!", "ua--e")]),
        ("a shared end", &[(0, "S", "--lce"), (3_250, "", "--lce")]),
    ] {
        let (start, mut life) = (Instant::now(), Life::new(Duration::from_secs(5)));
        for (at, call, wanted) in steps {
            let now = start + *at * MS;
            let done = match call.trim_end_matches('!') {
                "D" => life.drain(now),
                "U" => life.undrain(),
                "T" | "S" => {
                    life.end(now, *call == "S");
                    Ok(())
                }
                _ => Ok(()),
            };
            assert_eq!(done.is_err(), call.ends_with('!'), "{name} at {at}");
            assert_eq!(word(flags(life.phase(now))), *wanted, "{name} at {at}");
        }
    }
}

#[test]
fn each_change_is_announced_and_nothing_else() {
    for call in ["D", "T", "S"] {
        let (start, mut life) = (Instant::now(), Life::new(Duration::from_secs(1)));
        match call {
            "D" => life.drain(start).unwrap(),
            _ => life.end(start, call == "S"),
        }
        let (mut now, mut seen) = (start, life.phase(start));
        while let Some(next) = life.next_change(now) {
            assert!(next > now);
            assert_eq!(life.phase(next - MS / 1000), seen, "{call}: nothing changes unannounced");
            (now, seen) = (next, life.phase(next));
        }
        assert_eq!(life.phase(now + Duration::from_secs(60)), seen, "{call}");
    }
}

#[test]
fn four_seconds_after_a_drain_nothing_of_the_last_two_can_be_there() {
    assert!(EMPTY < Duration::from_secs(2));
    let (start, mut life) = (Instant::now(), Life::new(Duration::from_secs(5)));
    life.drain(start).unwrap();
    assert!(life.phase(start + Duration::from_secs(2)).close);
    assert_eq!(life.last(), None, "what was taken before is not cut off");
}
