use super::*;

#[test]
fn fingerprints_parse_from_their_display_format() {
    let fingerprint = Fingerprint::of(b"certificate");
    let text = fingerprint.to_string();
    assert_eq!(Fingerprint::parse(&text), Some(fingerprint));
    assert_eq!(Fingerprint::parse(&text.to_lowercase()), Some(fingerprint));
    for wrong in ["", "sha-256", "sha-256:00", &text[..text.len() - 1], &format!("{text}:00"), &text[8..]] {
        assert_eq!(Fingerprint::parse(wrong), None, "{wrong}");
    }
    assert_eq!(Fingerprint::parse(&text.replace("sha-256", "sha-1")), None);
}
