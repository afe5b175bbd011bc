//! Fair queues of requests that wait for a slot.

mod flow;
#[expect(clippy::module_inception, reason = "the file is named after its type")]
mod queue;
mod request;
mod settings;
mod turn;

pub use queue::Queue;
pub use request::{Popped, Pushed, QueueId, QueueRejection, QueuedRequest};
pub use settings::{QueueOrder, QueueSettings};
pub(crate) use turn::Turn;
