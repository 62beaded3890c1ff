//! Names of the platform's wire, read from the adapter and the project's stand-ins when this program is built.

const HEADERS: &str = include_str!("../../../platform/src/headers.rs");
const ADAPTER: &str = include_str!("../../../platform/src/lib.rs");
const OPERATOR: &str = include_str!("../../../platform/src/operator.rs");
const TABLE: &str = include_str!("../../../platform/src/table.rs");
const LIST: &str = include_str!("../../../platform/src/list.rs");
const LIST_STANDIN: &str = include_str!("../../../platform/tests/standin/instance_list.rs");

/// The value of a string constant of the adapter's headers.
pub fn header(constant: &str) -> &'static str {
    let start = format!("const {constant}: &str = \"");
    let at = HEADERS.find(&start).expect("the adapter has the constant") + start.len();
    let rest = &HEADERS[at..];
    &rest[..rest.find('"').expect("the constant ends")]
}

/// The first name in a source that starts so.
fn name(source: &'static str, start: &str) -> &'static str {
    let at = source.find(start).expect("the source has the name");
    let rest = &source[at..];
    let is_part = |c: char| c.is_ascii_alphanumeric() || "_./".contains(c);
    &rest[..rest.find(|c| !is_part(c)).unwrap_or(rest.len())]
}

/// Environment variable with the path of a process's settings.
pub fn settings_variable() -> &'static str {
    let start = "const SETTINGS: &str = \"";
    let at = ADAPTER.find(start).expect("the adapter has the constant") + start.len();
    name(&ADAPTER[at..], "")
}

/// Path of the readiness probe.
pub fn readiness_path() -> &'static str {
    name(ADAPTER, "/api/rea")
}

/// Path of the call that replaces the desired state.
pub fn replace_path() -> String {
    format!("/api/{}", name(OPERATOR, "Configuration.Rep"))
}

/// Path of the call that reads the desired state.
pub fn read_path() -> String {
    format!("/api/{}", name(OPERATOR, "Configuration.Rea"))
}

/// Names of the fields of a route and of the list of servers.
pub struct Fields {
    pub prefix: &'static str,
    pub kind: &'static str,
    pub objective: &'static str,
    pub next: &'static str,
    pub cold: &'static str,
}

pub fn fields() -> Fields {
    Fields {
        prefix: name(TABLE, "path_"),
        kind: name(TABLE, "route_k"),
        objective: name(TABLE, "target_l"),
        next: name(LIST, "next_t"),
        cold: name(LIST_STANDIN, "cold_"),
    }
}
