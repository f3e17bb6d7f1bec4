//! Tests of admission: the leader grants model servers to prompts of many edges.

#![allow(clippy::unwrap_used, clippy::expect_used, reason = "a test fails by a panic")]

mod common;

use common::model_server;
use pathbank_control::admission::AdmissionController;
use pathbank_protocol::message::{AdmissionOption, AdmissionRequest, ModelServer};
use std::collections::BTreeMap;
use test_case::test_case;

struct Scenario {
    controller: AdmissionController,
    now: u64,
    request: u64,
    urgency: u8,
}

impl Scenario {
    fn new() -> Scenario {
        Scenario { controller: AdmissionController::default(), now: 1_000, request: 0, urgency: 0 }
    }

    /// Reports model servers: each with its slots and the requests in flight there, as edges report them.
    fn report_slots(&mut self, slots: &[(&str, u32, u32)]) {
        let ready: Vec<ModelServer> =
            slots.iter().map(|(name, capacity, _)| server(name, *capacity)).collect();
        let in_flight: BTreeMap<String, u32> =
            slots.iter().map(|(name, _, in_flight)| ((*name).to_owned(), *in_flight)).collect();
        self.controller.update_slots(&ready, &in_flight);
    }

    /// Requests a grant. Each option has a model server, its prefill time and its other cost, milliseconds.
    /// Returns the granted model server and the wait, milliseconds.
    fn request_grant<'a>(&mut self, options: &[(&'a str, u32, u32)]) -> (&'a str, u32) {
        self.request += 1;
        let option = |(instance, prefill_ms, other_cost_ms): &(&str, u32, u32)| AdmissionOption {
            instance: (*instance).into(),
            prefill_ms: *prefill_ms,
            other_cost_ms: *other_cost_ms,
        };
        let request = AdmissionRequest {
            request: self.request,
            options: options.iter().map(option).collect(),
            urgency: self.urgency,
        };
        let grant = self.controller.admit(self.now, &request).unwrap();
        assert_eq!(grant.request, self.request);
        (options[grant.option as usize].0, grant.wait_ms)
    }
}

fn server(instance: &str, capacity: u32) -> ModelServer {
    ModelServer { instance: instance.into(), capacity, ..model_server(1, &[]) }
}

#[test]
fn a_free_server_in_another_zone_goes_before_a_full_one() {
    let mut scenario = Scenario::new();
    scenario.report_slots(&[("here", 12, 12), ("there", 12, 3)]);
    assert_eq!(scenario.request_grant(&[("here", 10, 0), ("there", 40, 30)]), ("there", 0));
    scenario.report_slots(&[("here", 12, 5), ("there", 12, 3)]);
    scenario.now += 1_000;
    assert_eq!(
        scenario.request_grant(&[("here", 10, 0), ("there", 40, 30)]).0,
        "here",
        "the server has a free slot again"
    );
}

#[test]
fn a_grant_occupies_a_slot_before_any_edge_reports_it() {
    // A model server has two free slots, and many edges send requests without knowing of each other.
    let mut scenario = Scenario::new();
    scenario.report_slots(&[("near", 12, 10), ("far", 12, 0)]);
    let near = (0..6).filter(|_| {
        scenario.now += 60;
        scenario.request_grant(&[("near", 1, 0), ("far", 1, 90)]).0 == "near"
    });
    // The server is not granted more often than it has free slots, although no edge reports in between.
    assert_eq!(near.count(), 2);
}

#[test_case(0, "full but for one"; "the most urgent request takes the last slot")]
#[test_case(20, "far"; "the least urgent request leaves the last slot to others")]
fn the_last_slots_are_reserved_for_urgent_requests(urgency: u8, chosen: &str) {
    let mut scenario = Scenario { urgency, ..Scenario::new() };
    scenario.report_slots(&[("full but for one", 12, 11), ("far", 12, 0)]);
    assert_eq!(scenario.request_grant(&[("full but for one", 10, 0), ("far", 10, 50)]).0, chosen);
}

#[test]
fn most_slots_are_open_to_every_urgency() {
    let mut scenario = Scenario { urgency: 255, ..Scenario::new() };
    scenario.report_slots(&[("a", 12, 8), ("far", 12, 0)]);
    assert_eq!(scenario.request_grant(&[("a", 10, 0), ("far", 10, 50)]), ("a", 0));
}

#[test]
fn a_removed_server_loses_its_slots() {
    let mut scenario = Scenario::new();
    let options = [("a", 10, 0), ("far", 10, 50)];
    scenario.report_slots(&[("a", 2, 2), ("far", 2, 0)]);
    assert_eq!(scenario.request_grant(&options).0, "far");
    scenario.now += 5_000;
    scenario.report_slots(&[]);
    assert_eq!(scenario.request_grant(&options).0, "a", "the slots of both servers are unknown");
}

#[test]
fn a_single_prompt_does_not_wait() {
    let mut scenario = Scenario::new();
    assert_eq!(scenario.request_grant(&[("a", 80, 0)]), ("a", 0));
    scenario.now += 1_000;
    assert_eq!(scenario.request_grant(&[("a", 80, 0)]), ("a", 0), "the previous prompt is prefilled by then");
}

#[test]
fn prompts_for_one_server_are_queued_with_pauses_for_its_streams() {
    let mut scenario = Scenario::new();
    let waits: Vec<u32> = (0..3).map(|_| scenario.request_grant(&[("a", 80, 0)]).1).collect();
    assert_eq!(waits[0], 0);
    assert!(waits[1] > 80 && waits[2] >= 2 * waits[1], "{waits:?}");
}

#[test]
fn prompts_are_spread_over_the_replicas_of_the_model() {
    let mut scenario = Scenario::new();
    let options = [("a", 80, 0), ("b", 80, 5), ("c", 80, 10)];
    let chosen: Vec<&str> = (0..3).map(|_| scenario.request_grant(&options).0).collect();
    assert_eq!(chosen, ["a", "b", "c"]);
}

#[test]
fn a_prefix_cache_hit_goes_before_a_shorter_queue() {
    let mut scenario = Scenario::new();
    scenario.request_grant(&[("kept", 40, 0)]);
    let (server, wait) = scenario.request_grant(&[("kept", 5, 0), ("other", 200, 0)]);
    assert_eq!(server, "kept");
    assert!(wait > 0);
}

#[test]
fn the_wait_is_bounded() {
    let mut scenario = Scenario::new();
    let longest = (0..200).map(|_| scenario.request_grant(&[("a", 500, 0)]).1).max();
    assert!(longest.is_some_and(|longest| longest <= 1_500));
}

#[test]
fn a_request_without_options_gets_no_grant() {
    let mut controller = AdmissionController::default();
    assert_eq!(controller.admit(1, &AdmissionRequest::default()), None);
}

#[test]
fn empty_queues_expire_and_others_do_not() {
    let mut scenario = Scenario::new();
    (0..8).for_each(|_| {
        scenario.request_grant(&[("a", 500, 0)]);
    });
    scenario.controller.expire(scenario.now);
    assert!(scenario.request_grant(&[("a", 500, 0)]).1 > 0);
    scenario.now += 60_000;
    scenario.controller.expire(scenario.now);
    assert_eq!(scenario.request_grant(&[("a", 80, 0)]).1, 0);
}
