//! The fleet command, which reads the store of the users' platform.

use std::{collections::BTreeMap, fmt::Write, time::Duration};

use eyre::Result;
use platform::{FleetView, StoreClient, probe_readiness};
use serde::de::DeserializeOwned;
use serde_json::{Value, json};
use th_gateway::{DRAGGING_PATH, QUOTAS_PATH};
use th_protocol::{BackendId, Era, Millis, OrganisationId, ServiceId, VmId, ZoneId};
use th_steer::{dispatch::Serving, quota::QuotaView};

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
/// What each VM knows of each organisation's quota.
type Quotas = BTreeMap<OrganisationId, BTreeMap<VmId, QuotaView>>;
type BackendCounts<'a> = BTreeMap<(&'a ServiceId, &'a ZoneId), BackendCount>;

fn count_backends(view: &FleetView) -> BackendCounts<'_> {
    let mut counts: BackendCounts<'_> = BTreeMap::new();
    for it in &view.backends {
        let count = counts.entry((&it.service, &it.zone)).or_default();
        match it.serving {
            Serving::Ready => {
                count.ready += 1;
                count.slots = count.slots.saturating_add(it.slots.0);
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
    let quotas = read_quotas(&client, &view).await;
    let mut text = to_text(&view, &counts, &ready, &dragging)?;
    text.push_str(&quota_text(&quotas)?);
    let mut json = to_json(&view, &counts, &ready, &dragging);
    json["quotas"] = json!(quotas);
    Ok(Output::done(text, json))
}

/// Asks all entry VMs which backend servers they avoid because they drag. VMs that do not answer are left out; the text
/// shows whether they are ready.
async fn find_dragging(client: &reqwest::Client, view: &FleetView) -> Dragging {
    let mut dragging = Dragging::new();
    for (vm, backends) in ask_all::<Vec<BackendId>>(client, view, DRAGGING_PATH).await {
        for backend in backends {
            dragging.entry(backend).or_default().push(vm.clone());
        }
    }
    dragging
}

/// Asks all entry VMs. Those that do not answer are left out.
async fn ask_all<T: DeserializeOwned>(
    client: &reqwest::Client,
    view: &FleetView,
    path: &str,
) -> Vec<(VmId, T)> {
    let asked = view.entries.iter().map(|it| async {
        let url = format!("http://{}{path}", it.peers?);
        let answer = client.get(url).timeout(PROBE_TIMEOUT).send().await.ok()?;
        Some((it.vm.clone(), answer.json().await.ok()?))
    });
    futures_util::future::join_all(asked).await.into_iter().flatten().collect()
}

/// What each organisation with a quota uses of it at each entry VM.
async fn read_quotas(client: &reqwest::Client, view: &FleetView) -> Quotas {
    let mut quotas = Quotas::new();
    for (vm, rows) in
        ask_all::<BTreeMap<OrganisationId, QuotaView>>(client, view, QUOTAS_PATH).await
    {
        for (id, row) in rows {
            quotas.entry(id).or_default().insert(vm.clone(), row);
        }
    }
    quotas
}

/// One line for each organisation that is asked for, or was refused.
fn quota_text(quotas: &Quotas) -> Result<String> {
    let mut out = String::new();
    for (id, rows) in quotas {
        let (mut asked, mut refused, mut tokens, mut rate, mut oldest) =
            (0.0, 0, 0, 0.0, Millis::ZERO);
        for row in rows.values() {
            asked += row.asked;
            refused = row.refused.saturating_add(refused);
            tokens = row.tokens.saturating_add(tokens);
            (rate, oldest) = (row.rate, oldest.max(row.age.unwrap_or_default()));
        }
        if asked <= 0.0 && refused == 0 {
            continue;
        }
        let vms = rows.len();
        writeln!(
            out,
            "{id} asks {asked:.1}/s of {rate}/s at {vms} VMs, {refused} refused, {tokens} tokens, known since at most {oldest}"
        )?;
    }
    Ok(out)
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
        // A key is another writer's text.
        let key = it.key.escape_debug();
        writeln!(out, "unusable: {key} at revision {}: {}", it.revision, it.cause)?;
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
