//! Tests of the validation of declarations.

use std::fmt::Write;

use super::*;

const SERVER_FIELDS: &str = "address: '10.0.0.1:1', vm: v, failure_domain: d";

fn errors(scope: &str, documents: &[&str]) -> String {
    let mut text = String::new();
    for document in documents {
        let document = format!("format: 1\n{document}").replace("SERVER", SERVER_FIELDS);
        let error = Declarations::parse(scope, &document).unwrap_err();
        writeln!(text, "{error}").unwrap();
    }
    text
}

#[test]
fn names_line_and_key_of_invalid_declaration() {
    insta::assert_snapshot!(errors(
        "vrsta",
        &[
            "shares: { vrsta: 1 }",
            "weight_store: { rate: 1B }",
            "teams:\n  dawn:\n    weight: 0",
            "teams: { 'a b': {} }",
            "classes:\n  x: { priority: 1, budget: 0 }",
            "classes:\n  x: { priority: 1, budget: 1, turns: 0 }",
            "classes:\n  x: { priority: 1, budget: 1, keepalive: 0s }",
            "classes:\n  x: { priority: 1, budget: 1, deadline: 5 }",
            "classes:\n  x: { priority: 300, budget: 1 }",
            "services:\n  rota: { timeout: 0s }",
            "models:\n  m: { weights: 12 }",
            "backend_servers:\n  a: { kind: robot, serves: rota, SERVER }",
            "backend_servers:\n  a: { kind: service, serves: rota, slots: 0, SERVER }",
            "backend_servers:\n  a: { kind: service, serves: r, address: 'a:1', vm: v, failure_domain: d }",
            "backend_servers:\n  a: { kind: service, serves: r, address: '0.0.0.0:1', vm: v, failure_domain: d }",
            "services: { r: {} }\nbackend_servers:\n  a: { kind: service, serves: r, SERVER }\n  \
             b: { kind: service, serves: r, SERVER }",
            "teem: {}",
        ]
    ));
}

#[test]
fn requires_shared_document_to_declare_what_its_servers_serve() {
    insta::assert_snapshot!(errors(
        "shared",
        &[
            "teams: { dawn: {} }",
            "shares: { vrsta: 0 }",
            "backend_servers:\n  a: { kind: service, serves: rota, SERVER }",
            "services: { m: {} }\nbackend_servers:\n  a: { kind: engine, serves: m, SERVER }",
        ]
    ));
}

#[test]
fn accepts_server_of_model_in_shared_document() {
    let shared = Declarations::parse("shared", "format: 1\nmodels: { m: { weights: 1B } }").unwrap();
    let text = |model: &str| {
        format!("format: 1\nbackend_servers:\n  a: {{ kind: engine, serves: {model}, {SERVER_FIELDS} }}")
    };
    assert!(Declarations::parse_with_shared("vrsta", &text("m"), Some(&shared)).is_ok());
    assert!(Declarations::parse_with_shared("vrsta", &text("n"), Some(&shared)).is_err());
    assert!(
        Declarations::parse("vrsta", &text("n")).is_ok(),
        "without the shared document this can't be checked"
    );
}

#[test]
fn parses_stored_document_without_validation() {
    let stored = "format: 1\nclasses: { x: { priority: 1, budget: 0 } }";
    assert!(Declarations::parse("vrsta", stored).is_err());
    assert_eq!(Declarations::parse_unchecked("vrsta", stored).unwrap().classes.len(), 1);
}
