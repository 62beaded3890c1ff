//! Limits, fair share and refusal at the door; see docs/design/007-partner-isolation.md.
