//! Names of the headers that callers, entry VMs and backend servers exchange.

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
pub const TRY: &str = "th-try";
/// Set by a backend server that leaves.
pub const LEAVING: &str = "th-leaving";
/// Set by a backend server that refused before running anything.
pub const SHED: &str = "th-shed";
/// The key that entry VMs show each other.
pub const PEER_KEY: &str = "th-peer-key";
