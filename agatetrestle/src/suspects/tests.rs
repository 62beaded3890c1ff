//! Tests of the record of suspects, of its views, and of what they are worth.

mod record;
mod replay;
