//! `GET /metrics`.

use salvo::{Depot, Response, handler};

use crate::{peer::entry, task};

#[handler]
pub(crate) async fn metrics(depot: &mut Depot, res: &mut Response) {
    let entry = entry(depot);
    task::sample(&entry);
    let kind = res.add_header("content-type", "text/plain; version=0.0.4", true);
    debug_assert!(kind.is_ok(), "the header's name and value are constants");
    res.body(entry.metrics.text());
}
