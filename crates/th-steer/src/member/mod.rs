//! Membership of entry VMs and the spread of bundles among them.
