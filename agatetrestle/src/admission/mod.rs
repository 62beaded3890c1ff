//! Admission of calls and programs: fair queuing, limits of prefix cache tokens and retry budgets; see
//! docs/design/007-partner-isolation.md.

pub mod queue;
pub mod retry;
pub mod tokens;

#[cfg(test)]
mod tests;
