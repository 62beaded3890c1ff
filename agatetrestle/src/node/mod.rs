//! The struct that owns a node: its sockets, replicas and loops.
