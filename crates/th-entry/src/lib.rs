//! The entry process: listeners, dispatch to backend servers and the tick loop.
