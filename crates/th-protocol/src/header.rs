//! Names of the headers that callers, entry VMs and backend servers exchange.

use http::{HeaderMap, HeaderName, header};

/// A caller's choice of name for an operation, unique per operation.
pub const IDEMPOTENCY_KEY: &str = "idempotency-key";
/// The ticket from a look-up.
pub const TICKET: &str = "th-ticket";
/// Milliseconds left until the deadline.
pub const DEADLINE: &str = "th-deadline-ms";
/// The customer on whose behalf a request is made.
pub const CUSTOMER: &str = "th-customer";
/// The caller's own block of addresses.
pub const BLOCK: &str = "th-block";
/// The verdict, on answers of the system's own.
pub const VERDICT: &str = "th-verdict";
/// The reason code, on answers of the system's own.
pub const REASON: &str = "th-reason";
/// The id of the attempt; a backend server returns it unchanged.
pub const ATTEMPT: &str = "th-attempt";
/// Which try of the same request this is; absent on the first.
pub const ATTEMPT_NUMBER: &str = "th-try";
/// Set by a backend server that leaves.
pub const LEAVING: &str = "th-leaving";
/// Set by a backend server that refused before running anything.
pub const SHED: &str = "th-shed";
/// The key that entry VMs show each other.
pub const PEER_KEY: &str = "th-peer-key";

/// Headers that concern one connection only and are not passed on.
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

/// Removes headers that concern one connection only, those that `Connection` names included.
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
