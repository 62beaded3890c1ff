//! The command line, from which help, manual page and completions are made.

use std::net::SocketAddr;
use std::path::PathBuf;

use bpaf::OptionParser;
use bpaf::Parser;
use bpaf::construct;
use bpaf::long;
use bpaf::positional;

const DEFAULT_PORT: u16 = 7402;
const DEFAULT_ROWS: u32 = 1_000;
const DEFAULT_WAIT: u64 = 10;

const EXIT_CODES: &str = "Exit codes: 0 done, 1 the output could not be written, 2 usage, 3 the input was refused, \
    4 another change came first, 5 no node accepted it, 6 unknown whether it was accepted, 7 accepted but not yet \
    in force on every node.";

/// Form of the output.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Format {
    /// JSON for programs.
    Json,
    /// Tables for people.
    Table,
}

/// The whole command line.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Options {
    /// Addresses of nodes for operators, tried in this order.
    pub addresses: Vec<SocketAddr>,
    /// Form of the output.
    pub format: Format,
    /// What to do.
    pub command: Command,
}

/// What to do.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Command {
    /// Offer a change.
    Apply(Apply),
    /// Ask what a change would do.
    Plan {
        /// The document.
        scope: String,
        /// File with the declarations.
        file: PathBuf,
    },
    /// Show nodes and groups.
    Status,
    /// List programs.
    Programs {
        /// Only this partner's; empty for all.
        partner: String,
        /// Most rows.
        limit: u32,
    },
    /// List backend servers.
    Backends,
    /// Mark as leaving.
    Drain {
        /// VM or backend server.
        name: String,
    },
    /// Show what is in force.
    Config {
        /// Only this document, as plain text.
        scope: Option<String>,
    },
    /// Print trace lines.
    Trace {
        /// Most lines.
        limit: u32,
    },
    /// Settle a call of unknown outcome.
    Resolve(Resolve),
    /// Print the completions of a shell.
    Completions(Shell),
}

/// Arguments of `apply`.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Apply {
    /// Version that the operator saw.
    pub expected_version: u64,
    /// Identity of the change, if not the derived one.
    pub change_id: Option<String>,
    /// Whether to wait until it is in force everywhere.
    pub wait: bool,
    /// How long to wait, in seconds.
    pub wait_seconds: u64,
    /// The document.
    pub scope: String,
    /// File with the declarations.
    pub file: PathBuf,
}

/// Arguments of `resolve`.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Resolve {
    /// Whether the call ran.
    pub ran: bool,
    /// Why the operator is sure.
    pub note: String,
    /// The program, `partner/name`.
    pub program: String,
    /// Number of the call.
    pub call: u32,
}

/// A shell that completions are made for.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Shell {
    /// GNU Bash.
    Bash,
    /// The friendly interactive shell.
    Fish,
    /// The Z shell.
    Zsh,
}

impl Options {
    /// The parser.
    #[must_use]
    pub fn parser() -> OptionParser<Self> {
        let addresses = long("address")
            .help("Address of a node for operators, 127.0.0.1:7402 if none is given; may stand several times, and the next is tried when one doesn't answer")
            .argument::<SocketAddr>("IP:PORT")
            .many()
            .map(or_local);
        let format = long("output")
            .help("table (the default) or json")
            .argument::<String>("FORMAT")
            .parse(|name| read_format(&name))
            .fallback(Format::Table);
        let command = command();
        construct!(Self { addresses, format, command })
            .to_options()
            .version(env!("CARGO_PKG_VERSION"))
            .descr("operates agatetrestle, the scheduler for agent programs")
            .footer(EXIT_CODES)
    }
}

fn or_local(addresses: Vec<SocketAddr>) -> Vec<SocketAddr> {
    if addresses.is_empty() { vec![([127, 0, 0, 1], DEFAULT_PORT).into()] } else { addresses }
}

fn read_format(name: &str) -> Result<Format, &'static str> {
    match name {
        "json" => Ok(Format::Json),
        "table" => Ok(Format::Table),
        _ => Err("expected json or table"),
    }
}

