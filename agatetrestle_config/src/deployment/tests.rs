//! Tests of parsing and validating the settings of a deployment's process.

use super::*;

const ENTRY: &str = "
process:
  vm: entry-1
  role: entry
  ip: 10.1.0.30
  peer_port: 7380
  failure_domain: lju-a
  region: lju
listen:
  callers: 10.1.0.30:8149
  readiness: 10.1.0.30:8141
seeds:
  - 10.1.0.34:8144
founding: true
tolerance:
  vms: 1
limits:
  memory_mb: 110
  descriptors: 4100
bounds:
  stop_grace: 8.5s
  address_max_age: 5s
backend_list:
  address: 10.200.0.100:8142
  calls_per_second: 44.0
";

fn parse_error(text: &str) -> String {
    Deployment::parse("process.yaml", text).unwrap_err().to_string()
}

#[test]
fn parses_settings_of_entry() {
    let settings = Deployment::parse("process.yaml", ENTRY).unwrap();
    assert_eq!(settings.process.role, Role::Entry);
    assert_eq!(settings.bounds.stop_grace, Duration::from_millis(8_500));
    assert_eq!(settings.data_folder, None);
}

#[test]
fn requires_the_settings_of_each_role() {
    let control = ENTRY.replace("role: entry", "role: control");
    assert_eq!(parse_error(&control), "process.yaml:1: data_folder: expected a folder, for this role");
    let without_callers = ENTRY.replace("  callers: 10.1.0.30:8149\n", "");
    assert_eq!(
        parse_error(&without_callers),
        "process.yaml:9: listen.callers: expected an address, on an entry"
    );
}

#[test]
fn rejects_unknown_key_and_missing_unit() {
    let unknown = ENTRY.replace("  vms: 1", "  vms: 1\n  racks: 1");
    assert!(parse_error(&unknown).contains("unknown field `racks`"), "{}", parse_error(&unknown));
    let missing_unit = ENTRY.replace("8.5s", "8");
    assert!(parse_error(&missing_unit).contains("line 21"), "{}", parse_error(&missing_unit));
}

/// Guards against sending candidates where the settings do not ask for it, and against accepting misspelt values.
#[test]
fn placement_defaults_to_the_entry() {
    let parse = |text: &str| Deployment::parse("process.yaml", text).unwrap().placement;
    assert_eq!(parse(ENTRY), Placement::Entry);
    assert_eq!(parse(&format!("{ENTRY}placement: entry\n")), Placement::Entry);
    assert_eq!(parse(&format!("{ENTRY}placement: leader\n")), Placement::Leader);
    let message = parse_error(&format!("{ENTRY}placement: leaders\n"));
    assert!(message.contains("unknown variant `leaders`, expected `entry` or `leader`"), "{message}");
}

#[test]
fn cores_are_optional_and_above_zero() {
    let with_cores =
        |cores: &str| ENTRY.replace("  region: lju", &format!("  region: lju\n  cores: {cores}"));
    assert_eq!(Deployment::parse("process.yaml", ENTRY).unwrap().process.cores, None);
    let parsed = Deployment::parse("process.yaml", &with_cores("0.12")).unwrap();
    assert_eq!(parsed.process.cores, Some(0.12));
    for invalid in ["0", "-1", "1001", ".nan", ".inf"] {
        let error = parse_error(&with_cores(invalid));
        assert!(error.contains("process.cores: expected a number from 0.001 to 1000"), "{invalid}: {error}");
    }
}

#[test]
fn allowance_bounds_default_to_no_excess() {
    let with_allowance = |fields: &str| {
        let text = format!("  address_max_age: 5s\n  allowance: {{ {fields} }}");
        ENTRY.replace("  address_max_age: 5s", &text)
    };
    let parse = |text: &str| Deployment::parse("process.yaml", text).unwrap().bounds.allowance;
    let window = Duration::from_secs(5);
    assert_eq!(parse(ENTRY), AllowanceBounds { window, overrun: 0.0, slack: 0 });
    let configured = parse(&with_allowance("window: 2.5s, overrun: 0.1, slack: 20"));
    assert_eq!(configured, AllowanceBounds { window: window / 2, overrun: 0.1, slack: 20 });
    for (invalid, message) in [
        ("window: 0s", "bounds.allowance.window: expected"),
        ("overrun: 1.1", "bounds.allowance.overrun: expected a fraction from 0 to 1"),
        ("overrun: -0.1", "bounds.allowance.overrun: expected a fraction from 0 to 1"),
        ("slack: -1", "expected u32"),
        ("slak: 1", "unknown field `slak`"),
    ] {
        assert!(
            parse_error(&with_allowance(invalid)).contains(message),
            "{invalid}: {}",
            parse_error(&with_allowance(invalid))
        );
    }
}
