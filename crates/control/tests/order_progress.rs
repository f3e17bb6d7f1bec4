//! Tests of the progress of orders, by the reports of model servers.

#![allow(clippy::unwrap_used, clippy::expect_used, reason = "a test fails by a panic")]

use pathbank_control::order::OrderKind;
use pathbank_control::order::{Operation, Order};
use pathbank_control::order_durations::{OrderDurations, duration_at_first_check};
use pathbank_control::order_progress::{
    ModelServerContents, Progress, contents_after, is_satisfied, progress,
};
use pathbank_protocol::message::LoadedModel;
use test_case::test_case;

fn order(operation: Operation, model: &str, adapter: &str) -> Order {
    Order {
        backend: "llm".into(),
        instance: "i-1".into(),
        address: "10.0.0.1:80".into(),
        operation,
        model: model.into(),
        adapter: adapter.into(),
        kind: OrderKind::Unload,
        configured_ms: 0,
        expected_ms: 10,
        report_only: false,
    }
}

fn contents(sequence: u64, models: &[(&str, &[&str])], busy: bool) -> ModelServerContents {
    let loaded = |(name, adapters): &(&str, &[&str])| LoadedModel {
        name: (*name).into(),
        version: 1,
        adapters: adapters.iter().map(|adapter| (*adapter).into()).collect(),
    };
    ModelServerContents { models: models.iter().map(loaded).collect(), sequence, busy }
}

/// A report from before an order, 0.2 s old, showed no order in progress and the model still loaded. The
/// leader took it for the end of the order and published the model to all edges again, which then sent
/// requests to a model server that had unloaded the model.
#[test]
fn a_report_older_than_the_order_is_stale() {
    let unload = order(Operation::Unload, "a", "");
    assert_eq!(progress(&unload, 4, &contents(4, &[("a", &[])], false)), Progress::Stale);
    assert_eq!(progress(&unload, 4, &contents(5, &[("a", &[])], true)), Progress::InProgress);
    assert_eq!(progress(&unload, 4, &contents(5, &[], false)), Progress::Done);
    assert_eq!(progress(&unload, 4, &contents(6, &[("a", &[])], false)), Progress::Failed);
}

#[test_case(Operation::Load, "b", "", &[("a", &["a1"]), ("b", &[])]; "a model is loaded")]
#[test_case(Operation::Load, "a", "a2", &[("a", &["a1", "a2"])]; "an adapter is loaded")]
#[test_case(Operation::Unload, "a", "a1", &[("a", &[])]; "an adapter is unloaded")]
#[test_case(Operation::Unload, "a", "", &[]; "a model is unloaded with its adapters")]
#[test_case(Operation::Load, "a", "a1", &[("a", &["a1"])]; "the adapter was loaded before")]
fn contents_after_a_completed_order(
    operation: Operation,
    model: &str,
    adapter: &str,
    expected: &[(&str, &[&str])],
) {
    let order = order(operation, model, adapter);
    let done = contents_after(&order, contents(4, &[("a", &["a1"])], true), 1);
    assert_eq!(done, contents(5, expected, false));
    assert!(is_satisfied(&order, &done.models));
}

#[test]
fn durations_are_estimated_from_completed_orders() {
    let mut times = OrderDurations::default();
    let before = times.expected(0, OrderKind::Fetch, 4_000);
    assert!((4_000..=4_400).contains(&before), "the duration by the configuration: {before}");
    (0..10).for_each(|number| times.record(number * 5_000, OrderKind::Fetch, 4_000, 8_000));
    let learned = times.expected(50_000, OrderKind::Fetch, 2_000);
    assert!((3_400..=4_400).contains(&learned), "twice the duration by the configuration: {learned}");
    assert!(times.expected(50_000, OrderKind::Adapter, 0) < 100, "estimates of other kinds have not changed");
}

#[test]
fn an_order_done_at_the_first_check_is_checked_earlier_next_time() {
    let mut times = OrderDurations::default();
    for number in 0..60 {
        let first_check = times.expected(number * 100, OrderKind::Adapter, 0);
        // The order takes 12 ms. If the first check comes earlier, the order is checked again 15 ms later.
        let took = if first_check >= 12 { duration_at_first_check(first_check) } else { first_check + 15 };
        times.record(number * 100, OrderKind::Adapter, 0, took);
    }
    let settled = times.expected(6_000, OrderKind::Adapter, 0);
    assert!((8..=22).contains(&settled), "{settled}");
}
