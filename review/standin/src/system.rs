//! The processes of a small deployment, as the deploy file starts them, on loopback addresses.

use std::collections::BTreeMap;
use std::fmt::Write as _;
use std::net::Ipv4Addr;
use std::net::SocketAddrV4;
use std::net::TcpListener;
use std::path::PathBuf;
use std::process::Child;
use std::process::Command;
use std::process::Stdio;
use std::sync::Mutex;
use std::time::Duration;
use std::time::Instant;

use crate::http;
use crate::wire;

/// Longest time until the deployment serves.
const START_LIMIT: Duration = Duration::from_secs(30);
const POLL_INTERVAL: Duration = Duration::from_millis(50);
const CALL_LIMIT: Duration = Duration::from_secs(2);

/// The processes that were started and have not been ended.
static CHILDREN: Mutex<Vec<Child>> = Mutex::new(Vec::new());

/// Ends all processes.
pub fn end_all() {
    for mut child in CHILDREN.lock().unwrap_or_else(std::sync::PoisonError::into_inner).drain(..) {
        let _ = child.kill();
        let _ = child.wait();
    }
}

/// Numbers of the machines: control, stores, entries.
const CONTROL: std::ops::RangeInclusive<u8> = 1..=3;
const STORES: std::ops::RangeInclusive<u8> = 4..=6;
const ENTRIES: std::ops::RangeInclusive<u8> = 7..=8;

/// A deployment of three control replicas, three stores and two entries.
pub struct System {
    folder: PathBuf,
    subnet: (u8, u8),
    /// For callers, readiness, operators, directory and peers.
    ports: [u16; 5],
    list: SocketAddrV4,
}

impl System {
    /// Starts all processes with empty disks.
    pub fn start(list: SocketAddrV4) -> Self {
        let probes: Vec<TcpListener> =
            (0..5).map(|_| TcpListener::bind("127.0.0.1:0").expect("loopback can be bound")).collect();
        let port = |index: usize| probes[index].local_addr().expect("it is bound").port();
        let ports = [port(0), port(1), port(2), port(3), port(4)];
        drop(probes);
        let id = std::process::id();
        let folder = std::env::temp_dir().join(format!("agatetrestle-review-{id}"));
        std::fs::create_dir_all(&folder).expect("the temporary folder can be written");
        let subnet = (200 + u8::try_from(id / 250 % 50).unwrap_or(0), u8::try_from(id % 250).unwrap_or(0));
        let system = Self { folder, subnet, ports, list };
        for (role, numbers) in [("control", CONTROL), ("store", STORES), ("entry", ENTRIES)] {
            for number in numbers {
                system.start_process(role, number, true);
            }
        }
        system
    }

    fn ip(&self, number: u8) -> Ipv4Addr {
        Ipv4Addr::new(127, self.subnet.0, self.subnet.1, number)
    }

    fn address(&self, number: u8, port: usize) -> SocketAddrV4 {
        SocketAddrV4::new(self.ip(number), self.ports[port])
    }

    /// Addresses for callers.
    pub fn entries(&self) -> Vec<SocketAddrV4> {
        ENTRIES.map(|number| self.address(number, 0)).collect()
    }

    /// Addresses for operators.
    pub fn operators(&self) -> Vec<SocketAddrV4> {
        CONTROL.map(|number| self.address(number, 2)).collect()
    }

    pub fn start_process(&self, role: &str, number: u8, founding: bool) {
        let settings = self.folder.join(format!("{number}.yaml"));
        std::fs::write(&settings, self.settings(role, number, founding)).expect("the folder can be written");
        let log = std::fs::File::options()
            .create(true)
            .append(true)
            .open(self.folder.join(format!("{number}.log")))
            .expect("the folder can be written");
        // The command of the deploy file.
        let child = Command::new("target/release/agatetrestle-process")
            .env(wire::settings_variable(), settings)
            .stdin(Stdio::null())
            .stdout(log.try_clone().expect("the log can be shared"))
            .stderr(log)
            .spawn()
            .expect("the build of the deploy file is there");
        CHILDREN.lock().expect("no thread panics").push(child);
    }

