//! Formats a report as text tables.

use std::fmt::{self, Write};

use crate::{report::Report, window::Window};

/// Returns the report as text tables for people to read.
pub fn text(report: &Report) -> String {
    let mut out = String::new();
    // Writing to a string cannot fail.
    let _ = write_all(&mut out, report);
    out
}

fn write_all(out: &mut String, report: &Report) -> fmt::Result {
    write_coverage(out, report)?;
    write_burn(out, report)?;
    write_headroom(out, report)?;
    write_drains(out, report)
}

fn write_coverage(out: &mut String, report: &Report) -> fmt::Result {
    write!(out, "entry VMs that answered: {}", report.vms.len())?;
    if !report.silent.is_empty() {
        write!(out, "; silent: {}", report.silent.join(", "))?;
    }
    write!(out, "\ncounted of each window:")?;
    for (window, share) in &report.coverage {
        write!(out, " {window} {}.{}%", share.0 / 10, share.0 % 10)?;
    }
    if 0 < report.dropped {
        write!(out, "\nsamples without room: {}", report.dropped)?;
    }
    writeln!(out)
}

fn write_burn(out: &mut String, report: &Report) -> fmt::Result {
    writeln!(out, "\nburn rate of the error budget (1.00 spends it exactly)")?;
    write!(out, "{:<24} {:<9} {:>9}", "service", "measure", "objective")?;
    for window in Window::ALL {
        write!(out, " {window:>8}")?;
    }
    writeln!(out, "  alert")?;
    for row in &report.rows {
        let objective = format!("{}.{}%", row.objective.0 / 10, row.objective.0 % 10);
        write!(out, "{:<24} {:<9} {objective:>9}", row.service, row.measure)?;
        for window in Window::ALL {
            match row.burns.get(&window) {
                Some(rate) => write!(out, " {rate:>8}")?,
                None => write!(out, " {:>8}", "-")?,
            }
        }
        writeln!(out, "  {}", row.alert)?;
    }
    if report.rows.is_empty() {
        writeln!(out, "no events were counted")?;
    }
    Ok(())
}

fn write_headroom(out: &mut String, report: &Report) -> fmt::Result {
    writeln!(out, "\nheadroom, as a share of the cap")?;
    writeln!(out, "{:<32} {:>9} {:>9} {:>10}", "of", "low (1h)", "latest", "age")?;
    for it in &report.headroom {
        let low = format!("{}.{}%", it.low.0 / 10, it.low.0 % 10);
        let last = format!("{}.{}%", it.last.0 / 10, it.last.0 % 10);
        let age = format!("{}s", it.age.0 / 1000);
        writeln!(out, "{:<32} {low:>9} {last:>9} {age:>10}", it.scope)?;
    }
    Ok(())
}

fn write_drains(out: &mut String, report: &Report) -> fmt::Result {
    let Some(it) = report.drains else { return writeln!(out, "\ndrains: none") };
    writeln!(out, "\ndrains: {}, p50 {}, longest {}", it.count, it.p50, it.max)
}
