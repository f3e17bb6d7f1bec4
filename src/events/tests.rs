use super::*;

#[test]
fn the_catalogue_is_sound_and_entries_are_found_by_their_target() {
    for one in ALL {
        assert_eq!(entry(one.target), Some(*one));
        assert!(one.id.len() <= 32 && one.element.len() <= 32, "{}", one.id);
        let names: std::collections::BTreeSet<&str> = one.parameters.iter().map(|p| p.0).collect();
        assert_eq!(names.len(), one.parameters.len(), "{}", one.id);
    }
    let ids: std::collections::BTreeSet<&str> = ALL.iter().map(|entry| entry.id).collect();
    assert_eq!(ids.len(), ALL.len());
    assert_eq!(entry("pathbank::event::NOTHING"), None);
    assert_eq!(entry("pathbank::core"), None);
}

#[test]
fn the_operators_page_is_the_catalogues() {
    let path = concat!(env!("CARGO_MANIFEST_DIR"), "/docs/operators/events.md");
    let written = std::fs::read_to_string(path).unwrap_or_default();
    assert_eq!(written, page(), "pathbank-log events > docs/operators/events.md");
}
