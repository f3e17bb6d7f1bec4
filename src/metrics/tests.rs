use super::*;

fn names(names: &[&str]) -> Vec<String> {
    names.iter().map(std::string::ToString::to_string).collect()
}

#[test]
fn each_metric_has_its_line_and_its_count() {
    let metrics = Metrics::default();
    metrics.name_classes(&names(&["read", "write"]));
    for (class, what) in [
        (0, Count::Passed),
        (0, Count::Passed),
        (1, Count::Dropped),
        (0, Count::BadGateway),
        (1, Count::Tries),
    ] {
        metrics.count(class, what);
    }
    metrics.count(7, Count::Passed);
    metrics.set_storage_nodes(9, 2);
    metrics.loaded(true);
    metrics.loaded(false);
    metrics.loaded(false);
    metrics.count_silence();
    metrics.set_list_state(None);
    metrics.set_list_state(Some(700));
    metrics.set_list_state(None);
    let open = metrics.track_open();
    let wanted = "edge_gw_handled{category=\"read\",outcome=\"passed\"} 2\n\
        edge_gw_handled{category=\"read\",outcome=\"dropped\"} 0\n\
        edge_gw_handled{category=\"read\",outcome=\"bad_gateway\"} 1\n\
        edge_gw_upstream_tries{category=\"read\"} 0\n\
        edge_gw_handled{category=\"write\",outcome=\"passed\"} 0\n\
        edge_gw_handled{category=\"write\",outcome=\"dropped\"} 1\n\
        edge_gw_handled{category=\"write\",outcome=\"bad_gateway\"} 0\n\
        edge_gw_upstream_tries{category=\"write\"} 1\n\
        edge_gw_in_progress 1\nedge_gw_known_bricks 9\nedge_gw_skipped_bricks 2\n\
        edge_gw_loads 1\nedge_gw_load_errors 2\n\
        edge_gw_list_silences 1\nedge_gw_list_overdue 1\nedge_gw_list_overdue_ms 700\n";
    assert_eq!(metrics.text(), wanted);
    drop(open);
    assert_eq!(metrics.in_progress(), 0);
}

#[test]
fn a_class_keeps_its_counts_when_its_number_changes() {
    let metrics = Metrics::default();
    metrics.name_classes(&names(&["a", "b"]));
    metrics.count(1, Count::Passed);
    // `a` has new rules under number 2; `b` was removed, but its open requests still end; `c` is new.
    metrics.name_classes(&names(&["a", "b", "a", "c"]));
    for class in [0, 1, 2, 3] {
        metrics.count(class, Count::Passed);
    }
    let text = metrics.text();
    for line in ["{category=\"a\",outcome=\"passed\"} 2\n", "{category=\"b\",outcome=\"passed\"} 2\n"] {
        assert!(text.contains(line), "{text}");
    }
    assert_eq!(text.matches("outcome=\"passed\"").count(), 3);
}
