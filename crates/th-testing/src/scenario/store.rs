//! The simulated service of the platform, and the operators who roll bundles through it.

use std::sync::Arc;

use th_platform::{Key, LeaseId};
use th_protocol::{
    Bundle, BundleHead, Digest, Revision, Time, VmId, VmRecord, VmRole, VmState, layout,
};

use super::{
    script::{Roll, StoreFault},
    simulation::{Sim, address},
};
use crate::Store;

/// Time-out of a call to the store, in milliseconds.
pub(crate) const CALL_TIMEOUT_MS: u64 = 1_000;
/// Time between two checks of a waiting watch, in milliseconds.
const WATCH_POLL_MS: u64 = 50;
/// Attempts of an operator to roll a bundle.
const MAX_ROLL_ATTEMPTS: u32 = 5;

/// Makes a call from a host. Returns `None` if the call failed or its answer was lost; it may have taken effect then.
pub(crate) async fn call<T>(
    sim: &Sim,
    host: usize,
    write: bool,
    act: impl FnOnce(&mut Store, Time) -> T,
) -> Option<T> {
    let store_host = sim.state.borrow().hosts.iter().position(|it| it.name == "store")?;
    let fault = sim.state.borrow().store_fault;
    let (delay, slow) =
        (sim.delay(host, store_host) + 1, if let StoreFault::Slow(it) = fault { it.0 } else { 0 });
    if sim.is_lost(host, store_host, u64::MAX) || fault == StoreFault::Deaf {
        sim.sleep(CALL_TIMEOUT_MS).await;
        return None;
    }
    sim.sleep(delay + slow).await;
    if fault == StoreFault::Down {
        return None;
    }
    let is_lost = match fault {
        StoreFault::Lost(share) => write && sim.random() < share,
        _ => CALL_TIMEOUT_MS < 2 * delay + slow || sim.is_lost(store_host, host, u64::MAX),
    };
    let result = {
        let now = Time(sim.now());
        let mut state = sim.state.borrow_mut();
        state.stats.store_calls[usize::from(write)] += 1;
        state.store.expire(now);
        act(&mut state.store, now)
    };
    sim.sleep(if is_lost { CALL_TIMEOUT_MS } else { delay }).await;
    (!is_lost).then_some(result)
}

/// Waits up to `wait` for a change of the head, and returns the last revision seen. Returns `None` if the watch failed. A
/// watch counts as one call.
pub(crate) async fn watch(sim: &Sim, host: usize, seen: Revision, wait: u64) -> Option<Revision> {
    let began = sim.now();
    let latest = |store: &Store| store.changes(layout::HEAD, seen).last().map(|it| it.revision);
    call(sim, host, false, |_, _| ()).await?;
    loop {
        let fault = sim.state.borrow().store_fault;
        let changed = latest(&sim.state.borrow().store).filter(|_| fault != StoreFault::Silent);
        match changed {
            Some(last) if fault != StoreFault::Down => return Some(last),
            _ if fault == StoreFault::Down => return None,
            _ if began + wait < sim.now() => return Some(seen),
            _ => sim.sleep(WATCH_POLL_MS).await,
        }
    }
}

/// Reads the head of the bundle and its revision.
pub(crate) async fn head(sim: &Sim, host: usize) -> Option<(BundleHead, Revision)> {
    let found = call(sim, host, false, |store, _| store.read(&Key::new(layout::HEAD)).cloned());
    let found = found.await??;
    let head = serde_json::from_slice(found.value.as_deref()?).ok()?;
    Some((head, found.revision))
}

pub(crate) async fn cas(
    sim: &Sim,
    host: usize,
    key: Key,
    expected: Option<Revision>,
    value: Option<Vec<u8>>,
    lease: Option<LeaseId>,
) -> Option<Result<Revision, ()>> {
    call(sim, host, true, |store, _| store.cas(&key, expected, value, lease).map_err(|_| ())).await
}

