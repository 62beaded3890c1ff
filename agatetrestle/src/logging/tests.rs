//! Tests of the log lines.

use log::Level;

use super::*;

fn line(format: FormatFunction, target: &str) -> String {
    let mut buf = Vec::new();
    let args = format_args!("A \"quoted\" name.");
    let record = Record::builder().level(Level::Warn).target(target).args(args).build();
    format(&mut buf, &mut DeferredNow::new(), &record).unwrap();
    String::from_utf8(buf).unwrap()
}

#[test]
fn the_prefix_is_the_part_that_the_target_names() {
    assert_eq!(part("agatetrestle::agreement::driver"), "agreement");
    assert_eq!(part("agatetrestle::logging"), "logging");
    assert_eq!(part("agatetrestle"), "agatetrestle");
    assert_eq!(part("capnp_rpc::rpc"), "capnp_rpc");
}

#[test]
fn a_text_line_holds_level_prefix_and_sentence() {
    let line = line(text_line, "agatetrestle::members::beat");
    assert!(line.ends_with(" WARN  members: A \"quoted\" name."), "{line}");
}

#[test]
fn a_json_line_is_one_object() {
    let line = line(json_line, "agatetrestle::entry");
    let value: serde_json::Value = serde_json::from_str(&line).unwrap();
    assert_eq!(value["part"], "entry");
    assert_eq!(value["level"], "WARN");
    assert_eq!(value["message"], "A \"quoted\" name.");
    assert!(value["time"].as_str().unwrap().ends_with('Z'));
}

#[test]
fn a_wrong_level_is_a_typed_error() {
    let logging = Logging { level: "info, agatetrestle::entry=loud".into(), ..Logging::default() };
    assert!(matches!(init(&logging), Err(LoggingError::Level { .. })));
}
