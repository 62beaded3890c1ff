//! Admission: whose call goes next, how many may be in service, and which are turned away; see
//! docs/design/007-partner-isolation.md.

pub mod queue;
pub mod retry;
pub mod tokens;

#[cfg(test)]
mod tests;
