//! Look-ups: which entry VMs a block of clients is sent to.
