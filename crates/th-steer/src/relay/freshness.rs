//! The time at which the store had no changes beyond an answer, by the clock of the VM that asked.
//!
//! Handles a process that was frozen in the middle of a call, and answers that arrive late: when an answer is read says
//! nothing about what the store has since. The times are lower bounds, so that what is known never seems newer than it is.

use th_protocol::{Millis, Time};

/// The time that a complete answer to a watch proves. Without changes the store had none until the end of the wait, which began
/// when the call arrived there, or later; otherwise it answered at some time after the start.
pub fn watch_time(started: Time, wait: Millis, answered: Time, has_changes: bool) -> Time {
    let end = started.after(wait);
    if has_changes || answered < end { started } else { end }
}

/// The time that an answer of another VM proves, which took `held` from the arrival of the question to its answer and whose
/// knowledge was `age` old then. The ways there and back count as age.
pub fn relayed_time(started: Time, held: Millis, age: Millis, answered: Time) -> Time {
    let taken = held.min(answered.since(started));
    started.after(taken).before(age)
}
