use super::*;

#[test]
fn fingerprints_are_read_as_they_are_written() {
    let print = Fingerprint::of(b"certificate");
    let text = print.to_string();
    assert_eq!(Fingerprint::parse(&text), Some(print));
    assert_eq!(Fingerprint::parse(&text.to_lowercase()), Some(print));
    for wrong in ["", "sha-256", "sha-256:00", &text[..text.len() - 1], &format!("{text}:00"), &text[8..]] {
        assert_eq!(Fingerprint::parse(wrong), None, "{wrong}");
    }
    assert_eq!(Fingerprint::parse(&text.replace("sha-256", "sha-1")), None);
}
