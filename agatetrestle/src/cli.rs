//! Command line of the daemon.

use std::path::PathBuf;

use bpaf::OptionParser;
use bpaf::Parser;
use bpaf::construct;
use bpaf::long;

use crate::node::replicas::MissingFiles;

/// What the daemon is told on its command line; everything else stands in the settings file.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Options {
    /// The settings file.
    pub config: PathBuf,
    /// Whether to check the settings and exit.
    pub check: bool,
    /// Whether to form new groups where their files are missing.
    pub bootstrap: bool,
    /// Whether to join existing groups where their files are missing.
    pub join: bool,
}

impl Options {
    /// The parser, from which the manual page is made too.
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

    /// What to do where a group's files are missing; both flags together are taken for joining, which
    /// can do no harm.
    #[must_use]
    pub fn missing_files(&self) -> MissingFiles {
        match (self.bootstrap, self.join) {
            (_, true) => MissingFiles::Join,
            (true, false) => MissingFiles::Bootstrap,
            (false, false) => MissingFiles::Refuse,
        }
    }

    /// Reads the process's own arguments; prints help, version or a usage error and exits where asked.
    #[must_use]
    pub fn from_args() -> Self {
        Self::parser().run()
    }
}

#[cfg(test)]
mod tests;
