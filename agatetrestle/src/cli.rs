//! Command line of the daemon.
