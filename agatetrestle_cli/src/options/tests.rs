//! Tests of the command line and of the manual page and completions that are generated from it.

use bpaf::Args;
use bpaf::doc::Section;

use super::*;

fn parse(args: &[&str]) -> Result<Options, bpaf::ParseFailure> {
    Options::parser().run_inner(Args::from(args).set_name("agatetrestle"))
}

#[test]
fn parses_every_command() {
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
    let commands = lines.map(|line| parse(&line.split(' ').collect::<Vec<_>>()).unwrap().command);
    insta::assert_debug_snapshot!(commands);
}

#[test]
fn accepts_repeated_addresses_and_default() {
    let options = parse(&["--address", "10.0.0.1:7402", "--address", "10.0.0.2:7402", "status"]).unwrap();
    assert_eq!(options.addresses.len(), 2);
    assert_eq!(parse(&["status"]).unwrap().addresses, ["127.0.0.1:7402".parse().unwrap()]);
    let trailing = parse(&["status", "--address", "10.0.0.1:7402", "--output", "json"]).unwrap();
    assert_eq!((trailing.addresses.len(), trailing.format), (1, Format::Json));
}

#[test]
fn rejects_invalid_command_lines() {
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
    let errors = lines.map(|line| {
        let args: Vec<&str> = line.split(' ').filter(|word| !word.is_empty()).collect();
        format!("{line}\n  {}", parse(&args).unwrap_err().unwrap_stderr())
    });
    insta::assert_snapshot!(errors.join("\n"));
}

#[test]
fn help_lists_exit_codes() {
    let help = parse(&["--help"]).unwrap_err().unwrap_stdout();
    insta::assert_snapshot!(help);
}

#[test]
fn manual_page_is_up_to_date() {
    let page = Options::parser().render_manpage("agatetrestle", Section::General, None, None, None);
    let committed = include_str!("../../../extra/man/agatetrestle.1");
    assert_eq!(page, committed, "regenerate it with cargo run -p agatetrestle_cli --example tool_manual");
}

#[test]
fn completions_request_supported_revision() {
    for revision in [7, 8, 9] {
        let args = Args::from(["pro"].as_slice()).set_name("agatetrestle").set_comp(revision);
        let answer = Options::parser().run_inner(args).unwrap_err().unwrap_stdout();
        assert!(answer.contains("programs"), "{revision}: {answer}");
    }
    let scripts = [Shell::Zsh, Shell::Bash, Shell::Fish].map(crate::commands::completions);
    for (script, revision) in scripts.iter().zip([7, 8, 9]) {
        assert!(script.contains(&format!("--bpaf-complete-rev={revision}")), "{script}");
    }
}
