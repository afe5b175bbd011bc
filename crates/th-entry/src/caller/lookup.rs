//! `GET /v1/lookup/{service}/{operation}`.

use std::net::{IpAddr, Ipv4Addr};

use salvo::{Depot, Request, Response, handler, http::StatusCode, writing::Json};
use th_protocol::{Block, Notice, Reason, header};
use th_steer::engine::notices;

use crate::{io::Reply, peer::entry};

const SECOND_MS: u64 = 1_000;

#[handler]
pub(crate) async fn lookup(req: &mut Request, depot: &mut Depot, res: &mut Response) {
    let entry = entry(depot);
    let Some((service, operation)) = target(req) else {
        Reply::notice(&notices::not_run(Reason::BadRequest)).write_to(res);
        return;
    };
    let source = match source(req) {
        Ok(source) => source,
        Err(notice) => {
            Reply::notice(&notice).write_to(res);
            return;
        }
    };
    let answer = entry.with_engine(|engine, now| engine.lookup(&service, &operation, source, now));
    let answer = match answer {
        Ok(answer) => answer,
        Err(notice) => {
            Reply::notice(&notice).write_to(res);
            return;
        }
    };
    entry.metrics.lookups.with_label_values(&[service.as_str()]).inc();
    let seconds = answer.ttl.0 / SECOND_MS;
    let cache_control = format!("private, max-age={seconds}");
    if let Err(error) = res.add_header("cache-control", cache_control, true) {
        log::error!(target: "caller", "Adding cache-control to a look-up answer failed: {error}.");
    }
    res.status_code(StatusCode::OK);
    res.render(Json(answer));
}

/// Returns the service and the operation in the path.
pub(super) fn target(req: &Request) -> Option<(th_protocol::ServiceId, th_protocol::OperationId)> {
    let service: String = req.param("service")?;
    let operation: String = req.param("operation")?;
    Some((service.parse().ok()?, operation.parse().ok()?))
}

/// Returns an address of the caller's block: the base of the block that it states, or else its own address.
pub(super) fn source(req: &Request) -> Result<Ipv4Addr, Notice> {
    let stated: Option<String> = req.query("block").or_else(|| req.header(header::BLOCK));
    if let Some(text) = stated {
        let block: Block = match text.parse() {
            Ok(block) => block,
            Err(error) => {
                let notice = notices::not_run(Reason::BadRequest);
                return Err(Notice { detail: format!("The block {text:?}: {error}."), ..notice });
            }
        };
        return Ok(Ipv4Addr::from(block.base()));
    }
    let address = req.remote_addr().clone().into_std().map(|it| it.ip());
    match address {
        Some(IpAddr::V4(address)) => Ok(address),
        _ => Ok(Ipv4Addr::UNSPECIFIED),
    }
}
