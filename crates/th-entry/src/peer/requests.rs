//! Handlers for callers' requests that other entry VMs forward.

use std::{io, sync::Arc, time::Duration};

use bytes::Bytes;
use futures_util::{StreamExt, stream::BoxStream};
use salvo::{Depot, Request, Response, handler};
use th_protocol::{Bytes as Size, LinkId, Notice, Reason, RegionId};
use th_steer::{
    engine::notices,
    limit::{Charge, Rejection},
};
use tokio::time::sleep;

use super::{codec::decode, router::entry};
use crate::{
    call::{ForwardedRequest, Origin, answer},
    entry::Entry,
    in_flight::InFlight,
    io::{Body, Reply},
};

/// Bytes allowed for a request's headers and encoding, in addition to its body.
const MAX_HEAD_BYTES: usize = 64 << 10;

#[handler]
pub(crate) async fn serve_own(req: &mut Request, depot: &mut Depot, res: &mut Response) {
    serve(req, &entry(depot), Origin::Forwarder).await.write_to(res);
}

#[handler]
pub(crate) async fn serve_execute(req: &mut Request, depot: &mut Depot, res: &mut Response) {
    serve(req, &entry(depot), Origin::Placer).await.write_to(res);
}

/// Returns the notice for a request that exceeds the limit on requests in progress. Only a request that is to be placed
/// here has surely not run: if this VM owns the ticket, it may have run the operation before.
fn overloaded(entry: &Entry, origin: Origin) -> Notice {
    match origin {
        Origin::Placer => notices::refused(Reason::Overloaded, entry.settings.pace.call),
        Origin::Caller | Origin::Forwarder => notices::unknown(Reason::Overloaded),
    }
}

async fn serve(req: &mut Request, entry: &Arc<Entry>, origin: Origin) -> Reply {
    let Some(guard) = InFlight::enter(entry, entry.settings.limits.requests) else {
        return Reply::notice(&overloaded(entry, origin));
    };
    let max_size = entry.settings.limits.body.0 as usize + MAX_HEAD_BYTES;
    let Ok(bytes) = req.payload_with_max_size(max_size).await else {
        return Reply::notice(&notices::not_run(Reason::BadRequest));
    };
    let message: ForwardedRequest = match decode(bytes) {
        Ok(message) => message,
        Err(error) => {
            log::warn!(target: "peer", "A forwarded request cannot be decoded: {error}.");
            return Reply::notice(&notices::not_run(Reason::BadRequest));
        }
    };
    let region = message.region().cloned();
    let charged = match charge_answer(entry, &message, origin) {
        Ok(charged) => charged,
        Err(notice) => return Reply::notice(&notice),
    };
    let forwarded = origin == Origin::Placer;
    let reply = match message.into_incoming(forwarded, entry.now()) {
        Some(incoming) => answer(entry, incoming, origin, &guard).await,
        None => Reply::notice(&notices::not_run(Reason::BadRequest)),
    };
    if let Some(charge) = charged {
        entry.with_engine(|engine, _| engine.settle(charge, Size(reply.size())));
    }
    drop(guard);
    match (region, reply.body) {
        (Some(region), Body::Stream(body)) => {
            let body = Body::Stream(pace_by_link(Arc::clone(entry), region, body));
            Reply { status: reply.status, headers: reply.headers, body }
        }
        (_, body) => Reply { status: reply.status, headers: reply.headers, body },
    }
}

/// Delays each chunk of a body until the link's cap allows it.
fn pace_by_link(
    entry: Arc<Entry>,
    region: RegionId,
    body: BoxStream<'static, io::Result<Bytes>>,
) -> BoxStream<'static, io::Result<Bytes>> {
    body.then(move |chunk| {
        let (entry, region) = (Arc::clone(&entry), region.clone());
        async move {
            let chunk = chunk?;
            await_link_capacity(&entry, &region, Size(chunk.len() as u64)).await?;
            Ok(chunk)
        }
    })
    .boxed()
}

/// Waits until the link's cap allows a chunk, and charges it. Returns a time-out error if that takes longer than
/// `limits.slow`.
async fn await_link_capacity(entry: &Entry, region: &RegionId, size: Size) -> io::Result<()> {
    let deadline = entry.now().after(entry.settings.limits.slow);
    loop {
        let result = entry.with_engine(|engine, now| {
            if let Some(charge) = engine.charge(region, size, now)? {
                engine.settle(charge, size);
            }
            Ok::<_, Rejection>(())
        });
        let Err(rejection) = result else {
            return Ok(());
        };
        if deadline <= entry.now() {
            return Err(io::ErrorKind::TimedOut.into());
        }
        sleep(Duration::from_millis(rejection.retry_after.0)).await;
    }
}

/// Charges the expected answer to the link that it will cross.
///
/// A request that was placed here by another data centre is rejected if the link's cap does not allow its answer. A
/// request whose ticket this VM owns may repeat an operation that has run, so it is never rejected for the cap: its
/// answer is recorded as a debt, for which later requests wait.
fn charge_answer(
    entry: &Entry,
    message: &ForwardedRequest,
    origin: Origin,
) -> Result<Option<(LinkId, Charge)>, Notice> {
    let Some(region) = message.region() else {
        return Ok(None);
    };
    let (service, operation) = message.target();
    entry.with_engine(|engine, now| {
        let size = engine.expected_size(service, operation);
        match engine.charge(region, size, now) {
            Ok(charged) => Ok(charged),
            Err(it) if origin == Origin::Placer => Err(notices::refused(it.reason, it.retry_after)),
            Err(_) => {
                engine.add_debt(region, size);
                Ok(None)
            }
        }
    })
}
