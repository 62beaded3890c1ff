//! Recorded arrivals and outcomes for replay; see docs/TRACE.md.
