//! Tests of the table of routes.

use super::*;

const LIMITS: CallerLimits = CallerLimits {
    head: 16_384,
    body: 4 << 20,
    head_time: Duration::from_secs(3),
    idle: Duration::from_secs(15),
};

fn route(name: &str, prefix: &str, targets: &[(&str, u64)]) -> Route {
    Route {
        name: name.into(),
        host: "app.example".into(),
        prefix: prefix.into(),
        kind: RouteKind::Idempotent,
        timeout: Duration::from_secs(1),
        objective: Duration::from_millis(200),
        priority: 0,
        targets: targets
            .iter()
            .map(|(name, weight)| Target { service: (*name).into(), weight: *weight })
            .collect(),
        max_attempts: 2,
        retention: None,
        sticky: false,
    }
}

fn service(name: &str) -> Service {
    Service { name: name.into(), max_connections: 10, tokens_per_event: None }
}

fn table(routes: Vec<Route>) -> Result<RouteTable, InvalidTable> {
    RouteTable::new(1, routes, vec![service("one"), service("two")], LIMITS)
}

#[test]
fn the_longest_prefix_of_the_host_takes_a_request() {
    let routes = vec![route("short", "/a/", &[("one", 1)]), route("long", "/a/b/", &[("two", 1)])];
    let table = table(routes).unwrap();
    let found = |host: &str, path: &str| table.find(host, path).map(|route| route.name.to_string());
    assert_eq!(found("app.example", "/a/b/c"), Some("long".into()));
    assert_eq!(found("App.Example:80", "/a/bc"), Some("short".into()));
    assert_eq!(found("app.example", "/a"), None, "a prefix ends with a slash");
    assert_eq!(found("other.example", "/a/b/c"), None);
}

#[test]
fn weights_share_the_requests_out() {
    let split = route("split", "/a/", &[("one", 9), ("two", 1)]);
    let to_two = (0..1_000).filter(|draw| &**split.pick(*draw) == "two").count();
    assert_eq!(to_two, 100);
    let closed = route("closed", "/a/", &[("one", 0), ("two", 3)]);
    assert!((0..10).all(|draw| &**closed.pick(draw) == "two"), "a weight of 0 gets nothing");
}

#[test]
fn each_unusable_table_is_refused_with_its_reason() {
    let unknown = table(vec![route("r", "/a/", &[("three", 1)])]).unwrap_err();
    assert_eq!(unknown.to_string(), "route r names the unknown service three");
    let same = table(vec![route("r", "/a/", &[("one", 1)]), route("s", "/a/", &[("two", 1)])]).unwrap_err();
    assert_eq!(same.to_string(), "route s has the host and prefix of an earlier one");
    let weightless = table(vec![route("r", "/a/", &[("one", 0), ("two", 0)])]).unwrap_err();
    assert_eq!(weightless.to_string(), "the weights of route r add up to 0");
    let mut hasty = route("r", "/a/", &[("one", 1)]);
    hasty.timeout = Duration::ZERO;
    assert_eq!(table(vec![hasty]).unwrap_err().to_string(), "route r has no time");
}
