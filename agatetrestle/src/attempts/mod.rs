//! Attempts at calls: connections, timeouts, outcome; see docs/design/009-silent-connections.md.
