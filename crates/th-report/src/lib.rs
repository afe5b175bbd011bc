//! Reports on service-level burn, headroom and drain time.
