//! The rehearsal's cases against the built daemon, and the kit's own verdicts.

use pathbank::rehearsal::cases::CASES;
use std::path::Path;
use std::process::Command;

fn play(name: &str) {
    let case = CASES.iter().find(|case| case.name == name).unwrap();
    (case.play)(Path::new(env!("CARGO_BIN_EXE_pathbank"))).unwrap();
}

macro_rules! cases {
    ($($test:ident $name:literal)*) => {
        $(#[test] fn $test() { play($name) })*

        #[test]
        fn every_case_is_a_test_here() {
            assert_eq!(CASES.iter().map(|case| case.name).collect::<Vec<_>>(), [$($name),*]);
        }
    };
}

cases! {
    a_long_file_goes_up_and_comes_back "whole-path"
    a_long_file_outlives_a_drain "drain-halfway"
    a_client_that_leaves_frees_what_it_held "client-gone"
    malformed_packets_harm_nobody "malformed"
    a_silent_node_means_one_answer_in_time "one-answer"
    nothing_forbidden_is_repeated "no-repeat"
    a_dead_node_means_a_harmless_refusal "unreachable"
    pipelined_commands_are_answered_once_each "pipelined"
    log_lines_reach_a_syslog_receiver "syslog"
}

#[test]
fn the_kit_exits_with_its_verdict() {
    let kit = env!("CARGO_BIN_EXE_pathbank-rehearse");
    let run = |program: &Path, name: &str| Command::new(program).arg(name).output().unwrap();
    assert_eq!(run(Path::new(kit), "syslog").status.code(), Some(0));
    assert_eq!(run(Path::new(kit), "no-such-case").status.code(), Some(2));
    // A copy with no daemon beside it: the case cannot pass.
    let folder = std::env::temp_dir().join(format!("pathbank-kit-{}", std::process::id()));
    std::fs::create_dir_all(&folder).unwrap();
    let alone = folder.join("pathbank-rehearse");
    std::fs::copy(kit, &alone).unwrap();
    let output = run(&alone, "syslog");
    std::fs::remove_dir_all(&folder).unwrap();
    assert_eq!(output.status.code(), Some(1));
    assert!(String::from_utf8_lossy(&output.stdout).contains("0 passed, 1 failed"));
}
