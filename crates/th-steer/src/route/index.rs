//! Row numbers in the routing tables.

use serde::{Deserialize, Serialize};

macro_rules! rows {
    ($($(#[$doc:meta])* $name:ident($raw:ty);)*) => {$(
        $(#[$doc])*
        #[derive(
            Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
        )]
        #[serde(transparent)]
        pub struct $name(pub $raw);

        impl $name {
            /// Returns the row number as an index into a slice.
            pub const fn row(self) -> usize {
                self.0 as usize
            }
        }
    )*};
}

rows! {
    /// A region's row, in the order of the bundle's region ids.
    RegionIx(u16);
    /// A data centre's row, in the order of the bundle's zone ids.
    ZoneIx(u16);
    /// A service's row, in the order of the bundle's service ids.
    ServiceIx(u16);
    /// A class's row, in the order of the bundle's class ids; one more row follows for unknown
    /// blocks.
    ClassIx(u16);
    /// An entry VM's row, in the order of insertion.
    VmIx(u32);
}
