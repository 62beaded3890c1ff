//! Settings of one process and declarations of the partners, both in checked YAML.
//!
//! Settings stay on a VM and are read once at start. Declarations are kept in version control,
//! applied by operators and agreed on by the control group; see docs/operators/declarations.md.

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
