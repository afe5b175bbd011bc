//! Where requests end, however their bytes are cut.

use rstest::rstest;
use th_gateway::{Framing, HeadStatus, parse_head};

/// Splits bytes into requests, of which at most `part` bytes are seen at a time. `None` if an end is unclear.
fn split(bytes: &[u8], part: usize) -> Option<Vec<usize>> {
    let (mut framing, mut lengths, mut position) = (Framing::default(), Vec::new(), 0);
    while position < bytes.len() {
        if framing.is_at_end() {
            match parse_head(&bytes[position..]) {
                HeadStatus::Complete(head) => framing.begin(&head),
                HeadStatus::Partial | HeadStatus::Unclear => return None,
            }
            lengths.push(0);
        }
        let seen = &bytes[position..bytes.len().min(position + part)];
        let length = framing.advance(seen);
        assert!(length == seen.len() || framing.is_at_end());
        *lengths.last_mut().unwrap() += length;
        position += length;
    }
    framing.is_at_end().then_some(lengths)
}

#[rstest]
#[case::bodyless("GET / HTTP/1.1\r\nHost: a\r\n\r\n")]
#[case::empty("POST / HTTP/1.1\r\nContent-Length: 0\r\n\r\n")]
#[case::sized("POST / HTTP/1.1\r\nContent-Length: 5\r\n\r\nGET /")]
#[case::stated_twice("POST / HTTP/1.1\r\nContent-Length: 2\r\ncontent-length: 2\r\n\r\nab")]
#[case::chunked(
    "POST / HTTP/1.1\r\nTransfer-Encoding: Chunked\r\n\r\nA\r\n0123456789\r\n0\r\n\r\n"
)]
#[case::extension(
    "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n1 ;a=\"b\"\r\nx\r\n000;c\r\n\r\n"
)]
#[case::trailer("POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n0\r\nA: b\r\nC: \r\n\r\n")]
fn the_end_of_a_request_is_found(#[case] request: &str) {
    let bytes = request.repeat(3);
    for part in [1, 2, 3, 7, 64, 4_096] {
        assert_eq!(split(bytes.as_bytes(), part), Some(vec![request.len(); 3]), "parts of {part}");
    }
}

#[rstest]
#[case::both("POST / HTTP/1.1\r\nContent-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n")]
#[case::two_lengths("POST / HTTP/1.1\r\nContent-Length: 5\r\nContent-Length: 6\r\n\r\nabcdef")]
#[case::signed("POST / HTTP/1.1\r\nContent-Length: +5\r\n\r\nabcde")]
#[case::other_coding("POST / HTTP/1.1\r\nTransfer-Encoding: gzip, chunked\r\n\r\n0\r\n\r\n")]
#[case::upgrade("GET / HTTP/1.1\r\nConnection: upgrade\r\nUpgrade: x\r\n\r\n")]
#[case::connect("CONNECT a:1 HTTP/1.1\r\n\r\n")]
#[case::old("GET / HTTP/1.0\r\n\r\n")]
#[case::garbage("\x01\x02\r\n\r\n")]
#[case::chunk_size("POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\nx\r\n\r\n")]
#[case::chunk_end("POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n1\r\nab\r\n0\r\n\r\n")]
#[case::huge_chunk("POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n11111111111111111\r\n")]
fn an_unclear_end_is_told(#[case] request: &str) {
    assert_eq!(split(request.as_bytes(), 4_096), None);
}

#[rstest]
#[case::plain("GET / HTTP/1.1\r\n\r\n", true, false)]
#[case::body("POST / HTTP/1.1\r\nContent-Length: 1\r\n\r\n", false, false)]
#[case::closes("GET / HTTP/1.1\r\nConnection: Keep-Alive, Close\r\n\r\n", true, true)]
fn a_head_tells_what_may_follow(#[case] head: &str, #[case] bodyless: bool, #[case] last: bool) {
    let HeadStatus::Complete(parsed) = parse_head(head.as_bytes()) else {
        panic!("the head is complete");
    };
    assert_eq!((parsed.length, parsed.is_bodyless(), parsed.is_last), (head.len(), bodyless, last));
    for end in 0..head.len() {
        assert_eq!(parse_head(&head.as_bytes()[..end]), HeadStatus::Partial);
    }
}
