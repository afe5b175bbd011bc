//! Heads of answers on their way to another connection.

use http::{HeaderMap, Method, Version, header, response};
use th_protocol::header::remove_hop_by_hop_headers;

use crate::dialect::AnswerInfo;

/// Detail of an attempt whose connection goes on in another protocol; callers' requests for one are not passed on.
pub(crate) const SWITCHED: &str =
    "the answer switches to another protocol, which was not asked for";

/// Returns why an answer is not the one of a backend server to the request with that id; `None` if it may be.
pub(crate) fn find_foreign(
    head: &response::Parts,
    info: &AnswerInfo,
    id: &str,
) -> Option<&'static str> {
    if info.id.as_ref().is_some_and(|it| it != id) {
        return Some("the answer belongs to another request");
    }
    let is_proven = info.signed && info.id.is_some();
    (head.status.is_success() && !is_proven)
        .then_some("successful answer without the server's signature or the request's id")
}

/// Returns the length that a head states; `None` if it states none or is not clear.
fn stated_length(headers: &HeaderMap) -> Option<u64> {
    let mut stated = None;
    for value in headers.get_all(header::CONTENT_LENGTH) {
        for part in value.to_str().ok()?.split(',') {
            let length: u64 = part.trim().parse().ok()?;
            if stated.is_some_and(|it| it != length) {
                return None;
            }
            stated = Some(length);
        }
    }
    stated
}

/// Removes what concerns only the connection on which the answer to a request with that method came. The HTTP library states
/// the length of a body itself; without one, only the answer to a HEAD request has a length to state.
pub(crate) fn detach(head: &mut response::Parts, method: &Method) {
    let length = stated_length(&head.headers).filter(|_| *method == Method::HEAD);
    head.version = Version::HTTP_11;
    remove_hop_by_hop_headers(&mut head.headers);
    head.headers.remove(header::CONTENT_LENGTH);
    if let Some(length) = length {
        head.headers.insert(header::CONTENT_LENGTH, length.into());
    }
}
