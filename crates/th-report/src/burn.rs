//! Burn rates of error budgets, and the alerts that follow from them.

use std::{collections::BTreeMap, fmt};

use serde::{Deserialize, Serialize};
use th_protocol::Permille;

use crate::{sample::Count, window::Window};

/// The smallest error budget, which also holds for an objective of 1000 permille.
pub const MIN_BUDGET: Permille = Permille(1);

const FAST_RATE: BurnRate = BurnRate(14.4);
const SLOW_RATE: BurnRate = BurnRate(6.0);

/// The share of bad events divided by the share that the objective allows.
///
/// At 1 the error budget lasts exactly as long as its period.
#[derive(Debug, Clone, Copy, PartialEq, PartialOrd, Serialize, Deserialize)]
#[serde(transparent)]
pub struct BurnRate(pub f64);

impl fmt::Display for BurnRate {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.pad(&format!("{:.2}", self.0))
    }
}

/// Returns the burn rate of `count`, or `None` if there were no events.
pub fn burn_rate(count: Count, objective: Permille) -> Option<BurnRate> {
    if count.total == 0 {
        return None;
    }
    let budget = (Permille::WHOLE - objective).max(MIN_BUDGET);
    let bad = count.total.saturating_sub(count.good) as f64 / count.total as f64;
    Some(BurnRate(bad * 1000.0 / f64::from(budget.0)))
}

/// The alert level of one service and measure.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Alert {
    /// There were no events in the last hour.
    NoData,
    /// No pair of windows has both burn rates at its threshold or above.
    None,
    /// At least 6 over both one hour and six hours: the error budget is used up within days.
    Slow,
    /// At least 14.4 over both five minutes and one hour: the error budget is used up within hours.
    Fast,
}

impl fmt::Display for Alert {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.pad(match self {
            Alert::NoData => "no data",
            Alert::None => "ok",
            Alert::Slow => "SLOW BURN",
            Alert::Fast => "FAST BURN",
        })
    }
}

/// Returns the alert for the burn rates of each window.
///
/// Both windows of a pair have to reach the threshold: the short one shows that the burn still goes
/// on.
pub fn alert(burns: &BTreeMap<Window, BurnRate>) -> Alert {
    let over = |window, rate| burns.get(&window).is_some_and(|it| rate <= *it);
    if over(Window::FiveMinutes, FAST_RATE) && over(Window::Hour, FAST_RATE) {
        return Alert::Fast;
    }
    if over(Window::Hour, SLOW_RATE) && over(Window::SixHours, SLOW_RATE) {
        return Alert::Slow;
    }
    if burns.contains_key(&Window::Hour) { Alert::None } else { Alert::NoData }
}
