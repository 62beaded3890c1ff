//! Set-up of the logs.
