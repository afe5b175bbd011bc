//! Admission: the order in which requests wait for slots, and when the callers of rejected ones may come back.

mod comeback;
mod urgency;
mod waiting;

pub(crate) use comeback::comeback_time;
pub(crate) use waiting::Waiting;
