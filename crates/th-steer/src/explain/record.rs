//! The record of one decision.

use std::fmt;

use serde::{Deserialize, Serialize};
use th_protocol::{AttemptId, Millis, Reason, ServiceId, Time};

/// Maximum number of inputs recorded with one decision.
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
    /// Slots affected by decisions whose effect is not yet measured.
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
    /// Number of queued requests.
    Waiting,
    /// The rest of the retry budget.
    RetryBudget,
    /// The rest of the cap on shifts, in permille.
    ShiftLeft,
    /// Number of usable entry VMs or backend servers.
    Usable,
}

/// One number that a decision was based on.
#[derive(Debug, Clone, Copy, Default, PartialEq, Serialize, Deserialize)]
pub struct Input {
    /// What the number measures.
    pub name: Quantity,
    /// The value.
    pub value: f64,
    /// The age of the value when the decision was taken.
    pub age: Millis,
}

/// Up to [`MAX_INPUTS`] inputs, stored without allocation. Further ones are dropped.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
#[serde(from = "Vec<Input>", into = "Vec<Input>")]
pub struct Inputs {
    cells: [Input; MAX_INPUTS],
    len: u8,
}

impl Inputs {
    /// Appends an input; returns false if there is no space left.
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
    /// The limit that determined a decision.
    Limit {
        /// No limit applied: the request was granted in full.
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
        /// The maximum length of the queue.
        Queue = "queue",
        /// The fair share of the customer.
        FairShare = "fair share",
        /// The request's deadline.
        Deadline = "deadline",
        /// The retry budget.
        RetryBudget = "retry budget",
        /// The table of tickets.
        Tickets = "tickets",
        /// No entry VM or backend server is usable.
        Usable = "nothing usable",
    }

    /// The rule that a decision followed.
    Rule {
        /// The nearest region with available capacity.
        Nearest = "nearest region with room",
        /// The next nearest region, as nearer ones have no available capacity.
        Spill = "spill to the next nearest region",
        /// The static plan of the bundle, as the measurements are too old.
        StaticPlan = "static plan of the bundle",
        /// Diversion, as the chosen region has no usable entry VM.
        Divert = "diverted: no usable entry VM in the chosen region",
        /// Admission against local shares of the caps.
        Admission = "admission against local shares",
        /// The choice of a backend server.
        BackendChoice = "choice of a backend server",
        /// The order of queued requests.
        QueueOrder = "order of waiting requests",
        /// A retry or a hedge.
        Retry = "retry",
        /// At most one run per operation.
        AtMostOnce = "at most one run per operation",
        /// A leaving backend server or entry VM receives no new requests.
        Drain = "drain",
        /// The gradual change from current to planned weights.
        Shift = "shift of weights",
        /// The bundle in force does not allow the request, or there is none.
        Bundle = "bundle",
    }

    /// The outcome of a decision.
    Outcome {
        /// The request was granted.
        Accepted = "accepted",
        /// The request was granted in part.
        Partial = "partial",
        /// The request was rejected and not run.
        Refused = "refused, not run",
    }
}

/// The reason for one decision.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Record {
    /// When the decision was taken.
    pub time: Time,
    /// The service that the decision is about.
    pub service: ServiceId,
    /// The number of the request: the hash of its idempotency key, or one assigned to a request without a key.
    pub request: Option<u64>,
    /// The attempt that the decision is about.
    pub attempt: Option<AttemptId>,
    /// The numbers that the decision was based on.
    pub inputs: Inputs,
    /// The limit that determined the decision.
    pub limit: Limit,
    /// The rule that the decision followed.
    pub rule: Rule,
    /// The outcome.
    pub outcome: Outcome,
    /// The reason reported to the caller, if the request was rejected.
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
