//! Replay of recorded traces in virtual time, with a small fake engine.
