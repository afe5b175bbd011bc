//! Retries, hedges and deadlines.
