//! Silence, outliers and ejection of backend servers; see docs/design/008-health.md.
