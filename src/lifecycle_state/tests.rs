use super::*;

const MS: Duration = Duration::from_millis(1);

/// Returns `up`, `accept`, `close_after_answer`, `close` and `ends`.
fn flags(phase: Phase) -> [bool; 5] {
    [phase.up, phase.accept, phase.close_after_answer, phase.close, phase.ends]
}

/// Formats each set flag as its letter of `ualce`.
fn letters(flags: [bool; 5]) -> String {
    let letter = |(on, letter): (bool, char)| if on { letter } else { '-' };
    flags.into_iter().zip("ualce".chars()).map(letter).collect()
}

#[test]
fn each_call_in_each_state_leads_to_the_expected_phases() {
    // Calls and checks by the millisecond; D drain, U undrain, T SIGTERM, S SIGTERM with a shared socket, !
    // an error.
    for (name, steps) in [
        ("a drain", &[(0, "D", "-a---"), (499, "", "-a---"), (500, "", "-al--"), (1_700, "", "-alc-")][..]),
        ("stays drained", &[(0, "D", "-a---"), (60_000, "", "-alc-")]),
        ("drain ended at once", &[(0, "D", "-a---"), (1, "U", "ua---"), (9_000, "", "ua---")]),
        ("drain ended half way", &[(0, "D", "-a---"), (1_000, "U", "ua---")]),
        ("drain called twice", &[(0, "D", "-a---"), (400, "D", "-a---"), (500, "", "-al--")]),
        (
            "second drain",
            &[(0, "D", "-a---"), (2_000, "U", "ua---"), (2_001, "D", "-a---"), (2_400, "", "-a---")],
        ),
        ("undrain without a drain", &[(0, "U", "ua---")]),
        ("stop", &[(0, "T", "ua--e"), (600, "", "u---e"), (3_249, "", "u---e"), (3_250, "", "u-lce")]),
        ("stop called twice", &[(0, "T", "ua--e"), (600, "T", "u---e"), (3_250, "T", "u-lce")]),
        ("stop during a drain", &[(0, "D", "-a---"), (600, "T", "ua--e"), (1_200, "", "u---e")]),
        ("a stop cannot be undone", &[(0, "T", "ua--e"), (1, "U!", "ua--e"), (2, "D!", "ua--e")]),
        ("stop with a shared socket", &[(0, "S", "--lce"), (3_250, "", "--lce")]),
    ] {
        let (start, mut state) = (Instant::now(), LifecycleState::new(Duration::from_secs(5)));
        for (at, call, wanted) in steps {
            let now = start + *at * MS;
            let done = match call.trim_end_matches('!') {
                "D" => state.drain(now),
                "U" => state.undrain(),
                "T" | "S" => {
                    state.end(now, *call == "S");
                    Ok(())
                }
                _ => Ok(()),
            };
            assert_eq!(done.is_err(), call.ends_with('!'), "{name} at {at}");
            assert_eq!(letters(flags(state.phase(now))), *wanted, "{name} at {at}");
        }
    }
}

#[test]
fn next_change_announces_each_change_of_the_phase() {
    for call in ["D", "T", "S"] {
        let (start, mut state) = (Instant::now(), LifecycleState::new(Duration::from_secs(1)));
        match call {
            "D" => state.drain(start).unwrap(),
            _ => state.end(start, call == "S"),
        }
        let (mut now, mut seen) = (start, state.phase(start));
        while let Some(next) = state.next_change(now) {
            assert!(next > now);
            assert_eq!(
                state.phase(next - MS / 1000),
                seen,
                "{call}: the phase changed before the announced time"
            );
            (now, seen) = (next, state.phase(next));
        }
        assert_eq!(state.phase(now + Duration::from_secs(60)), seen, "{call}");
    }
}

#[test]
fn a_drain_closes_idle_connections_within_two_seconds() {
    assert!(CLOSE_IDLE_AFTER < Duration::from_secs(2));
    let (start, mut state) = (Instant::now(), LifecycleState::new(Duration::from_secs(5)));
    state.drain(start).unwrap();
    assert!(state.phase(start + Duration::from_secs(2)).close);
    assert_eq!(state.final_answers_at(), None, "a drain sets no time at which open requests fail");
}
