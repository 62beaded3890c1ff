//! Choice of the backend server for a call; see docs/design/006-placing-and-retention.md.