/// Rolls a bundle as an operator does: reads the head, changes the bundle, and writes a new head if nobody else has
/// written one meanwhile.
pub(crate) async fn roll(sim: Sim, what: Roll, operator: u64) {
    let host = 0;
    for _ in 0..MAX_ROLL_ATTEMPTS {
        let Some((head, revision)) = head(&sim, host).await else {
            sim.sleep(CALL_TIMEOUT_MS).await;
            continue;
        };
        let mut bundle = sim
            .state
            .borrow()
            .bundles
            .get(&head)
            .map(|it| (*it.0).clone())
            .expect("the head in the store belongs to a registered bundle");
        bundle.version.0 += 1;
        if let Roll::Drain(name) = &what {
            mark_leaving(&mut bundle, name);
        }
        let next = add_bundle(&sim, bundle, what != Roll::Bad, operator);
        let value = serde_json::to_vec(&next).expect("plain data can be serialised");
        let key = Key::new(layout::HEAD);
        let written = cas(&sim, host, key, Some(revision), Some(value), None).await;
        let rolled = match written {
            Some(written) => written.is_ok(),
            None => self::head(&sim, host).await.is_some_and(|it| it.0 == next),
        };
        if rolled {
            record_roll(&sim, &what, next);
            return;
        }
    }
}

fn mark_leaving(bundle: &mut Bundle, name: &str) {
    for service in bundle.services.values_mut() {
        for (id, backend) in &mut service.backends {
            backend.leaving |= id.as_str() == name;
        }
    }
}

/// Registers a bundle under a digest that differs between operators, and returns its head.
pub(crate) fn add_bundle(
    sim: &Sim,
    bundle: Bundle,
    well_signed: bool,
    operator: u64,
) -> BundleHead {
    let mut digest = [0; 32];
    digest[..8].copy_from_slice(&bundle.version.0.to_be_bytes());
    digest[8..16].copy_from_slice(&operator.to_be_bytes());
    digest[16] = u8::from(well_signed);
    let head = BundleHead { version: bundle.version, digest: Digest::from_bytes(digest) };
    sim.state.borrow_mut().bundles.insert(head, (Arc::new(bundle), well_signed));
    head
}

fn record_roll(sim: &Sim, what: &Roll, head: BundleHead) {
    let now = sim.now();
    let mut state = sim.state.borrow_mut();
    if *what != Roll::Bad {
        state.stats.last_roll = Some((head.version, now));
    }
    if let Roll::Drain(name) = what {
        let host = state.hosts.iter().position(|it| it.name == *name);
        if let Some(server) = host.and_then(|it| state.servers.get_mut(&it)) {
            server.leaving.get_or_insert((now, false));
        }
    }
}

/// Removes VMs from the platform's list.
pub(crate) fn remove_from_vm_list(sim: &Sim, removed: &[usize]) {
    let now = sim.now();
    let mut state = sim.state.borrow_mut();
    let mut list = state.vm_lists.last().map(|it| it.1.clone()).unwrap_or_default();
    list.retain(|it| !removed.iter().any(|host| state.hosts[*host].name == it.vm.as_str()));
    state.vm_lists.push((now, list));
}

/// Updates the platform's list of VMs from the running processes, without the hosts in `removed`.
pub(crate) fn refresh_vm_list(sim: &Sim, removed: &[usize]) {
    let now = sim.now();
    let mut state = sim.state.borrow_mut();
    let mut list = state.vm_lists.last().map(|it| it.1.clone()).unwrap_or_default();
    list.retain(|it| !removed.iter().any(|host| state.hosts[*host].name == it.vm.as_str()));
    for (row, host) in state.hosts.iter().enumerate() {
        let Some(zone) = host.zone.filter(|_| host.process.is_some() && host.name != "store")
        else {
            continue;
        };
        let vm: VmId = host.name.parse().expect("names in a scenario are valid ids");
        list.retain(|it| it.vm != vm);
        let server = state.servers.get(&row);
        let leaving = server.is_some_and(|it| it.leaving.is_some_and(|it| it.1));
        list.push(VmRecord {
            vm,
            zone: sim.zones[zone].0.parse().expect("names in a scenario are valid ids"),
            address: address(row),
            state: if leaving { VmState::Leaving } else { VmState::Live },
            role: if server.is_some() { VmRole::Backend } else { VmRole::Entry },
        });
    }
    state.vm_lists.push((now, list));
}

/// Reads the platform's list of VMs, which lags behind by the scenario's list lag.
pub(crate) async fn vm_list(sim: &Sim, host: usize) -> Option<Vec<VmRecord>> {
    call(sim, host, false, |_, _| ()).await?;
    let state = sim.state.borrow();
    let until = sim.now().saturating_sub(state.list_lag);
    state.vm_lists.iter().rev().find(|it| it.0 <= until).map(|it| it.1.clone())
}
