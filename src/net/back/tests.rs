use super::*;

#[test]
fn a_request_is_whole_with_its_last_byte_and_not_before() {
    for (parts, body, whole) in [
        (&["GET / HTTP/1.1\r\nhost: x\r\n\r\n"][..], 0, true),
        (&["GET / HTTP/1.1\r\nhost: x\r\n\r"], 0, false),
        (&["PUT / HTTP/1.1\r", "\n\r\n", "abc"], 3, true),
        (&["PUT / HTTP/1.1\r\n\r\n", "ab"], 3, false),
        (&["PUT / HTTP/1.1\r\n\r\n"], 3, false),
        (&[], 0, false),
    ] {
        let mut progress = Progress { body_left: Some(body), ..Progress::default() };
        parts.iter().for_each(|part| progress.wrote(part.as_bytes()));
        assert_eq!((progress.whole(), progress.begun.get()), (whole, !parts.is_empty()), "{parts:?}");
    }
}

#[test]
fn reports_of_load_and_use_are_read_and_nonsense_is_not() {
    for (text, queue) in [
        ("inflight=7,queue=2,util=0.61", Some(2.0)),
        ("inflight=7, queue=2.5", Some(2.5)),
        ("queue=-1", None),
        ("queue=NaN", None),
        ("queue=9e99,inflight=1", None),
        ("queue", None),
        ("", None),
    ] {
        let headers = HeaderMap::from_iter([(HeaderName::from_static(LOAD), text.parse().unwrap())]);
        assert_eq!(load(&headers).queue, queue, "{text}");
    }
    for (text, percent) in [("85", Some(0.85)), ("0", Some(0.0)), ("-3", None), ("x", None), ("1e300", None)]
    {
        let headers = HeaderMap::from_iter([(HeaderName::from_static(METER), text.parse().unwrap())]);
        assert_eq!(used(&headers), percent, "{text}");
    }
}

#[test]
fn an_answers_length_is_told_in_one_way_or_the_answer_is_spoilt() {
    for (fields, sound) in [
        (&[("content-length", "3")][..], true),
        (&[("transfer-encoding", "chunked")], true),
        (&[], false),
        (&[("content-length", "3"), ("transfer-encoding", "chunked")], false),
        (&[("content-length", "3"), ("content-length", "3")], true),
        (&[("content-length", "3, 3")], true),
        (&[("content-length", "3, 4")], false),
        (&[("content-length", "3"), ("content-length", "4")], false),
        (&[("transfer-encoding", ", chunked,")], true),
        (&[("transfer-encoding", "chunked, chunked")], false),
        (&[("content-length", "-3")], false),
        (&[("content-length", "+3")], false),
        (&[("content-length", "")], false),
        (&[("content-length", "65537")], true),
        (&[("content-length", "33554432")], true),
        (&[("content-length", "33554433")], false),
        (&[("content-length", "3221225472")], false),
        (&[("transfer-encoding", "gzip, chunked")], false),
    ] {
        let mut headers = HeaderMap::new();
        for (name, value) in fields {
            headers.append(HeaderName::from_static(name), value.parse().unwrap());
        }
        assert_eq!(framed(&headers, false), sound, "{fields:?}");
        assert_eq!(framed(&headers, true), sound || fields.is_empty(), "{fields:?}, last");
    }
}
