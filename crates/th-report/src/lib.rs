//! Counts service-level events, and reports error budget burn, headroom and drain times.

mod answer;
mod burn;
mod headroom;
mod plot;
mod report;
mod ring;
mod sample;
mod text;
mod tier;
mod window;

pub use answer::{BurnAnswer, Drain, Headroom, Point, Scope, Series};
pub use burn::{Alert, BurnRate, MIN_BUDGET, alert, burn_rate};
pub use plot::{PlotError, plot};
pub use report::{DrainSummary, Report, Row};
pub use ring::{BurnRing, MAX_DRAINS, MAX_SCOPES, MAX_SERIES};
pub use sample::{Count, Measure, Sample};
pub use text::text;
pub use tier::{HISTORY_SLOTS, HISTORY_WIDTH};
pub use window::Window;
