//! The daemon's command line.

use std::path::PathBuf;

use bpaf::OptionParser;
use bpaf::Parser;
use bpaf::construct;
use bpaf::long;

use crate::node::replicas::MissingFiles;

/// Command line options of the daemon; everything else is in the settings file.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Options {
    /// Path of the settings file.
    pub config: PathBuf,
    /// Whether to check the settings and exit.
    pub check: bool,
    /// Whether to form new groups where their files are missing.
    pub bootstrap: bool,
    /// Whether to join existing groups where their files are missing.
    pub join: bool,
}

impl Options {
    /// The parser, which also generates the manual page.
    #[must_use]
    pub fn parser() -> OptionParser<Self> {
        let config = long("config")
            .help("Settings of this process, in YAML; docs/operators/settings.md names every key")
            .argument::<PathBuf>("FILE");
        let check = long("check").help("Check the settings and exit: 0 if they can be used, else 1").switch();
        let bootstrap = long("bootstrap")
            .help("Form new groups if their files are missing; only for a new system")
            .switch();
        let join = long("join")
            .help("Join existing groups if their files are missing, as a learner until promoted")
            .switch();
        construct!(Self { config, check, bootstrap, join })
            .to_options()
            .version(env!("CARGO_PKG_VERSION"))
            .descr("scheduler for agent programs: the daemon")
    }

    /// What to do if a group's files are missing. With both flags the node joins, which is the safe choice.
    #[must_use]
    pub fn missing_files(&self) -> MissingFiles {
        match (self.bootstrap, self.join) {
            (_, true) => MissingFiles::Join,
            (true, false) => MissingFiles::Bootstrap,
            (false, false) => MissingFiles::Refuse,
        }
    }

    /// Parses the arguments of the process; exits after printing help, the version or a usage error.
    #[must_use]
    pub fn from_args() -> Self {
        Self::parser().run()
    }
}

#[cfg(test)]
mod tests;
