//! Settings of an entry process.

mod fields;
mod read;
mod spec;

pub use fields::SettingsFault;
pub use spec::{Keys, Limits, Listen, LogForm, Logs, Pace, Settings, Stop};
