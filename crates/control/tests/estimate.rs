//! Tests of running estimates.

#![allow(clippy::unwrap_used, clippy::expect_used, reason = "a test fails by a panic")]

use pathbank_control::estimate::{Estimate, EstimateTable, Prior};
use test_case::test_case;

const PRIOR: Prior = Prior { initial: 16.0, min: 1.0, max: 200.0 };
const INTERVAL_MS: u64 = 500;

fn record_samples(estimate: &mut Estimate, from: u64, samples: &[f64]) -> u64 {
    let mut now = from;
    for sample in samples {
        now += INTERVAL_MS;
        estimate.record(now, PRIOR, *sample);
    }
    now
}

fn is_near(value: f64, expected: f64) -> bool {
    (value / expected).ln().abs() < 1.15_f64.ln()
}

#[test]
fn an_estimate_without_samples_is_the_prior() {
    let value = Estimate::default().value(1_000, PRIOR);
    assert!((value - 16.0).abs() < 1e-9, "{value}");
}

#[test]
fn an_estimate_follows_a_drift() {
    let mut estimate = Estimate::default();
    let samples: Vec<f64> = (0..200).map(|number| 20.0 + 0.1 * f64::from(number)).collect();
    let now = record_samples(&mut estimate, 0, &samples);
    assert!(is_near(estimate.value(now, PRIOR), 40.0), "{}", estimate.value(now, PRIOR));
}

#[test_case(10.0, 40.0; "to a faster model server")]
#[test_case(40.0, 10.0; "to a slower model server")]
fn a_step_change_is_followed_within_a_few_samples(before: f64, after: f64) {
    let mut estimate = Estimate::default();
    let now = record_samples(&mut estimate, 0, &[before; 30]);
    let now = record_samples(&mut estimate, now, &[after; 6]);
    assert!((estimate.value(now, PRIOR) / after).ln().abs() < 1.4_f64.ln(), "{}", estimate.value(now, PRIOR));
}

#[test]
fn one_outlier_changes_an_estimate_little() {
    let mut estimate = Estimate::default();
    let now = record_samples(&mut estimate, 0, &[20.0; 30]);
    let before = estimate.value(now, PRIOR);
    let now = record_samples(&mut estimate, now, &[190.0]);
    assert!(is_near(estimate.value(now, PRIOR), before));
}

#[test]
fn an_estimate_without_new_samples_returns_to_the_prior() {
    let mut estimate = Estimate::default();
    let now = record_samples(&mut estimate, 0, &[100.0; 30]);
    let later = estimate.value(now + 600_000, PRIOR);
    assert!(is_near(later, 16.0), "{later}");
}

#[test_case(1e12; "above the maximum")]
#[test_case(f64::INFINITY; "infinite")]
#[test_case(f64::NAN; "not a number")]
#[test_case(0.0; "zero")]
#[test_case(-5.0; "negative")]
fn samples_out_of_range_stay_within_the_bounds(sample: f64) {
    let mut estimate = Estimate::default();
    let now = record_samples(&mut estimate, 0, &[sample; 50]);
    let value = estimate.value(now, PRIOR);
    assert!((PRIOR.min..=PRIOR.max).contains(&value), "{value}");
}

#[test]
fn a_key_with_few_samples_is_near_the_pooled_estimate() {
    let mut table: EstimateTable<String> = EstimateTable::new(PRIOR);
    for number in 0..20 {
        table.record(number * INTERVAL_MS, &format!("i-{number}"), 60.0);
    }
    let now = 20 * INTERVAL_MS;
    assert!(is_near(table.value(now, "i-new"), 60.0), "{}", table.value(now, "i-new"));
    (0..10).for_each(|number| table.record(now + number * INTERVAL_MS, &"i-slow".to_owned(), 20.0));
    assert!(is_near(table.value(now + 10 * INTERVAL_MS, "i-slow"), 20.0));
    let halfway = (20.0_f64 * 60.0).sqrt();
    assert!(
        table.value(now + 10 * INTERVAL_MS, "i-3") > halfway,
        "the estimates of other keys have not changed"
    );
}

#[test]
fn keys_without_new_samples_expire() {
    let mut table: EstimateTable<String> = EstimateTable::new(PRIOR);
    table.record(0, &"i-1".to_owned(), 60.0);
    table.expire(1_000);
    assert_eq!(table.iter(1_000).count(), 1);
    table.expire(600_000);
    assert_eq!(table.iter(600_000).count(), 0);
}
