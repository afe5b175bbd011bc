//! What is kept of one decision.

use std::fmt;

use serde::{Deserialize, Serialize};
use th_protocol::{AttemptId, Millis, Reason, ServiceId, Time};

/// Most inputs kept with one decision.
pub const MAX_INPUTS: usize = 6;

/// What an input measures.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Quantity {
    /// Demand of the service, in slots.
    #[default]
    Demand,
    /// Free slots of the region.
    Headroom,
    /// Busy slots of the region.
    Busy,
    /// Slots decided and not yet measured.
    Pending,
    /// The weight of the choice, from 0 to 1.
    Weight,
    /// Trust in the measurements, from 0 to 1.
    Trust,
    /// Free bytes of the link.
    LinkBytes,
    /// Free slots of the backend server.
    FreeSlots,
    /// Time left until the deadline, in milliseconds.
    TimeLeft,
    /// Requests that wait.
    Waiting,
    /// What is left of the retry budget.
    RetryBudget,
    /// What is left of the cap on shifts, in permille.
    ShiftLeft,
    /// Entry VMs or backend servers that can be used.
    Usable,
}

/// One number that a decision was taken on.
#[derive(Debug, Clone, Copy, Default, PartialEq, Serialize, Deserialize)]
pub struct Input {
    /// What it measures.
    pub name: Quantity,
    /// Its value.
    pub value: f64,
    /// Its age when the decision was taken.
    pub age: Millis,
}

/// Up to [`MAX_INPUTS`] inputs, held in place; more are dropped.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
#[serde(from = "Vec<Input>", into = "Vec<Input>")]
pub struct Inputs {
    cells: [Input; MAX_INPUTS],
    len: u8,
}

impl Inputs {
    /// Appends an input; false where there is no room.
    pub fn push(&mut self, name: Quantity, value: f64, age: Millis) -> bool {
        let Some(cell) = self.cells.get_mut(usize::from(self.len)) else { return false };
        *cell = Input { name, value, age };
        self.len += 1;
        true
    }

    /// The inputs.
    pub fn as_slice(&self) -> &[Input] {
        &self.cells[..usize::from(self.len)]
    }
}

impl From<Vec<Input>> for Inputs {
    fn from(list: Vec<Input>) -> Inputs {
        let mut inputs = Inputs::default();
        for input in list {
            inputs.push(input.name, input.value, input.age);
        }
        inputs
    }
}

impl From<Inputs> for Vec<Input> {
    fn from(inputs: Inputs) -> Vec<Input> {
        inputs.as_slice().to_vec()
    }
}

macro_rules! display_enums {
    ($($(#[$doc:meta])* $name:ident { $($(#[$item:meta])* $case:ident = $text:literal,)* })*) => {$(
        $(#[$doc])*
        #[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
        #[serde(rename_all = "kebab-case")]
        pub enum $name {
            $($(#[$item])* $case,)*
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.pad(match self {
                    $($name::$case => $text,)*
                })
            }
        }
    )*};
}

display_enums! {
    /// The limit that bound a decision.
    Limit {
        /// None: everything asked for was granted.
        None = "no limit",
        /// The region's cap.
        RegionCap = "region cap",
        /// The link's cap.
        LinkCap = "link cap",
        /// The cap on shifts between regions.
        ShiftCap = "shift cap",
        /// Slots of the backend servers.
        BackendSlots = "backend slots",
        /// Connections of the backend servers.
        Connections = "connections",
        /// The queue's bound.
        Queue = "queue",
        /// The customer's fair share.
        FairShare = "fair share",
        /// The deadline.
        Deadline = "deadline",
        /// The retry budget.
        RetryBudget = "retry budget",
        /// The table of tickets.
        Tickets = "tickets",
        /// There is no usable entry VM or backend server.
        Usable = "nothing usable",
    }

    /// The rule that decided.
    Rule {
        /// The nearest region with room.
        Nearest = "nearest region with room",
        /// The next nearest region, since nearer ones are full.
        Spill = "spill to the next nearest region",
        /// The bundle's plan, since measurements are too old.
        StaticPlan = "static plan of the bundle",
        /// The chosen region has no usable entry VM.
        Divert = "diverted: no usable entry VM in the chosen region",
        /// Admission against local shares of the caps.
        Admission = "admission against local shares",
        /// The choice of a backend server.
        BackendChoice = "choice of a backend server",
        /// The order of waiting requests.
        QueueOrder = "order of waiting requests",
        /// A retry or a hedge.
        Retry = "retry",
        /// At most one run per operation.
        AtMostOnce = "at most one run per operation",
        /// A server or entry VM that leaves gets nothing new.
        Drain = "drain",
        /// The step from current to desired weights.
        Shift = "shift of weights",
        /// A bundle was taken or refused.
        Bundle = "bundle",
    }

    /// How a decision ended.
    Outcome {
        /// What was asked for was done.
        Accepted = "accepted",
        /// It was done in part.
        Partial = "partial",
        /// It was refused and not run.
        Refused = "refused, not run",
    }
}

/// The reason of one decision.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Record {
    /// When it was taken.
    pub time: Time,
    /// The service that it concerns.
    pub service: ServiceId,
    /// The request, by the hash of its idempotency key, or by the caller's own number.
    pub request: Option<u64>,
    /// The attempt at dispatching the request.
    pub attempt: Option<AttemptId>,
    /// The numbers that it was taken on.
    pub inputs: Inputs,
    /// The limit that bound.
    pub limit: Limit,
    /// The rule that decided.
    pub rule: Rule,
    /// How it ended.
    pub outcome: Outcome,
    /// The reason that the caller was told, where it was refused.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub reason: Option<Reason>,
}

impl fmt::Display for Record {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "{} {} {}: {}, {}",
            self.time, self.service, self.outcome, self.rule, self.limit
        )?;
        for input in self.inputs.as_slice() {
            write!(f, "; {:?}={:.3} ({} old)", input.name, input.value, input.age)?;
        }
        Ok(())
    }
}
