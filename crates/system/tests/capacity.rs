//! Fits on known curves, and the capacity page against the recorded runs.

#![allow(clippy::unwrap_used, clippy::expect_used, reason = "a test fails by a panic")]

use pathbank_system::rehearsal::fit::Line;
use pathbank_system::rehearsal::page::{read_runs, tables, with_tables};
use pathbank_system::rehearsal::plot::draw;
use pathbank_system::rehearsal::scale::ScaleRun;
use std::path::Path;
use std::process::Command;
use test_case::test_case;

fn points(curve: impl Fn(f64) -> f64) -> Vec<(f64, f64)> {
    [10.0, 20.0, 40.0, 80.0, 160.0].map(|size| (size, curve(size))).to_vec()
}

#[test_case(0.0, 1.0; "through the origin")]
#[test_case(5.0, 0.25; "with a base")]
#[test_case(7.0, 0.0; "flat")]
#[test_case(9.0, -0.01; "falling")]
fn a_line_is_found_again(base: f64, slope: f64) {
    let line = Line::through(&points(|size| base + slope * size)).unwrap();
    assert!((line.base - base).abs() < 1e-9 && (line.slope - slope).abs() < 1e-9 && line.residual < 1e-9);
    assert!(line.fits() && (line.at(1_000.0) - base - slope * 1_000.0).abs() < 1e-6);
}

#[test]
fn what_is_no_line_is_said_not_to_fit() {
    let jagged = [(10.0, 1.0), (20.0, 9.0), (40.0, 1.0), (80.0, 9.0), (160.0, 1.0)];
    assert!(!Line::through(&jagged).unwrap().fits());
}

#[test]
fn three_sizes_are_too_few_however_often_they_were_measured() {
    assert_eq!(Line::through(&[(1.0, 1.0), (1.0, 1.1), (2.0, 2.0), (3.0, 3.0)]), None);
}

#[test]
fn the_page_agrees_with_the_recorded_runs() {
    let root = Path::new(env!("CARGO_MANIFEST_DIR")).join("../..");
    let runs = read_runs(&root.join("docs/capacity")).unwrap();
    assert!(runs.len() >= 4, "four sizes at least");
    let page = std::fs::read_to_string(root.join("docs/CAPACITY.md")).unwrap();
    assert_eq!(with_tables(&page, &tables(&runs)).as_deref(), Some(page.as_str()));
}

#[test]
fn a_plot_has_a_dot_for_each_size_and_a_line_only_where_one_fits() {
    let folder = std::env::temp_dir().join(format!("pathbank-plots-{}", std::process::id()));
    std::fs::create_dir_all(&folder).unwrap();
    let draw = |name: &str, points: &[(f64, f64)]| {
        let path = folder.join(name);
        draw(&path, "a figure", points).unwrap();
        std::fs::read_to_string(path).unwrap()
    };
    let straight = draw("straight.svg", &points(|size| 3.0 + 2.0 * size));
    let jagged = draw("jagged.svg", &[(10.0, 1.0), (20.0, 9.0), (40.0, 1.0), (80.0, 9.0), (160.0, 1.0)]);
    let _ = std::fs::remove_dir_all(&folder);
    let lines = |text: &str| text.matches("#FF0000").count();
    assert_eq!((straight.matches("<circle").count(), jagged.matches("<circle").count()), (5, 5));
    assert!(lines(&straight) > 0);
    assert_eq!(lines(&jagged), 0);
}

#[test]
fn a_small_rehearsal_plays_all_its_parts() {
    let arguments = [
        "rehearse",
        "--edges",
        "5",
        "--bricks",
        "6",
        "--models",
        "20",
        "--cores",
        "3",
        "--seconds",
        "1",
        "--changes",
        "2",
        "--cut-seconds",
        "1",
        "--restart-seconds",
        "1",
        "--day-changes",
        "5",
    ];
    let output = Command::new(env!("CARGO_BIN_EXE_pathbank-system")).args(arguments).output().unwrap();
    assert!(output.status.success(), "{}", String::from_utf8_lossy(&output.stderr));
    let run: ScaleRun = serde_json::from_slice(&output.stdout).unwrap();
    assert_eq!((run.edges, run.servers, run.models, run.cores), (5, 6, 20, 3));
    let measured = [
        run.settled_ms,
        run.edge_in_bytes_s,
        run.heartbeats_s,
        run.change_most_ms,
        run.region_back_ms,
        run.region_back_bytes,
        run.restart_most_ms,
        run.day_changes_s,
        run.leader_lost_ms,
    ];
    assert!(measured.iter().all(|figure| *figure > 0.0), "{measured:?}");
}
