//! The ledger itself, a pure state machine.
