//! Tests of the command line, of the manual page and of the completions made from it.

use bpaf::Args;
use bpaf::doc::Section;

use super::*;

fn parse(args: &[&str]) -> Result<Options, bpaf::ParseFailure> {
    Options::parser().run_inner(Args::from(args).set_name("agatetrestle"))
}

#[test]
fn every_command_is_read() {
    let lines = [
        "status",
        "programs --partner vrsta --limit 5",
        "backends",
        "drain vm-3",
        "config",
        "config shared",
        "trace --limit 7",
        "plan vrsta vrsta.yaml",
        "apply vrsta vrsta.yaml --expected-version 4 --wait",
        "apply --expected-version 4 --change-id ticket-17 vrsta vrsta.yaml",
        "resolve vrsta/dawn-1 3 --not-run --note seen-in-the-rota",
        "replicas add 4 --group 0",
        "account --span 5 entry-1.log entry-2.log",
        "completions zsh",
    ];
    let read = lines.map(|line| parse(&line.split(' ').collect::<Vec<_>>()).unwrap().command);
    insta::assert_debug_snapshot!(read);
}

#[test]
fn addresses_may_repeat_and_have_a_default() {
    let options = parse(&["--address", "10.0.0.1:7402", "--address", "10.0.0.2:7402", "status"]).unwrap();
    assert_eq!(options.addresses.len(), 2);
    assert_eq!(parse(&["status"]).unwrap().addresses, ["127.0.0.1:7402".parse().unwrap()]);
    let after = parse(&["status", "--address", "10.0.0.1:7402", "--output", "json"]).unwrap();
    assert_eq!((after.addresses.len(), after.format), (1, Format::Json));
}

#[test]
fn wrong_lines_are_refused_with_a_reason() {
    let lines = [
        "",
        "aply vrsta vrsta.yaml",
        "apply vrsta vrsta.yaml",
        "--output xml status",
        "--address node-1:7402 status",
        "resolve vrsta/dawn-1 3 --note x",
        "replicas drop 4 --group 0",
        "completions tcsh",
    ];
    let told = lines.map(|line| {
        let args: Vec<&str> = line.split(' ').filter(|word| !word.is_empty()).collect();
        format!("{line}\n  {}", parse(&args).unwrap_err().unwrap_stderr())
    });
    insta::assert_snapshot!(told.join("\n"));
}

#[test]
fn help_tells_the_exit_codes() {
    let help = parse(&["--help"]).unwrap_err().unwrap_stdout();
    insta::assert_snapshot!(help);
}

#[test]
fn the_manual_page_is_up_to_date() {
    let page = Options::parser().render_manpage("agatetrestle", Section::General, None, None, None);
    let committed = include_str!("../../../extra/man/agatetrestle.1");
    assert_eq!(page, committed, "remake it by cargo run -p agatetrestle_cli --example tool_manual");
}

#[test]
fn the_completions_ask_with_a_revision_that_is_answered() {
    for revision in [7, 8, 9] {
        let args = Args::from(["pro"].as_slice()).set_name("agatetrestle").set_comp(revision);
        let answer = Options::parser().run_inner(args).unwrap_err().unwrap_stdout();
        assert!(answer.contains("programs"), "{revision}: {answer}");
    }
    let stubs = [Shell::Zsh, Shell::Bash, Shell::Fish].map(crate::commands::completions);
    for (stub, revision) in stubs.iter().zip([7, 8, 9]) {
        assert!(stub.contains(&format!("--bpaf-complete-rev={revision}")), "{stub}");
    }
}
