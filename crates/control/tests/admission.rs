//! Prompts of many heads, lined up before model servers.

use pathbank_control::admission::AdmissionController;
use pathbank_protocol::message::{AdmissionOption, AdmissionRequest, ModelServer, ModelServerState};
use std::collections::BTreeMap;
use test_case::test_case;

struct Story {
    controller: AdmissionController,
    now: u64,
    request: u64,
    urgency: u8,
}

impl Story {
    fn given() -> Story {
        Story { controller: AdmissionController::default(), now: 1_000, request: 0, urgency: 0 }
    }

    /// Model servers with so many slots, and the requests there by what edges told.
    fn told_slots(&mut self, slots: &[(&str, u32, u32)]) {
        let ready: Vec<ModelServer> =
            slots.iter().map(|(name, capacity, _)| server(name, *capacity)).collect();
        let in_flight: BTreeMap<String, u32> =
            slots.iter().map(|(name, _, in_flight)| ((*name).to_owned(), *in_flight)).collect();
        self.controller.update_slots(&ready, &in_flight);
    }

    /// Asks with options of model server, time to read, and what else speaks against it. Returns the model
    /// server and the wait.
    fn asked<'a>(&mut self, options: &[(&'a str, u32, u32)]) -> (&'a str, u32) {
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
    ModelServer {
        instance: instance.into(),
        backend: "llm".into(),
        address: "10.0.0.1:80".into(),
        zone: "z".into(),
        version: "v1".into(),
        capacity,
        state: ModelServerState::Ready,
        cold_remaining_ms: 0,
        remaining_ms: 0,
        models: Vec::new(),
        sequence: 1,
        busy: false,
    }
}

#[test]
fn a_server_in_another_zone_with_room_is_taken_before_a_full_one() {
    let mut story = Story::given();
    story.told_slots(&[("here", 12, 12), ("there", 12, 3)]);
    assert_eq!(story.asked(&[("here", 10, 0), ("there", 40, 30)]), ("there", 0));
    story.told_slots(&[("here", 12, 5), ("there", 12, 3)]);
    story.now += 1_000;
    assert_eq!(story.asked(&[("here", 10, 0), ("there", 40, 30)]).0, "here", "it has room again");
}

#[test]
fn what_was_granted_counts_before_any_edge_tells_of_it() {
    // Given a model server with two free slots, and many heads that do not know of each other.
    let mut story = Story::given();
    story.told_slots(&[("near", 12, 10), ("far", 12, 0)]);
    let near = (0..6).filter(|_| {
        story.now += 60;
        story.asked(&[("near", 1, 0), ("far", 1, 90)]).0 == "near"
    });
    // Then it is not granted beyond its slots, although no edge has told anything since.
    assert_eq!(near.count(), 2);
}

#[test_case(0, "full but for one"; "the most urgent one takes the last slot")]
#[test_case(20, "far"; "the least urgent one leaves it to others")]
fn the_last_slots_are_kept_for_what_is_urgent(urgency: u8, chosen: &str) {
    let mut story = Story { urgency, ..Story::given() };
    story.told_slots(&[("full but for one", 12, 11), ("far", 12, 0)]);
    assert_eq!(story.asked(&[("full but for one", 10, 0), ("far", 10, 50)]).0, chosen);
}

#[test]
fn most_slots_are_open_to_all() {
    let mut story = Story { urgency: 255, ..Story::given() };
    story.told_slots(&[("a", 12, 8), ("far", 12, 0)]);
    assert_eq!(story.asked(&[("a", 10, 0), ("far", 10, 50)]), ("a", 0));
}

#[test]
fn a_server_that_leaves_is_forgotten_with_its_slots() {
    let mut story = Story::given();
    let options = [("a", 10, 0), ("far", 10, 50)];
    story.told_slots(&[("a", 2, 2), ("far", 2, 0)]);
    assert_eq!(story.asked(&options).0, "far");
    story.now += 5_000;
    story.told_slots(&[]);
    assert_eq!(story.asked(&options).0, "a", "nothing is known of either");
}

#[test]
fn a_prompt_alone_goes_at_once() {
    let mut story = Story::given();
    assert_eq!(story.asked(&[("a", 80, 0)]), ("a", 0));
    story.now += 1_000;
    assert_eq!(story.asked(&[("a", 80, 0)]), ("a", 0), "the one before is read");
}

#[test]
fn prompts_for_one_server_come_one_after_the_other_with_room_for_its_streams() {
    let mut story = Story::given();
    let waits: Vec<u32> = (0..3).map(|_| story.asked(&[("a", 80, 0)]).1).collect();
    assert_eq!(waits[0], 0);
    assert!(waits[1] > 80 && waits[2] >= 2 * waits[1], "{waits:?}");
}

#[test]
fn prompts_are_spread_over_the_servers_that_hold_the_model() {
    let mut story = Story::given();
    let options = [("a", 80, 0), ("b", 80, 5), ("c", 80, 10)];
    let chosen: Vec<&str> = (0..3).map(|_| story.asked(&options).0).collect();
    assert_eq!(chosen, ["a", "b", "c"]);
}

#[test]
fn a_server_that_has_read_most_of_the_prompt_is_worth_a_wait() {
    let mut story = Story::given();
    story.asked(&[("kept", 40, 0)]);
    let (server, wait) = story.asked(&[("kept", 5, 0), ("other", 200, 0)]);
    assert_eq!(server, "kept");
    assert!(wait > 0);
}

#[test]
fn no_prompt_waits_for_ever() {
    let mut story = Story::given();
    let longest = (0..200).map(|_| story.asked(&[("a", 500, 0)]).1).max();
    assert!(longest.is_some_and(|longest| longest <= 1_500));
}

#[test]
fn a_request_without_options_gets_no_grant() {
    let mut controller = AdmissionController::default();
    assert_eq!(controller.admit(1, &AdmissionRequest::default()), None);
}

#[test]
fn lines_that_are_long_empty_are_forgotten_and_others_are_not() {
    let mut story = Story::given();
    (0..8).for_each(|_| {
        story.asked(&[("a", 500, 0)]);
    });
    story.controller.expire(story.now);
    assert!(story.asked(&[("a", 500, 0)]).1 > 0);
    story.now += 60_000;
    story.controller.expire(story.now);
    assert_eq!(story.asked(&[("a", 80, 0)]).1, 0);
}
