//! The listener for other entry VMs.

use std::sync::Arc;

use salvo::{Depot, FlowCtrl, Request, Response, Router, affix_state, handler, http::StatusCode};
use th_protocol::header;

use super::{Route, control, requests};
use crate::entry::Entry;

/// Returns the router of the listener for other entry VMs.
pub(crate) fn router(entry: &Arc<Entry>) -> Router {
    let at = |route: Route| Router::with_path(route.path().trim_start_matches('/'));
    Router::with_hoop(affix_state::inject(Arc::clone(entry)))
        .hoop(check_key)
        .push(at(Route::Heartbeat).post(control::serve_heartbeat))
        .push(at(Route::Records).post(control::serve_records))
        .push(at(Route::Check).post(control::serve_check))
        .push(at(Route::Bundle).post(control::serve_bundle))
        .push(at(Route::Part).post(control::serve_part))
        .push(at(Route::Own).post(requests::serve_own))
        .push(at(Route::Execute).post(requests::serve_execute))
}

/// Returns the shared state that the router injects.
pub(crate) fn entry(depot: &Depot) -> Arc<Entry> {
    let entry = depot.obtain::<Arc<Entry>>();
    Arc::clone(entry.expect("both routers inject the entry"))
}

/// Rejects requests without the shared peer key with 401.
#[handler]
async fn check_key(req: &mut Request, depot: &mut Depot, res: &mut Response, ctrl: &mut FlowCtrl) {
    let shown = req.headers().get(header::PEER_KEY).map(|it| it.as_bytes());
    let entry = entry(depot);
    let expected = entry.settings.keys.peer.as_bytes();
    if !shown.is_some_and(|it| constant_time_eq(it, expected)) {
        res.status_code(StatusCode::UNAUTHORIZED);
        ctrl.skip_rest();
    }
}

/// Compares in a time that does not depend on the position of the first difference.
fn constant_time_eq(shown: &[u8], expected: &[u8]) -> bool {
    let mut differs = shown.len() ^ expected.len();
    for (a, b) in shown.iter().zip(expected) {
        differs |= usize::from(a ^ b);
    }
    differs == 0
}
