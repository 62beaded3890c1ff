//! Settings of one process and declarations of the partners, parsed from YAML and validated.
//!
//! Settings are local to a VM. Declarations are kept in version control, applied by operators and replicated by the
//! control group; see docs/operators/declarations.md.

mod check;
pub mod declarations;
pub mod deployment;
pub mod error;
pub mod settings;
pub mod units;

pub use declarations::Declarations;
pub use deployment::Deployment;
pub use error::ConfigError;
pub use settings::Settings;
