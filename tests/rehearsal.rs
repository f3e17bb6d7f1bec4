//! The rehearsal's cases against the built daemon, and the kit's own verdicts.

#![allow(clippy::unwrap_used, clippy::expect_used, reason = "a test fails by a panic")]

use pathbank::rehearsal::cases::all;
use pathbank::rehearsal::stage::{Site, play_in};
use std::path::Path;
use std::process::Command;

fn play(name: &str) {
    let case = all().find(|case| case.name == name).unwrap();
    for site in Site::ALL {
        play_in(site);
        let played = (case.play)(Path::new(env!("CARGO_BIN_EXE_pathbank")));
        played.unwrap_or_else(|failure| panic!("{name}, {site:?}: {failure}"));
    }
}

macro_rules! cases {
    ($($test:ident $name:literal)*) => {
        $(#[test] fn $test() { play($name) })*

        #[test]
        fn every_case_is_a_test_here() {
            assert_eq!(all().map(|case| case.name).collect::<Vec<_>>(), [$($name),*]);
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
    grpc_calls_of_all_shapes_pass "grpc-shapes"
    what_is_no_grpc_call_is_answered_at_once "grpc-refused-early"
    a_cut_grpc_stream_fails_once "grpc-cut-stream"
    a_grpc_deadline_holds_during_a_pause "grpc-deadline"
    a_goaway_costs_no_call "grpc-goaway"
    odd_grpc_answers_have_one_status "grpc-odd-answers"
    grpc_calls_are_repeated_by_their_class "grpc-repeats"
    a_cancelled_grpc_call_frees_what_it_held "grpc-cancel"
    an_outgrown_grpc_call_goes_nowhere_else "grpc-outgrown"
    a_node_with_fewer_streams_gets_no_more "grpc-fewer-streams"
    a_stalled_grpc_stream_holds_up_no_neighbour "grpc-stalled"
    a_rude_grpc_client_costs_itself "grpc-rude"
    a_silent_channel_is_given_up "grpc-silent-node"
    a_draining_node_keeps_its_grpc_streams "grpc-drain"
    sigterm_finishes_grpc_calls "grpc-leave"
    random_faults_break_no_rule_of_grpc "grpc-random"
    requests_are_told_with_their_attempts "syslog-requests"
    odd_names_are_escaped_and_cut "syslog-odd-names"
    each_transport_reaches_a_strict_collector "syslog-transports"
    a_wrong_certificate_is_refused "syslog-tls-refused"
    the_next_collector_takes_over_and_hands_back "syslog-failover"
    a_frozen_collector_harms_nobody "syslog-frozen"
    a_collector_of_single_frames_gets_all "syslog-one-frame"
    what_is_dropped_is_told_to_the_line "syslog-dropped"
    spooled_lines_outlive_a_kill "syslog-spool"
    an_unread_standard_error_stops_nothing "syslog-stderr"
    a_reload_of_certificates_loses_no_line "syslog-reload"
    operators_are_answered_whoever_else_calls "ops-line"
    a_mixed_run_adds_up "figures"
    a_drain_empties_the_head_and_comes_back "drain"
    sigterm_in_a_drain_ends_the_head "drain-then-end"
    classes_change_and_what_is_open_keeps_its_rules "reload-classes"
    an_upgrade_loses_nothing_and_keeps_one_limit "upgrade"
    an_id_is_taken_once_by_both_processes_of_an_upgrade "upgrade-ids"
    a_new_process_that_dies_harms_nobody "upgrade-cut-off"
    long_bodies_pass_whole_or_visibly_not "long-bodies"
    slow_uploads_cost_no_token_and_no_close "slow-bodies"
    every_form_of_http_is_served_refused_or_closed "http-forms"
    heads_without_their_list_give_leaving_nodes_no_work "leaving"
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
    assert!(String::from_utf8_lossy(&output.stdout).contains("0 passed, 2 failed"));
}
