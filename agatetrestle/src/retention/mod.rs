//! Retention: what stays in engine memory while a program pauses; see
//! docs/design/006-placing-and-retention.md.

pub mod cache_usage;
pub mod pauses;
