//! `GET /v1/explain/{service-or-request}`.

use salvo::{Depot, Request, Response, handler, writing::Json};
use th_steer::explain::Record;

use super::call::request_number;
use crate::{entry::Entry, peer::entry};

/// Largest number of records about a service in one answer.
const MAX_RECORDS: usize = 64;

#[handler]
pub(crate) async fn explain(req: &mut Request, depot: &mut Depot, res: &mut Response) {
    let name: String = req.param("name").unwrap_or_default();
    res.render(Json(find(&entry(depot), &name)));
}

/// Returns the records of the latest decisions about a service or a request.
///
/// `name` is a service, the idempotency key of a request, or its number in the log.
fn find(entry: &Entry, name: &str) -> Vec<Record> {
    entry.with_engine(|engine, _| {
        if let Ok(service) = name.parse()
            && engine.bundle().is_some_and(|it| it.services.contains_key(&service))
        {
            return engine.explain_service(&service, MAX_RECORDS);
        }
        let mut records = engine.explain_request(request_number(name));
        if let Ok(number) = name.parse() {
            records.extend(engine.explain_request(number));
        }
        records
    })
}
