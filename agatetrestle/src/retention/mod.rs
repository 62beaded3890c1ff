//! What stays cached while a program pauses; see docs/design/006-placing-and-retention.md.
