//! Tests of the daemon's command line.

use super::*;

fn parse(args: &[&str]) -> Result<Options, bpaf::ParseFailure> {
    Options::parser().run_inner(args)
}

#[test]
fn requires_settings_file() {
    assert!(parse(&["--check"]).is_err());
    let options = parse(&["--config", "node.yaml", "--check"]).unwrap();
    let expected = Options { config: "node.yaml".into(), check: true, bootstrap: false, join: false };
    assert_eq!(options, expected);
}

#[test]
fn refuses_missing_files_without_flags() {
    let missing =
        |flags: &[&str]| parse(&[&["--config", "node.yaml"], flags].concat()).unwrap().missing_files();
    assert_eq!(missing(&[]), MissingFiles::Refuse);
    assert_eq!(missing(&["--bootstrap"]), MissingFiles::Bootstrap);
    assert_eq!(missing(&["--bootstrap", "--join"]), MissingFiles::Join);
}

#[test]
fn rejects_unknown_options() {
    assert!(parse(&["--config", "node.yaml", "--chekc"]).is_err());
}

#[test]
fn help_lists_all_options() {
    let help = parse(&["--help"]).unwrap_err().unwrap_stdout();
    insta::assert_snapshot!(help);
}

#[test]
fn manual_page_is_up_to_date() {
    let page =
        Options::parser().render_manpage("agatetrestled", bpaf::doc::Section::Sysadmin, None, None, None);
    let committed = include_str!("../../../extra/man/agatetrestled.8");
    assert_eq!(page, committed, "regenerate it with cargo run -p agatetrestle --example daemon_manual");
}
