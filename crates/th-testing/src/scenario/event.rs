//! What happens at stated times.

use std::rc::Rc;

use super::{
    entry::{self, Entry},
    script::{Event, ReportKind, StoreFault},
    store,
    world::Sim,
};

/// Time that the platform takes to bring up another VM, in milliseconds.
const REPLACE: u64 = 2_000;

/// Hosts that a name means: a VM, a data centre's, or a region's.
fn hosts(sim: &Sim, name: &str) -> Vec<usize> {
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

/// Data centres that a name means; the store counts as one, and belongs to the one that it is in.
fn zones(sim: &Sim, name: &str) -> Vec<usize> {
    let mut found = Vec::new();
    for (row, (zone, region)) in sim.zones.iter().enumerate() {
        let home = zone == "store" && sim.script.home() == name;
        if zone == name || home || sim.script.regions[*region].name == name {
            found.push(row);
        }
    }
    found
}

/// Names of an event that mean nothing in the scenario.
pub(crate) fn unknown(sim: &Sim, event: &Event) -> Option<String> {
    let names: Vec<&String> = match event {
        Event::Cut(a, b, _) | Event::Heal(a, b) | Event::Silence(a, b) => vec![a, b],
        Event::Kill(a) | Event::Pause(a) | Event::Resume(a) | Event::Restart(a) => vec![a],
        Event::Replace(a) | Event::Stop(a) | Event::Unlist(a) | Event::Cold(a) => vec![a],
        Event::Shed(a) | Event::Normal(a) | Event::Leave(a) => vec![a],
        Event::Report(a, _) | Event::Clock(a, _) => vec![a],
        Event::Roll(super::script::Roll::Drain(a)) => vec![a],
        Event::Store(_) | Event::Lag(_) | Event::Roll(_) => vec![],
    };
    let known = |it: &String| !hosts(sim, it).is_empty() || !zones(sim, it).is_empty();
    names.into_iter().find(|it| !known(it)).cloned()
}

/// The event that ends another one.
pub(crate) fn undo(event: &Event) -> Option<Event> {
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

/// Makes an event happen.
pub(crate) fn happen(sim: &Sim, event: Event) {
    match event {
        Event::Kill(name) => kill(sim, &name),
        Event::Restart(name) => {
            kill(sim, &name);
            hosts(sim, &name).into_iter().for_each(|it| revive(sim, it));
            if zones(sim, &name).contains(&(sim.zones.len() - 1)) {
                sim.state.borrow_mut().fault = StoreFault::Up;
            }
            store::relist(sim, &[]);
        }
        Event::Replace(name) => {
            let gone = hosts(sim, &name);
            gone.iter().for_each(|it| sim.end(*it, true));
            store::relist(sim, &gone);
            let sim = Rc::clone(sim);
            sim.exec.clone().spawn(0, async move {
                sim.sleep(REPLACE).await;
                for old in gone {
                    let host = sim.state.borrow().hosts[old].clone();
                    let name = format!("{}.new", host.name);
                    revive(&sim, sim.add_host(&name, host.zone, host.region));
                }
                store::relist(&sim, &[]);
            });
        }
        Event::Pause(name) => processes(sim, &name, |it| sim.exec.pause(it)),
        Event::Resume(name) => processes(sim, &name, |it| sim.exec.resume(it)),
        Event::Stop(name) => {
            for host in hosts(sim, &name) {
                let process = sim.state.borrow().hosts[host].process;
                let runs = sim.state.borrow().entries.contains_key(&host);
                if let Some(process) = process.filter(|_| runs) {
                    let entry = Entry { sim: Rc::clone(sim), host, process };
                    entry.clone().spawn(entry.stop());
                }
            }
        }
        Event::Unlist(name) => store::relist_without(sim, &hosts(sim, &name)),
        Event::Cut(a, b, one_way) => pairs(sim, &a, &b, |cuts, (a, b)| {
            cuts.insert((a, b));
            if !one_way {
                cuts.insert((b, a));
            }
        }),
        Event::Heal(a, b) => pairs(sim, &a, &b, |cuts, (a, b)| {
            cuts.remove(&(a, b));
            cuts.remove(&(b, a));
        }),
        Event::Silence(a, b) => {
            for a in hosts(sim, &a) {
                for b in hosts(sim, &b) {
                    let now = sim.now();
                    sim.state.borrow_mut().silenced.insert((a.min(b), a.max(b)), now);
                }
            }
        }
        Event::Store(fault) => sim.state.borrow_mut().fault = fault,
        Event::Report(name, kind) => servers(sim, &name, |it| it.report = kind),
        Event::Lag(span) => sim.state.borrow_mut().lag = span.0,
        Event::Clock(name, jump) => {
            for host in hosts(sim, &name) {
                if let Some(it) = sim.state.borrow_mut().entries.get_mut(&host) {
                    it.ahead += jump.0;
                }
            }
        }
        Event::Cold(name) => servers(sim, &name, |it| it.cold = u64::MAX),
        Event::Shed(name) => servers(sim, &name, |it| it.shed = true),
        Event::Normal(name) => servers(sim, &name, |it| (it.cold, it.shed) = (0, false)),
        Event::Leave(name) => {
            let now = sim.now();
            servers(sim, &name, |it| it.leaving = Some((now, true)));
            store::relist(sim, &[]);
        }
        Event::Roll(what) => {
            let operators = if what == super::script::Roll::Race { 2 } else { 1 };
            for operator in 1..=operators {
                let (sim, what) = (Rc::clone(sim), what.clone());
                let id = sim.now() * 2 + operator;
                Rc::clone(&sim.exec).spawn(0, store::roll(sim, what, id));
            }
        }
    }
}

/// Ends processes; where a whole data centre or region is meant, its machines are gone as well.
fn kill(sim: &Sim, name: &str) {
    let hosts = hosts(sim, name);
    for host in &hosts {
        let dark = sim.state.borrow().hosts[*host].name != name;
        sim.end(*host, dark);
    }
    if zones(sim, name).contains(&(sim.zones.len() - 1)) {
        sim.state.borrow_mut().fault = StoreFault::Deaf;
    }
}

fn revive(sim: &Sim, host: usize) {
    let server = sim.state.borrow().servers.contains_key(&host);
    if !server {
        entry::boot(sim, host);
        return;
    }
    sim.start(host);
    if let Some(it) = sim.state.borrow_mut().servers.get_mut(&host) {
        it.cold = sim.now() + super::server::COLD_SPAN;
    }
}

fn processes(sim: &Sim, name: &str, act: impl Fn(u64)) {
    for host in hosts(sim, name) {
        let process = sim.state.borrow().hosts[host].process;
        process.into_iter().for_each(&act);
    }
}

fn servers(sim: &Sim, name: &str, act: impl Fn(&mut super::server::Server)) {
    for host in hosts(sim, name) {
        sim.state.borrow_mut().servers.get_mut(&host).into_iter().for_each(&act);
    }
}

fn pairs(
    sim: &Sim,
    a: &str,
    b: &str,
    act: impl Fn(&mut std::collections::BTreeSet<(usize, usize)>, (usize, usize)),
) {
    for a in zones(sim, a) {
        for b in zones(sim, b) {
            if a != b {
                act(&mut sim.state.borrow_mut().cuts, (a, b));
            }
        }
    }
}
