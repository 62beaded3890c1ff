//! Tests of the replicated log: plain cases first, then random schedules under failures.

mod basics;