    /// The settings of a process, from the template of the deploy file.
    fn settings(&self, role: &str, number: u8, founding: bool) -> String {
        let template = std::fs::read_to_string("deploy/settings.yaml").expect("the template is there");
        let seeds: Vec<String> = CONTROL.map(|number| self.address(number, 2).to_string()).collect();
        let mut values: BTreeMap<&str, String> = BTreeMap::new();
        let mut set = |key, value: String| values.insert(key, value);
        set("node_name", format!("vm-{number}"));
        set("role", role.into());
        set("ip", self.ip(number).to_string());
        set("internal_ports.0", self.ports[4].to_string());
        set("zone", format!("zone-{}", number % 3));
        set("region", "region".into());
        set("seeds", seeds.join(","));
        set("bootstrap", founding.to_string());
        set("fault_tolerance.machines", "1".into());
        set("limits.memory_mb", if role == "entry" { "110" } else { "256" }.into());
        set("limits.file_descriptors", "4100".into());
        set("bounds.grace_s", "8".into());
        set("bounds.ttl_max_s", "5".into());
        set("cloud.address", self.list.to_string());
        set("cloud.rate_per_s", "44.0".into());
        match role {
            "entry" => {
                set("listen.frontend", self.address(number, 0).to_string());
                set("listen.readiness", self.address(number, 1).to_string());
            }
            "control" => {
                set("listen.control_plane", self.address(number, 2).to_string());
                set("listen.directory", self.address(number, 3).to_string());
            }
            _ => {}
        }
        if role != "entry" {
            let data = self.folder.join(format!("data-{number}"));
            std::fs::create_dir_all(&data).expect("the folder can be written");
            set("data_dir", data.display().to_string());
        }
        render(&template, &values)
    }

    /// Sends a desired state to each control replica in turn until one answers it with a 2xx or 4xx.
    pub fn publish(&self, text: &[u8]) -> u16 {
        let started = Instant::now();
        let path = wire::replace_path();
        while started.elapsed() < START_LIMIT {
            for operators in self.operators() {
                let answer = http::send(operators, "POST", &path, &[], text, CALL_LIMIT);
                if (200..500).contains(&answer.status) {
                    return answer.status;
                }
            }
            std::thread::sleep(POLL_INTERVAL);
        }
        0
    }

    /// Waits until both entries are ready.
    pub fn wait_until_ready(&self) -> bool {
        let started = Instant::now();
        let ready = |number| {
            let address = self.address(number, 1);
            http::send(address, "GET", wire::readiness_path(), &[], b"", CALL_LIMIT).status == 200
        };
        while started.elapsed() < START_LIMIT {
            if ENTRIES.into_iter().all(ready) {
                return true;
            }
            std::thread::sleep(POLL_INTERVAL);
        }
        false
    }
}

impl Drop for System {
    fn drop(&mut self) {
        end_all();
        if std::env::var_os("KEEP").is_none() {
            let _ = std::fs::remove_dir_all(&self.folder);
        } else {
            eprintln!("logs: {}", self.folder.display());
        }
    }
}

/// Fills in a template with values: `{{name}}`, and sections that stand only if their value does.
fn render(template: &str, values: &BTreeMap<&str, String>) -> String {
    let mut text = String::new();
    let mut skipped: Option<String> = None;
    let mut rest = template;
    while let Some(start) = rest.find("{{") {
        let end = rest[start..].find("}}").expect("a placeholder ends") + start;
        let (before, name) = (&rest[..start], &rest[start + 2..end]);
        if skipped.is_none() {
            text.push_str(before);
        }
        rest = &rest[end + 2..];
        if let Some(section) = name.strip_prefix('#') {
            if skipped.is_none() && !values.contains_key(section) {
                skipped = Some(section.into());
            }
        } else if let Some(section) = name.strip_prefix('/') {
            if skipped.as_deref() == Some(section) {
                skipped = None;
            }
        } else if skipped.is_none() {
            let _ = write!(text, "{}", values.get(name).map_or("", String::as_str));
        }
    }
    text.push_str(rest);
    text
}

/// One route of a desired state.
pub struct Route<'a> {
    pub name: &'a str,
    pub kind: &'a str,
    pub service: &'a str,
    pub timeout_ms: u64,
    pub extra: &'a str,
}

/// The host of all routes.
pub const HOST: &str = "app.example";

/// A desired state. The prefix of a route is its name.
pub fn desired_state(version: u64, routes: &[Route<'_>]) -> String {
    let names = wire::fields();
    let routes: Vec<String> = routes
        .iter()
        .map(|Route { name, kind, service, timeout_ms, extra }| {
            format!(
                r#"{{"name":"{name}","host":"{HOST}","{}":"/{name}/","{}":"{kind}","timeout_ms":{timeout_ms},"{}":250,"priority":1,"service":"{service}","max_attempts":2,"sticky":false{extra}}}"#,
                names.prefix, names.kind, names.objective
            )
        })
        .collect();
    format!(
        r#"{{"version":{version},"routes":[{}],"services":[{{"name":"engines","max_connections":180,"engine":{{"slots":16,"stride":10}}}},{{"name":"tools","max_connections":180}},{{"name":"other","max_connections":180}}],"limits":{{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000}}}}"#,
        routes.join(",")
    )
}
