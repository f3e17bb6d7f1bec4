use super::*;

fn has_length(head: &str) -> bool {
    let mut whole = HeadScanner::default();
    whole.scan(head.as_bytes());
    let mut bytewise = HeadScanner::default();
    head.bytes().for_each(|byte| bytewise.scan(&[byte]));
    assert_eq!(whole.has_length(), bytewise.has_length(), "{head:?}");
    whole.has_length()
}

#[test]
fn a_length_is_found_however_it_is_written() {
    for line in ["Content-Length: 5", "content-length:5", " CONTENT-LENGTH : 5", "Content-Length\t:5"] {
        assert!(has_length(&format!("PUT / HTTP/1.1\r\nHost: x\r\n{line}\r\n\r\n")), "{line}");
        assert!(has_length(&format!("\r\nPUT / HTTP/1.1\nHost: x\n{line}\n\n")), "{line}");
    }
}

#[test]
fn other_lines_are_no_length() {
    for line in [
        "X-Content-Length: 5",
        "Content-Length-X: 5",
        "Content-Lengt: 5",
        "Via: Content-Length: 5",
        "Content-Length",
    ] {
        assert!(!has_length(&format!("PUT / HTTP/1.1\r\n{line}\r\n\r\n")), "{line}");
    }
    assert!(!has_length("PUT /Content-Length: HTTP/1.1\r\n\r\nContent-Length: 5\r\n"));
}