fn read_shell(name: &str) -> Result<Shell, &'static str> {
    match name {
        "bash" => Ok(Shell::Bash),
        "fish" => Ok(Shell::Fish),
        "zsh" => Ok(Shell::Zsh),
        _ => Err("expected bash, fish or zsh"),
    }
}

fn command() -> impl Parser<Command> {
    let apply = apply().to_options().descr("Offer a change of a document").command("apply");
    let plan = plan().to_options().descr("Show what a change would do").command("plan");
    let status = bpaf::pure(Command::Status)
        .to_options()
        .descr("Show the nodes and the groups as one node sees them")
        .command("status");
    let programs = programs().to_options().descr("List programs").command("programs");
    let backends = bpaf::pure(Command::Backends)
        .to_options()
        .descr("List backend servers as one node sees them")
        .command("backends");
    let drain = drain().to_options().descr("Mark a VM or backend server as leaving").command("drain");
    let config = config().to_options().descr("Show what is in force").command("config");
    let trace = trace().to_options().descr("Print the newest trace lines of one node").command("trace");
    let resolve = resolve().to_options().descr("Settle a call of unknown outcome").command("resolve");
    let completions =
        completions().to_options().descr("Print completions for a shell").command("completions");
    construct!([apply, plan, status, programs, backends, drain, config, trace, resolve, completions])
}

fn scope() -> impl Parser<String> {
    positional::<String>("SCOPE").help("A partner's name, or shared")
}

fn file() -> impl Parser<PathBuf> {
    positional::<PathBuf>("FILE").help("The declarations in YAML")
}

fn rows() -> impl Parser<u32> {
    long("limit").help("Most rows, 1000 if not given").argument::<u32>("N").fallback(DEFAULT_ROWS)
}

fn apply() -> impl Parser<Command> {
    let expected_version = long("expected-version")
        .help("Version in force that this change starts from, 0 for a new document")
        .argument::<u64>("N");
    let change_id = long("change-id")
        .help("Identity of the change; if not given it is derived from scope, version and text, so that a plain rerun is harmless")
        .argument::<String>("ID")
        .optional();
    let wait = long("wait").help("Wait until every node has the change in force").switch();
    let wait_seconds = long("wait-seconds")
        .help("How long to wait, 10 if not given")
        .argument::<u64>("N")
        .fallback(DEFAULT_WAIT);
    let scope = scope();
    let file = file();
    construct!(Apply { expected_version, change_id, wait, wait_seconds, scope, file }).map(Command::Apply)
}

fn plan() -> impl Parser<Command> {
    let scope = scope();
    let file = file();
    construct!(Command::Plan { scope, file })
}

fn programs() -> impl Parser<Command> {
    let partner =
        long("partner").help("Only this partner's programs").argument::<String>("P").fallback(String::new());
    let limit = rows();
    construct!(Command::Programs { partner, limit })
}

fn drain() -> impl Parser<Command> {
    let name = positional::<String>("NAME").help("Name of the VM or backend server");
    construct!(Command::Drain { name })
}

fn config() -> impl Parser<Command> {
    let scope = positional::<String>("SCOPE").help("Print only this document, as it was applied").optional();
    construct!(Command::Config { scope })
}

fn trace() -> impl Parser<Command> {
    let limit = rows();
    construct!(Command::Trace { limit })
}

fn resolve() -> impl Parser<Command> {
    let yes = long("ran").help("The call ran").req_flag(true);
    let no = long("not-run").help("The call did not run").req_flag(false);
    let ran = construct!([yes, no]);
    let note = long("note").help("Why you are sure; it is kept with the call").argument::<String>("TEXT");
    let program = positional::<String>("PROGRAM").help("The program, partner/name");
    let call = positional::<u32>("CALL").help("Number of the call");
    construct!(Resolve { ran, note, program, call }).map(Command::Resolve)
}

fn completions() -> impl Parser<Command> {
    positional::<String>("SHELL")
        .help("bash, fish or zsh")
        .parse(|name| read_shell(&name))
        .map(Command::Completions)
}

#[cfg(test)]
mod tests;
