//! Requests that wait for a slot, in fair order.
