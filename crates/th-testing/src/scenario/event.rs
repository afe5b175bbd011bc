//! Applies the scripted events, such as faults and rolls, at their times.

use std::rc::Rc;

use super::{
    entry::{self, Entry},
    script::{Event, ReportKind, StoreFault},
    simulation::Sim,
    store,
};

/// Time until the platform has started the replacement of a VM, in milliseconds.
const REPLACE_MS: u64 = 2_000;

/// Returns the hosts that a name stands for: one VM, or all VMs of a data centre or of a region.
fn find_hosts(sim: &Sim, name: &str) -> Vec<usize> {
    let state = sim.state.borrow();
    let mut found = Vec::new();
    for (row, host) in state.hosts.iter().enumerate() {
        let Some(zone) = host.zone.filter(|_| host.name != "store") else {
            continue;
        };
        let (zone, region) = &sim.zones[zone];
        if host.name == name || zone == name || sim.script.regions[*region].name == name {
            found.push(row);
        }
    }
    found
}

/// Returns the rows of the data centres that a name stands for. The store has a row of its own and is included with the
/// data centre that it is in.
fn find_zones(sim: &Sim, name: &str) -> Vec<usize> {
    let mut found = Vec::new();
    for (row, (zone, region)) in sim.zones.iter().enumerate() {
        let has_store = zone == "store" && sim.script.store_zone() == name;
        if zone == name || has_store || sim.script.regions[*region].name == name {
            found.push(row);
        }
    }
    found
}

/// Returns the first name in an event that matches no host, data centre or region of the scenario.
pub(crate) fn unknown_name(sim: &Sim, event: &Event) -> Option<String> {
    let names: Vec<&String> = match event {
        Event::Cut(a, b, _) | Event::Heal(a, b) | Event::Silence(a, b) => vec![a, b],
        Event::Kill(a) | Event::Pause(a) | Event::Resume(a) | Event::Restart(a) => vec![a],
        Event::Replace(a) | Event::Stop(a) | Event::Unlist(a) | Event::Cold(a) => vec![a],
        Event::Shed(a) | Event::Normal(a) | Event::Leave(a) => vec![a],
        Event::Report(a, _) | Event::Clock(a, _) => vec![a],
        Event::Roll(super::script::Roll::Drain(a)) => vec![a],
        Event::Store(_) | Event::Lag(_) | Event::Roll(_) => vec![],
    };
    let known = |it: &String| !find_hosts(sim, it).is_empty() || !find_zones(sim, it).is_empty();
    names.into_iter().find(|it| !known(it)).cloned()
}

/// Returns the event that ends the effect of another one, where there is such an event.
pub(crate) fn inverse(event: &Event) -> Option<Event> {
    Some(match event {
        Event::Kill(it) => Event::Restart(it.clone()),
        Event::Pause(it) => Event::Resume(it.clone()),
        Event::Cut(a, b, _) => Event::Heal(a.clone(), b.clone()),
        Event::Store(_) => Event::Store(StoreFault::Up),
        Event::Report(it, _) => Event::Report(it.clone(), ReportKind::True),
        Event::Cold(it) | Event::Shed(it) => Event::Normal(it.clone()),
        Event::Lag(_) => Event::Lag(th_protocol::Millis::ZERO),
        _ => return None,
    })
}

