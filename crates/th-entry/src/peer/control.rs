//! Handlers for control messages from other entry VMs.

use std::{net::SocketAddr, sync::Arc};

use salvo::{Depot, Request, Response, handler, http::StatusCode};
use serde::{Serialize, de::DeserializeOwned};
use th_protocol::{BundleAnswer, BundleRequest, CheckAnswer, Heartbeat, IndirectCheck};
use th_steer::limit::PartRequest;

use super::{
    Route, client,
    codec::{MAX_MESSAGE_BYTES, decode, encode},
    router::entry,
};
use crate::entry::Entry;

/// Reads and decodes a message. Sets the error status of the answer if it is malformed or too large.
async fn read<T: DeserializeOwned>(
    req: &mut Request,
    res: &mut Response,
    entry: &Entry,
) -> Option<T> {
    let Ok(bytes) = req.payload_with_max_size(MAX_MESSAGE_BYTES).await else {
        res.status_code(StatusCode::PAYLOAD_TOO_LARGE);
        return None;
    };
    entry.metrics.control.with_label_values(&["in"]).inc_by(bytes.len() as u64);
    match decode(bytes) {
        Ok(message) => Some(message),
        Err(error) => {
            log::warn!(target: "peer", "A control message cannot be decoded: {error}.");
            res.status_code(StatusCode::BAD_REQUEST);
            None
        }
    }
}

fn write<T: Serialize>(res: &mut Response, entry: &Entry, message: &T) {
    let bytes = encode(message);
    entry.metrics.control.with_label_values(&["out"]).inc_by(bytes.len() as u64);
    res.body(bytes);
}

#[handler]
pub(crate) async fn serve_heartbeat(req: &mut Request, depot: &mut Depot, res: &mut Response) {
    let entry = entry(depot);
    let Some(message) = read::<Heartbeat>(req, res, &entry).await else {
        return;
    };
    let answer = entry.with_engine(|engine, now| engine.on_heartbeat(&message, now));
    entry.tick_now.notify_one();
    write(res, &entry, &answer);
}

/// Returns the records of all known entry VMs to a VM that has just started.
#[handler]
pub(crate) async fn serve_records(depot: &mut Depot, res: &mut Response) {
    let entry = entry(depot);
    let records = entry.with_engine(|engine, _| engine.records());
    write(res, &entry, &records);
}

#[handler]
pub(crate) async fn serve_check(req: &mut Request, depot: &mut Depot, res: &mut Response) {
    let entry = entry(depot);
    let Some(message) = read::<IndirectCheck>(req, res, &entry).await else {
        return;
    };
    let record = check_target(&entry, &message).await;
    write(res, &entry, &CheckAnswer { record });
}

/// Sends a heartbeat to the target on behalf of the requesting VM, and returns the target's record if it answers.
async fn check_target(
    entry: &Arc<Entry>,
    message: &IndirectCheck,
) -> Option<th_protocol::PeerRecord> {
    let heartbeat = entry.with_engine(|engine, _| engine.on_check(message));
    let target: SocketAddr = message.target.address;
    let answer: client::Result<Heartbeat> =
        client::call(entry, Route::Heartbeat, target, &heartbeat).await;
    Some(answer.ok()?.from)
}

#[handler]
pub(crate) async fn serve_bundle(req: &mut Request, depot: &mut Depot, res: &mut Response) {
    let entry = entry(depot);
    let Some(message) = read::<BundleRequest>(req, res, &entry).await else {
        return;
    };
    let content = {
        let bundle_cache = entry.bundle_cache();
        match &message {
            BundleRequest::Manifest(head) => bundle_cache.manifest(head).map(|it| it.to_json()),
            BundleRequest::Part(digest) => bundle_cache.part(digest).map(|it| it.to_vec()),
        }
    };
    let size = content.as_ref().map_or(0, Vec::len);
    if !entry.take_bundle_budget(size) {
        res.status_code(StatusCode::TOO_MANY_REQUESTS);
        return;
    }
    write(res, &entry, &BundleAnswer { content });
}

#[handler]
pub(crate) async fn serve_part(req: &mut Request, depot: &mut Depot, res: &mut Response) {
    let entry = entry(depot);
    let Some(request) = read::<PartRequest>(req, res, &entry).await else {
        return;
    };
    let answer = entry.with_engine(|engine, now| engine.on_part_request(&request, now));
    write(res, &entry, &answer);
}
