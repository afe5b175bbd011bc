//! Sizes, rates, counts and times, each as a type of its own.

use std::{
    fmt,
    num::ParseIntError,
    ops::{Add, AddAssign, Sub},
    str::FromStr,
};

use serde::{Deserialize, Serialize};
use thiserror::Error;

/// The result of parsing a quantity.
pub(crate) type Result<T, E = UnitError> = std::result::Result<T, E>;

/// An error from parsing a quantity.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
#[error("expected a whole number followed by {unit:?}: {cause}")]
pub struct UnitError {
    /// The unit that the text should end with.
    pub unit: &'static str,
    /// The error of the number's parser.
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
            /// Zero.
            pub const ZERO: $name = $name(0);

            /// Adds; saturates at the largest value.
            #[must_use]
            pub const fn plus(self, other: $name) -> $name {
                $name(self.0.saturating_add(other.0))
            }

            /// Subtracts; saturates at zero.
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
    /// A rate in megabits per second.
    Mbit(u32), "Mbit/s";
    /// A number of requests that a backend server or a region may run at the same time.
    Slots(u32), "slots";
    /// A number of open connections.
    Connections(u32), "conns";
    /// A share in thousandths.
    Permille(u32), "permille";
    /// The version of a bundle.
    Version(u64), "";
    /// A number that identifies one start of an entry VM's process; a later start has a larger
    /// number.
    Incarnation(u64), "";
    /// How often the platform's service came back from an older copy of its content, plus one; 0 if it states none.
    Era(u64), "";
    /// The revision of a value in the platform's service.
    Revision(u64), "";
    /// The id of one attempt to run a request on a backend server.
    AttemptId(u64), "";
}

impl Permille {
    /// 1000 permille: the full share.
    pub const WHOLE: Permille = Permille(1000);

    /// Returns this share of `amount`, rounded down.
    pub const fn of(self, amount: u64) -> u64 {
        (amount as u128 * self.0 as u128 / 1000) as u64
    }
}

impl Mbit {
    /// Returns the number of bytes transferred per millisecond at this rate.
    pub const fn bytes_per_ms(self) -> u64 {
        self.0 as u64 * 125
    }
}

impl Time {
    /// Returns the time `span` later; saturates at the largest value.
    #[must_use]
    pub const fn after(self, span: Millis) -> Time {
        Time(self.0.saturating_add(span.0))
    }

    /// Returns the time `span` earlier; saturates at the clock's start.
    #[must_use]
    pub const fn before(self, span: Millis) -> Time {
        Time(self.0.saturating_sub(span.0))
    }

    /// Returns the time elapsed since `earlier`, or zero if `earlier` is later than this time.
    pub const fn since(self, earlier: Time) -> Millis {
        Millis(self.0.saturating_sub(earlier.0))
    }
}