/// Applies an event to the simulation.
pub(crate) fn apply(sim: &Sim, event: Event) {
    match event {
        Event::Kill(name) => kill(sim, &name),
        Event::Restart(name) => {
            kill(sim, &name);
            find_hosts(sim, &name).into_iter().for_each(|it| restart(sim, it));
            if find_zones(sim, &name).contains(&(sim.zones.len() - 1)) {
                sim.state.borrow_mut().store_fault = StoreFault::Up;
            }
            store::refresh_vm_list(sim, &[]);
        }
        Event::Replace(name) => {
            let removed = find_hosts(sim, &name);
            removed.iter().for_each(|it| sim.end_process(*it, true));
            store::refresh_vm_list(sim, &removed);
            let sim = Rc::clone(sim);
            sim.executor.clone().spawn(0, async move {
                sim.sleep(REPLACE_MS).await;
                for old in removed {
                    let host = sim.state.borrow().hosts[old].clone();
                    let name = format!("{}.new", host.name);
                    restart(&sim, sim.add_host(&name, host.zone, host.region));
                }
                store::refresh_vm_list(&sim, &[]);
            });
        }
        Event::Pause(name) => for_each_process(sim, &name, |it| sim.executor.pause(it)),
        Event::Resume(name) => for_each_process(sim, &name, |it| sim.executor.resume(it)),
        Event::Stop(name) => {
            for host in find_hosts(sim, &name) {
                let process = sim.state.borrow().hosts[host].process;
                let is_entry = sim.state.borrow().entries.contains_key(&host);
                if let Some(process) = process.filter(|_| is_entry) {
                    let entry = Entry { sim: Rc::clone(sim), host, process };
                    entry.clone().spawn(entry.stop());
                }
            }
        }
        Event::Unlist(name) => store::remove_from_vm_list(sim, &find_hosts(sim, &name)),
        Event::Cut(a, b, one_way) => for_each_pair(sim, &a, &b, |cuts, (a, b)| {
            cuts.insert((a, b));
            if !one_way {
                cuts.insert((b, a));
            }
        }),
        Event::Heal(a, b) => for_each_pair(sim, &a, &b, |cuts, (a, b)| {
            cuts.remove(&(a, b));
            cuts.remove(&(b, a));
        }),
        Event::Silence(a, b) => {
            for a in find_hosts(sim, &a) {
                for b in find_hosts(sim, &b) {
                    let now = sim.now();
                    sim.state.borrow_mut().stalled.insert((a.min(b), a.max(b)), now);
                }
            }
        }
        Event::Store(fault) => sim.state.borrow_mut().store_fault = fault,
        Event::Report(name, kind) => for_each_server(sim, &name, |it| it.report = kind),
        Event::Lag(span) => sim.state.borrow_mut().list_lag = span.0,
        Event::Clock(name, jump) => {
            for host in find_hosts(sim, &name) {
                if let Some(it) = sim.state.borrow_mut().entries.get_mut(&host) {
                    it.clock_ahead += jump.0;
                }
            }
        }
        Event::Cold(name) => for_each_server(sim, &name, |it| it.cold_until = u64::MAX),
        Event::Shed(name) => for_each_server(sim, &name, |it| it.shed = true),
        Event::Normal(name) => {
            for_each_server(sim, &name, |it| (it.cold_until, it.shed) = (0, false))
        }
        Event::Leave(name) => {
            let now = sim.now();
            for_each_server(sim, &name, |it| it.leaving = Some((now, true)));
            store::refresh_vm_list(sim, &[]);
        }
        Event::Roll(what) => {
            let operators = if what == super::script::Roll::Race { 2 } else { 1 };
            for operator in 1..=operators {
                let (sim, what) = (Rc::clone(sim), what.clone());
                let id = sim.now() * 2 + operator;
                Rc::clone(&sim.executor).spawn(0, store::roll(sim, what, id));
            }
        }
    }
}

/// Kills processes. With the name of a data centre or region, its machines are lost as well and answer nothing any more.
fn kill(sim: &Sim, name: &str) {
    let hosts = find_hosts(sim, name);
    for host in &hosts {
        let lose_machine = sim.state.borrow().hosts[*host].name != name;
        sim.end_process(*host, lose_machine);
    }
    if find_zones(sim, name).contains(&(sim.zones.len() - 1)) {
        sim.state.borrow_mut().store_fault = StoreFault::Deaf;
    }
}

fn restart(sim: &Sim, host: usize) {
    let server = sim.state.borrow().servers.contains_key(&host);
    if !server {
        entry::boot(sim, host);
        return;
    }
    sim.start_process(host);
    if let Some(it) = sim.state.borrow_mut().servers.get_mut(&host) {
        it.cold_until = sim.now() + super::server::COLD_SPAN_MS;
    }
}

fn for_each_process(sim: &Sim, name: &str, act: impl Fn(u64)) {
    for host in find_hosts(sim, name) {
        let process = sim.state.borrow().hosts[host].process;
        process.into_iter().for_each(&act);
    }
}

fn for_each_server(sim: &Sim, name: &str, act: impl Fn(&mut super::server::Server)) {
    for host in find_hosts(sim, name) {
        sim.state.borrow_mut().servers.get_mut(&host).into_iter().for_each(&act);
    }
}

fn for_each_pair(
    sim: &Sim,
    a: &str,
    b: &str,
    act: impl Fn(&mut std::collections::BTreeSet<(usize, usize)>, (usize, usize)),
) {
    for a in find_zones(sim, a) {
        for b in find_zones(sim, b) {
            if a != b {
                act(&mut sim.state.borrow_mut().cuts, (a, b));
            }
        }
    }
}
