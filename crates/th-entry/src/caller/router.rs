//! The paths of the listener for callers and operators.

use std::sync::Arc;

use salvo::{Router, affix_state};

use super::{burn, call, explain, health, lookup, metrics, status};
use crate::entry::Entry;

/// Returns the router of the listener for callers and operators.
pub(crate) fn router(entry: &Arc<Entry>) -> Router {
    Router::with_hoop(affix_state::inject(Arc::clone(entry)))
        .push(Router::with_path("v1/lookup/{service}/{operation}").get(lookup::lookup))
        .push(Router::with_path("v1/call/{service}/{operation}").goal(call::serve_call))
        .push(Router::with_path("v1/call/{service}/{operation}/{**rest}").goal(call::serve_call))
        .push(Router::with_path("v1/status").get(status::status))
        .push(Router::with_path("v1/explain/{name}").get(explain::explain))
        .push(Router::with_path("v1/burn").get(burn::burn))
        .push(Router::with_path("metrics").get(metrics::metrics))
        .push(Router::with_path("live").get(health::live))
        .push(Router::with_path("ready").get(health::ready))
}
