//! Names of the headers that callers, entry VMs and backend servers exchange.

use http::{HeaderMap, HeaderName, header};

/// The key that a caller chooses to identify one logical operation: unique for each operation, and
/// the same when its request is repeated.
pub const IDEMPOTENCY_KEY: &str = "idempotency-key";
/// The ticket that a look-up returned.
pub const TICKET: &str = "th-ticket";
/// Milliseconds left until the deadline.
pub const DEADLINE: &str = "th-deadline-ms";
/// The customer on whose behalf a request is made.
pub const CUSTOMER: &str = "th-customer";
/// The block of addresses that the caller belongs to.
pub const BLOCK: &str = "th-block";
/// The verdict, on answers that the system itself generates.
pub const VERDICT: &str = "th-verdict";
/// The reason code, on answers that the system itself generates.
pub const REASON: &str = "th-reason";
/// The id of the attempt; a backend server returns it unchanged.
pub const ATTEMPT: &str = "th-attempt";
/// The number of this attempt at the same request; absent on the first attempt.
pub const ATTEMPT_NUMBER: &str = "th-try";
/// Set by a backend server that is leaving.
pub const LEAVING: &str = "th-leaving";
/// Set by a backend server that shed the request before running any of it.
pub const SHED: &str = "th-shed";
/// The shared key with which entry VMs authenticate to each other.
pub const PEER_KEY: &str = "th-peer-key";

/// Headers that apply to a single connection and are not forwarded.
const HOP_BY_HOP: &[&str] = &[
    "connection",
    "keep-alive",
    "proxy-authenticate",
    "proxy-authorization",
    "proxy-connection",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
];

/// Removes hop-by-hop headers, including those that the `Connection` header lists.
pub fn remove_hop_by_hop_headers(headers: &mut HeaderMap) {
    let mut named = Vec::new();
    for value in headers.get_all(header::CONNECTION) {
        let Ok(text) = value.to_str() else {
            continue;
        };
        for name in text.split(',') {
            if let Ok(name) = name.trim().parse::<HeaderName>() {
                named.push(name);
            }
        }
    }
    for name in HOP_BY_HOP {
        headers.remove(*name);
    }
    for name in &named {
        headers.remove(name);
    }
}
