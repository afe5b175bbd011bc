//! `GET /v1/status`.

use salvo::{Depot, Response, handler, writing::Json};
use th_protocol::Status;

use crate::{entry::Entry, peer::entry};

#[handler]
pub(crate) async fn status(depot: &mut Depot, res: &mut Response) {
    res.render(Json(of(&entry(depot))));
}

/// Returns the status of this entry VM.
pub(crate) fn of(entry: &Entry) -> Status {
    let stopping = entry.is_stopping();
    entry.with_engine(|engine, now| {
        let ready = engine.ready();
        let version = engine.bundle().map(|it| it.version);
        let age = version.map(|_| engine.age(now));
        let digest = ready.as_ref().ok().map(|it| it.digest);
        let reason = match &ready {
            Err(error) => Some(error.to_string()),
            Ok(_) if stopping => Some("it is stopping".to_owned()),
            Ok(_) => engine.rejected_heads().last().map(|it| format!("last refused: {it}")),
        };
        let me = engine.me();
        Status {
            vm: me.vm.clone(),
            zone: me.zone.clone(),
            incarnation: me.incarnation,
            version,
            age_ms: age,
            digest,
            ready: version.is_some() && !stopping,
            reason,
            stopping,
        }
    })
}
