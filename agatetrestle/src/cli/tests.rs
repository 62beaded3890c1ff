//! Tests of the daemon's command line.

use super::*;

fn parse(args: &[&str]) -> Result<Options, bpaf::ParseFailure> {
    Options::parser().run_inner(args)
}

#[test]
fn the_settings_file_is_required() {
    assert!(parse(&["--check"]).is_err());
    let options = parse(&["--config", "node.yaml", "--check"]).unwrap();
    let expected = Options { config: "node.yaml".into(), check: true, bootstrap: false, join: false };
    assert_eq!(options, expected);
}

#[test]
fn missing_files_are_refused_unless_a_flag_says_otherwise() {
    let missing =
        |flags: &[&str]| parse(&[&["--config", "node.yaml"], flags].concat()).unwrap().missing_files();
    assert_eq!(missing(&[]), MissingFiles::Refuse);
    assert_eq!(missing(&["--bootstrap"]), MissingFiles::Bootstrap);
    assert_eq!(missing(&["--bootstrap", "--join"]), MissingFiles::Join);
}

#[test]
fn an_unknown_option_is_refused() {
    assert!(parse(&["--config", "node.yaml", "--chekc"]).is_err());
}

#[test]
fn help_names_every_option() {
    let help = parse(&["--help"]).unwrap_err().unwrap_stdout();
    insta::assert_snapshot!(help);
}

#[test]
fn the_manual_page_is_up_to_date() {
    let page =
        Options::parser().render_manpage("agatetrestled", bpaf::doc::Section::Sysadmin, None, None, None);
    let committed = include_str!("../../../extra/man/agatetrestled.8");
    assert_eq!(page, committed, "remake it by cargo run -p agatetrestle --example daemon_manual");
}
