//! RPC for operators; see docs/operators/README.md.
