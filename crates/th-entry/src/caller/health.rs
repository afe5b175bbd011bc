//! `GET /live` and `GET /ready`.

use salvo::{Depot, Response, handler, http::StatusCode};

use super::status;
use crate::peer::entry;

/// Answers 200 whenever the process runs.
#[handler]
pub(crate) async fn live(res: &mut Response) {
    res.status_code(StatusCode::OK);
}

/// Answers 200 if the process accepts requests, else 503 with the reason in the body.
#[handler]
pub(crate) async fn ready(depot: &mut Depot, res: &mut Response) {
    let status = status::of(&entry(depot));
    if status.ready {
        res.status_code(StatusCode::OK);
        return;
    }
    res.status_code(StatusCode::SERVICE_UNAVAILABLE);
    res.body(status.reason.unwrap_or_default());
}
