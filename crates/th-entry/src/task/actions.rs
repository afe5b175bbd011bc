//! Carries out the engine's actions and passes the answers to the engine.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use th_protocol::{BackendId, CheckAnswer, Heartbeat, LoadReport};
use th_steer::{
    engine::Action,
    limit::{PartAnswer, PartRequest},
    member::MemberAction,
};

use super::{bundles, grants};
use crate::{
    entry::Entry,
    peer::{Route, client::call},
};

/// Time-out of each request of a probe.
const PROBE_TIMEOUT: Duration = Duration::from_millis(500);

/// Carries out one action.
pub(crate) async fn perform(entry: Arc<Entry>, action: Action) {
    match action {
        Action::Member(action) => perform_member(&entry, action).await,
        Action::Spread(action) => bundles::perform(&entry, action).await,
        Action::Grant(action) => grants::grant(&entry, action).await,
        Action::Shard(action) => grants::shard(&entry, action).await,
        Action::Part { vm: _, address, request } => request_part(&entry, address, request).await,
        Action::Probe { backend, address } => probe_backend(&entry, backend, address).await,
    }
}

async fn perform_member(entry: &Arc<Entry>, action: MemberAction) {
    match action {
        MemberAction::Heartbeat { to, address, message } => {
            match call::<_, Heartbeat>(entry, Route::Heartbeat, address, &message).await {
                Ok(answer) => {
                    entry.with_engine(|engine, now| engine.on_answer(&answer, now));
                    entry.tick_now.notify_one();
                }
                Err(error) => log::debug!(target: "peer", "The heartbeat to {to} failed: {error}."),
            }
        }
        MemberAction::Check { via, address, message } => {
            match call::<_, CheckAnswer>(entry, Route::Check, address, &message).await {
                Ok(answer) => entry.with_engine(|engine, now| engine.on_check_answer(&answer, now)),
                Err(error) => {
                    log::debug!(target: "peer", "The indirect check through {via} failed: {error}.")
                }
            }
        }
    }
}

async fn request_part(entry: &Arc<Entry>, address: SocketAddr, request: PartRequest) {
    let sent_at = entry.now();
    match call::<_, PartAnswer>(entry, Route::Part, address, &request).await {
        Ok(answer) => entry.with_engine(|engine, now| engine.on_part(&answer, sent_at, now)),
        Err(error) => {
            log::debug!(target: "peer", "The request for a part of a grant failed: {error}.")
        }
    }
}

/// Queries a backend server's health and, if it is healthy, its load.
async fn probe_backend(entry: &Arc<Entry>, backend: BackendId, address: SocketAddr) {
    let sent_at = entry.now();
    let client = &entry.probe_client;
    let health = client.get(format!("http://{address}/health")).timeout(PROBE_TIMEOUT).send().await;
    let is_healthy = health.is_ok_and(|it| it.status().is_success());
    entry.with_engine(|engine, now| engine.on_probe(&backend, is_healthy, now));
    if !is_healthy {
        return;
    }
    let load = client.get(format!("http://{address}/load")).timeout(PROBE_TIMEOUT).send().await;
    let Ok(load) = load else {
        return;
    };
    if let Ok(report) = load.json::<LoadReport>().await {
        entry.with_engine(|engine, now| engine.on_report(&backend, report, sent_at, now));
    }
}
