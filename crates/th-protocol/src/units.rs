//! Sizes, rates, counts and times, each its own type.

use std::{
    fmt,
    num::ParseIntError,
    ops::{Add, AddAssign, Sub},
    str::FromStr,
};

use serde::{Deserialize, Serialize};
use thiserror::Error;

/// The result of reading a unit.
pub(crate) type Result<T, E = UnitError> = std::result::Result<T, E>;

/// Why a text is not a quantity.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
#[error("expected a whole number followed by {unit:?}: {cause}")]
pub struct UnitError {
    /// The unit that the text should end with.
    pub unit: &'static str,
    /// What the number's parser said.
    pub cause: ParseIntError,
}

macro_rules! units {
    ($($(#[$doc:meta])* $name:ident($raw:ty), $unit:literal;)*) => {$(
        $(#[$doc])*
        #[derive(
            Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
        )]
        #[serde(transparent)]
        pub struct $name(pub $raw);

        impl $name {
            /// Nothing.
            pub const ZERO: $name = $name(0);

            /// The sum, or the largest value.
            #[must_use]
            pub const fn plus(self, other: $name) -> $name {
                $name(self.0.saturating_add(other.0))
            }

            /// The difference, or zero.
            #[must_use]
            pub const fn minus(self, other: $name) -> $name {
                $name(self.0.saturating_sub(other.0))
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                write!(f, "{}{}", self.0, $unit)
            }
        }

        impl FromStr for $name {
            type Err = UnitError;

            fn from_str(text: &str) -> Result<Self> {
                let digits = text.strip_suffix($unit).unwrap_or(text);
                let raw = digits.trim_end().parse();
                raw.map($name).map_err(|cause| UnitError { unit: $unit, cause })
            }
        }

        impl Add for $name {
            type Output = $name;

            fn add(self, other: $name) -> $name {
                self.plus(other)
            }
        }

        impl AddAssign for $name {
            fn add_assign(&mut self, other: $name) {
                *self = self.plus(other);
            }
        }

        impl Sub for $name {
            type Output = $name;

            fn sub(self, other: $name) -> $name {
                self.minus(other)
            }
        }
    )*};
}

units! {
    /// A length of time in milliseconds.
    Millis(u64), "ms";
    /// A point in time: milliseconds on a clock that runs while the VM is suspended.
    Time(u64), "ms";
    /// A number of bytes.
    Bytes(u64), "B";
    /// A rate in megabits a second.
    Mbit(u32), "Mbit/s";
    /// Requests that a backend server, or a region, runs at once.
    Slots(u32), "slots";
    /// Open connections.
    Connections(u32), "conns";
    /// Thousandths of a whole.
    Permille(u32), "permille";
    /// The version of a bundle.
    Version(u64), "";
    /// Which start of an entry VM's process this is; a later start has a larger number.
    Incarnation(u64), "";
    /// The revision of a value in the platform's service.
    Revision(u64), "";
    /// One try at dispatching a request.
    AttemptId(u64), "";
}

impl Permille {
    /// The whole.
    pub const WHOLE: Permille = Permille(1000);

    /// This share of `amount`, rounded down.
    pub const fn of(self, amount: u64) -> u64 {
        (amount as u128 * self.0 as u128 / 1000) as u64
    }
}

impl Mbit {
    /// Bytes that the rate carries in one millisecond.
    pub const fn bytes_per_ms(self) -> u64 {
        self.0 as u64 * 125
    }
}

impl Time {
    /// The moment `span` later.
    #[must_use]
    pub const fn after(self, span: Millis) -> Time {
        Time(self.0.saturating_add(span.0))
    }

    /// The moment `span` earlier, or the clock's start.
    #[must_use]
    pub const fn before(self, span: Millis) -> Time {
        Time(self.0.saturating_sub(span.0))
    }

    /// Time from `earlier` until this moment, or zero where `earlier` is later.
    pub const fn since(self, earlier: Time) -> Millis {
        Millis(self.0.saturating_sub(earlier.0))
    }
}
