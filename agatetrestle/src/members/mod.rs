//! Heartbeats, the platform's VM list and leaving; see docs/design/004-members-and-leaving.md.
