//! Command-line parser, from which the help, the manual page and the completions are generated.

use std::net::SocketAddr;
use std::path::PathBuf;

use bpaf::OptionParser;
use bpaf::Parser;
use bpaf::construct;
use bpaf::long;
use bpaf::positional;

use crate::options::Apply;
use crate::options::Command;
use crate::options::Format;
use crate::options::Options;
use crate::options::ReplicaChange;
use crate::options::Replicas;
use crate::options::Resolve;
use crate::options::Shell;

const DEFAULT_PORT: u16 = 7402;
const DEFAULT_MAX_ROWS: u32 = 1_000;
const DEFAULT_INTERVAL_S: u64 = 2;
const DEFAULT_WAIT_S: u64 = 10;

const EXIT_CODES: &str = "Exit codes: 0 done, 1 the output could not be written, 2 usage, 3 the input was refused, \
    4 another change came first, 5 no node accepted it, 6 unknown whether it was accepted, 7 accepted but not yet \
    in force on every node.";

impl Options {
    /// Creates the command-line parser.
    #[must_use]
    pub fn parser() -> OptionParser<Self> {
        let addresses = long("address")
            .help("Address of a node for operators, 127.0.0.1:7402 if none is given; may stand several times, and the next is tried when one doesn't answer")
            .argument::<SocketAddr>("IP:PORT")
            .many()
            .map(or_default_address);
        let format = long("output")
            .help("table (the default) or json")
            .argument::<String>("FORMAT")
            .parse(|name| parse_format(&name))
            .fallback(Format::Table);
        let command = command();
        construct!(Self { addresses, format, command })
            .to_options()
            .version(env!("CARGO_PKG_VERSION"))
            .descr("operates agatetrestle, the scheduler for agent programs")
            .footer(EXIT_CODES)
    }
}

fn or_default_address(addresses: Vec<SocketAddr>) -> Vec<SocketAddr> {
    if addresses.is_empty() { vec![([127, 0, 0, 1], DEFAULT_PORT).into()] } else { addresses }
}

fn parse_format(name: &str) -> Result<Format, &'static str> {
    match name {
        "json" => Ok(Format::Json),
        "table" => Ok(Format::Table),
        _ => Err("expected json or table"),
    }
}

fn parse_shell(name: &str) -> Result<Shell, &'static str> {
    match name {
        "bash" => Ok(Shell::Bash),
        "fish" => Ok(Shell::Fish),
        "zsh" => Ok(Shell::Zsh),
        _ => Err("expected bash, fish or zsh"),
    }
}

fn parse_change(name: &str) -> Result<ReplicaChange, &'static str> {
    match name {
        "add" => Ok(ReplicaChange::Add),
        "promote" => Ok(ReplicaChange::Promote),
        "remove" => Ok(ReplicaChange::Remove),
        _ => Err("expected add, promote or remove"),
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
    let replicas = replicas().to_options().descr("Change who takes part in a group").command("replicas");
    let account = account().to_options().descr("Sum up where requests were lost or late").command("account");
    let completions =
        completions().to_options().descr("Print completions for a shell").command("completions");
    construct!([
        apply,
        plan,
        status,
        programs,
        backends,
        drain,
        config,
        trace,
        resolve,
        replicas,
        account,
        completions
    ])
}

fn scope() -> impl Parser<String> {
    positional::<String>("SCOPE").help("A partner's name, or shared")
}

fn file() -> impl Parser<PathBuf> {
    positional::<PathBuf>("FILE").help("The declarations in YAML")
}

fn limit() -> impl Parser<u32> {
    long("limit").help("Most rows, 1000 if not given").argument::<u32>("N").fallback(DEFAULT_MAX_ROWS)
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
        .fallback(DEFAULT_WAIT_S);
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
    let limit = limit();
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
    let limit = limit();
    construct!(Command::Trace { limit })
}

fn resolve() -> impl Parser<Command> {
    let did_run = long("ran").help("The call ran").req_flag(true);
    let not_run = long("not-run").help("The call did not run").req_flag(false);
    let ran = construct!([did_run, not_run]);
    let note = long("note").help("Why you are sure; it is kept with the call").argument::<String>("TEXT");
    let program = positional::<String>("PROGRAM").help("The program, partner/name");
    let call = positional::<u32>("CALL").help("Number of the call");
    construct!(Resolve { ran, note, program, call }).map(Command::Resolve)
}

fn replicas() -> impl Parser<Command> {
    let group = long("group").help("The group; 0 is the control group").argument::<u32>("N");
    let change = positional::<String>("CHANGE")
        .help("add a node as a learner, promote it once it has caught up, or remove a node")
        .parse(|name| parse_change(&name));
    let node = positional::<u64>("NODE").help("Number of the node");
    construct!(Replicas { group, change, node }).map(Command::Replicas)
}

fn account() -> impl Parser<Command> {
    let span = long("span")
        .help("Seconds that are summed up, 2 if not given")
        .argument::<u64>("S")
        .fallback(DEFAULT_INTERVAL_S);
    let logs =
        positional::<PathBuf>("LOG").help("The log of an entry, or of several together").some("name a log");
    construct!(Command::Account { span, logs })
}

fn completions() -> impl Parser<Command> {
    positional::<String>("SHELL")
        .help("bash, fish or zsh")
        .parse(|name| parse_shell(&name))
        .map(Command::Completions)
}
