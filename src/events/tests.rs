use super::*;

#[test]
fn catalogue_entries_are_unique_and_found_by_their_target() {
    for event in ALL {
        assert_eq!(entry(event.target), Some(*event));
        assert!(event.id.len() <= 32 && event.element.len() <= 32, "{}", event.id);
        let names: std::collections::BTreeSet<&str> = event.parameters.iter().map(|p| p.0).collect();
        assert_eq!(names.len(), event.parameters.len(), "{}", event.id);
    }
    let ids: std::collections::BTreeSet<&str> = ALL.iter().map(|entry| entry.id).collect();
    assert_eq!(ids.len(), ALL.len());
    assert_eq!(entry("pathbank::event::NOTHING"), None);
    assert_eq!(entry("pathbank::core"), None);
}

#[test]
fn the_operators_page_is_generated_from_the_catalogue() {
    let path = concat!(env!("CARGO_MANIFEST_DIR"), "/docs/operators/events.md");
    let written = std::fs::read_to_string(path).unwrap_or_default();
    assert_eq!(written, page(), "pathbank-log events > docs/operators/events.md");
}
