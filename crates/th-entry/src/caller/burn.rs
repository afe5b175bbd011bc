//! `GET /v1/burn`.

use std::collections::BTreeMap;

use salvo::{Depot, Response, handler, writing::Json};

use crate::peer::entry;

#[handler]
pub(crate) async fn burn(depot: &mut Depot, res: &mut Response) {
    let entry = entry(depot);
    let objectives = entry.with_engine(|engine, _| {
        let mut objectives = BTreeMap::new();
        for (id, service) in engine.bundle().map(|it| &it.services).into_iter().flatten() {
            objectives.insert(id.clone(), service.slo.objective);
        }
        objectives
    });
    entry.record_counts();
    let answer = entry.burn().answer(&entry.settings.vm, entry.now(), &objectives);
    res.render(Json(answer));
}
