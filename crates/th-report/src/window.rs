//! The time windows of a report.

use std::fmt;

use serde::{Deserialize, Serialize};
use th_protocol::Millis;

/// A time window that ends now.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum Window {
    /// Five minutes.
    #[serde(rename = "5m")]
    FiveMinutes,
    /// One hour.
    #[serde(rename = "1h")]
    Hour,
    /// Six hours.
    #[serde(rename = "6h")]
    SixHours,
    /// Three days.
    #[serde(rename = "3d")]
    ThreeDays,
}

impl Window {
    /// Every window, the shortest first.
    pub const ALL: [Window; 4] =
        [Window::FiveMinutes, Window::Hour, Window::SixHours, Window::ThreeDays];

    /// Returns the length of the window.
    pub const fn length(self) -> Millis {
        const MINUTE: u64 = 60_000;
        Millis(match self {
            Window::FiveMinutes => 5 * MINUTE,
            Window::Hour => 60 * MINUTE,
            Window::SixHours => 6 * 60 * MINUTE,
            Window::ThreeDays => 3 * 24 * 60 * MINUTE,
        })
    }
}

impl fmt::Display for Window {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.pad(match self {
            Window::FiveMinutes => "5m",
            Window::Hour => "1h",
            Window::SixHours => "6h",
            Window::ThreeDays => "3d",
        })
    }
}
