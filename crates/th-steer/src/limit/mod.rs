//! Caps: shares of region and link caps, and the cap on shifts.
