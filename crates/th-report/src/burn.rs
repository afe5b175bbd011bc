//! How fast an error budget is spent.

use std::{collections::BTreeMap, fmt};

use serde::{Deserialize, Serialize};
use th_protocol::Permille;

use crate::{sample::Count, window::Window};

/// The smallest error budget: an objective of 1000 permille still gets this.
pub const MIN_BUDGET: Permille = Permille(1);

const FAST_RATE: BurnRate = BurnRate(14.4);
const SLOW_RATE: BurnRate = BurnRate(6.0);

/// Share of bad events over the share that the objective allows: at 1 the error budget lasts
/// exactly as long as its period.
#[derive(Debug, Clone, Copy, PartialEq, PartialOrd, Serialize, Deserialize)]
#[serde(transparent)]
pub struct BurnRate(pub f64);

impl fmt::Display for BurnRate {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.pad(&format!("{:.2}", self.0))
    }
}

/// The burn rate of `count`; none where there were no events.
pub fn burn_rate(count: Count, objective: Permille) -> Option<BurnRate> {
    if count.total == 0 {
        return None;
    }
    let budget = (Permille::WHOLE - objective).max(MIN_BUDGET);
    let bad = count.total.saturating_sub(count.good) as f64 / count.total as f64;
    Some(BurnRate(bad * 1000.0 / f64::from(budget.0)))
}

/// What a series of burn rates calls for.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Alert {
    /// There were no events in the last hour.
    NoData,
    /// The budget lasts.
    None,
    /// At least 6 over both one hour and six hours: the budget is gone within days.
    Slow,
    /// At least 14.4 over both five minutes and one hour: the budget is gone within hours.
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

/// The alert that `burns` call for: the short window of a pair shows that it still goes on.
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
