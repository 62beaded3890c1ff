//! HTTP for callers; see docs/design/010-addresses-without-a-balancer.md.
