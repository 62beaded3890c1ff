//! Retention of prompt prefixes in engine caches while a program pauses; see
//! docs/design/006-placing-and-retention.md.

pub mod cache_usage;
pub mod pauses;
