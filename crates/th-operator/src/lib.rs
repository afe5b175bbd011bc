//! What operators do: rolling a bundle and asking entry VMs.
