//! The fleet command, which reads the store of the users' platform.

use std::{collections::BTreeMap, fmt::Write, time::Duration};

use eyre::Result;
use platform::{FleetView, StoreClient, probe_readiness};
use serde_json::{Value, json};
use th_gateway::DRAGGING_PATH;
use th_protocol::{BackendId, Era, ServiceId, VmId, ZoneId};
use th_steer::dispatch::Serving;

use crate::{
    args::Fleet,
    output::{Exit, Output},
};

/// Time-out of the readiness probe of an entry VM; allows for an operator in a distant region.
const PROBE_TIMEOUT: Duration = Duration::from_millis(1_000);

/// Number of backend servers of a service in a data centre, by state.
#[derive(Debug, Clone, Copy, Default)]
struct BackendCount {
    ready: u32,
    draining: u32,
    slots: u32,
}

/// The entry VMs that avoid each backend server because it drags.
type Dragging = BTreeMap<BackendId, Vec<VmId>>;
type BackendCounts<'a> = BTreeMap<(&'a ServiceId, &'a ZoneId), BackendCount>;

fn count_backends(view: &FleetView) -> BackendCounts<'_> {
    let mut counts: BackendCounts<'_> = BTreeMap::new();
    for it in &view.backends {
        let count = counts.entry((&it.service, &it.zone)).or_default();
        match it.serving {
            Serving::Ready => {
                count.ready += 1;
                count.slots += it.slots.0;
            }
            Serving::Draining => count.draining += 1,
        }
    }
    counts
}

pub(crate) async fn show(args: &Fleet) -> Result<Output> {
    let view = match FleetView::read(&StoreClient::new(args.store)).await {
        Ok(view) => view,
        Err(error) => {
            let help =
                "entry VMs continue with their last known state; try again when the store answers";
            return Ok(Output::failed(Exit::Unreachable, error.to_string()).with_help(help));
        }
    };
    let client = reqwest::Client::builder().no_proxy().build()?;
    let probes = view.entries.iter().map(|it| probe_readiness(&client, it.ready, PROBE_TIMEOUT));
    let ready = futures_util::future::join_all(probes).await;
    let counts = count_backends(&view);
    let dragging = find_dragging(&client, &view).await;
    let text = to_text(&view, &counts, &ready, &dragging)?;
    Ok(Output::done(text, to_json(&view, &counts, &ready, &dragging)))
}

/// Asks all entry VMs which backend servers they avoid because they drag. VMs that do not answer are left out; the text
/// shows whether they are ready.
async fn find_dragging(client: &reqwest::Client, view: &FleetView) -> Dragging {
    let asked = view.entries.iter().map(|it| async {
        let url = format!("http://{}{DRAGGING_PATH}", it.peers?);
        let answer = client.get(url).timeout(PROBE_TIMEOUT).send().await.ok()?;
        let backends: Vec<BackendId> = answer.json().await.ok()?;
        Some((it.vm.clone(), backends))
    });
    let mut dragging = Dragging::new();
    for (vm, backends) in futures_util::future::join_all(asked).await.into_iter().flatten() {
        for backend in backends {
            dragging.entry(backend).or_default().push(vm.clone());
        }
    }
    dragging
}

fn readiness_text(ready: Option<bool>) -> &'static str {
    match ready {
        Some(true) => "ready",
        Some(false) => "not ready",
        None => "no answer",
    }
}

fn to_text(
    view: &FleetView,
    counts: &BackendCounts<'_>,
    ready: &[Option<bool>],
    dragging: &Dragging,
) -> Result<String> {
    let mut out = String::new();
    if view.at.era != Era::ZERO {
        writeln!(out, "store in era {}", view.at.era)?;
    }
    match &view.config {
        Some((revision, table)) => {
            let routes = table.iter().count();
            let version = table.version();
            writeln!(out, "configuration {version}, revision {revision}, {routes} routes")?;
        }
        None => writeln!(out, "no usable configuration")?,
    }
    for ((service, zone), it) in counts {
        let BackendCount { ready, draining, slots } = it;
        let evacuated = if view.evacuated.contains(*zone) { ", evacuated" } else { "" };
        writeln!(
            out,
            "{service} in {zone}: {ready} ready with {slots} slots, {draining} draining{evacuated}"
        )?;
    }
    for (backend, vms) in dragging {
        let vms: Vec<&str> = vms.iter().map(VmId::as_str).collect();
        writeln!(out, "{backend} drags, found by {}", vms.join(", "))?;
    }
    for (entry, ready) in view.entries.iter().zip(ready) {
        writeln!(
            out,
            "{} in {}: {} at {}",
            entry.vm,
            entry.zone,
            readiness_text(*ready),
            entry.callers
        )?;
    }
    for it in &view.unusable {
        writeln!(out, "unusable: {} at revision {}: {}", it.key, it.revision, it.cause)?;
    }
    Ok(out)
}

fn to_json(
    view: &FleetView,
    counts: &BackendCounts<'_>,
    ready: &[Option<bool>],
    dragging: &Dragging,
) -> Value {
    let mut backends = Vec::new();
    for ((service, zone), it) in counts {
        backends
            .push(json!({"service": service, "zone": zone, "ready": it.ready, "slots": it.slots,
            "draining": it.draining, "evacuated": view.evacuated.contains(*zone)}));
    }
    let mut entries = Vec::new();
    for (entry, ready) in view.entries.iter().zip(ready) {
        let (vm, zone) = (&entry.vm, &entry.zone);
        entries.push(json!({"vm": vm, "zone": zone, "callers": entry.callers, "ready": ready}));
    }
    let mut unusable = Vec::new();
    for it in &view.unusable {
        unusable.push(json!({"key": it.key, "revision": it.revision, "cause": it.cause}));
    }
    json!({"version": view.version(), "revision": view.at.revision, "era": view.at.era, "backends": backends, "entries": entries,
        "evacuated": view.evacuated, "dragging": dragging, "unusable": unusable})
}
