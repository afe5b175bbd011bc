//! Admission: the order in which requests wait for slots.

mod urgency;
mod waiting;

pub(crate) use waiting::Waiting;
