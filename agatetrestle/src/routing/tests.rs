//! Tests of the table of routes.

use super::*;

const LIMITS: CallerLimits = CallerLimits {
    max_header_bytes: 16_384,
    max_body_bytes: 4 << 20,
    header_timeout: Duration::from_secs(3),
    idle_timeout: Duration::from_secs(15),
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
            .map(|(name, weight)| RouteTarget { service: (*name).into(), weight: *weight })
            .collect(),
        max_attempts: 2,
        retention: None,
        sticky: false,
        public: false,
    }
}

fn service(name: &str) -> Service {
    Service { name: name.into(), max_connections: 10, tokens_per_event: None }
}

fn table(routes: Vec<Route>) -> Result<RouteTable, InvalidTable> {
    RouteTable::new(1, routes, vec![service("one"), service("two")], LIMITS)
}

#[test]
fn matches_longest_prefix_of_host() {
    let routes = vec![route("short", "/a/", &[("one", 1)]), route("long", "/a/b/", &[("two", 1)])];
    let table = table(routes).unwrap();
    let found = |host: &str, path: &str| table.find(host, path).map(|route| route.name.to_string());
    assert_eq!(found("app.example", "/a/b/c"), Some("long".into()));
    assert_eq!(found("App.Example:80", "/a/bc"), Some("short".into()));
    assert_eq!(found("app.example", "/a"), None, "a prefix ends with a slash");
    assert_eq!(found("other.example", "/a/b/c"), None);
}

#[test]
fn splits_requests_by_weight() {
    let split = route("split", "/a/", &[("one", 9), ("two", 1)]);
    let to_two = (0..1_000).filter(|draw| &**split.pick_service(*draw) == "two").count();
    assert_eq!(to_two, 100);
    let closed = route("closed", "/a/", &[("one", 0), ("two", 3)]);
    assert!((0..10).all(|draw| &**closed.pick_service(draw) == "two"), "a weight of 0 gets nothing");
}

#[test]
fn rejects_invalid_tables_with_reason() {
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

fn team(name: &str, keys: &[&str]) -> Team {
    let rate_limit = Some(RateLimit { per_second: 10.0, burst: 5.0 });
    Team {
        name: name.into(),
        keys: keys.iter().map(|key| ApiKey::from(*key)).collect(),
        priority: 1,
        rate_limit,
    }
}

#[test]
fn key_authorizes_its_team() {
    let closed = || route("closed", "/a/", &[("one", 1)]);
    let open = Route { public: true, ..route("open", "/b/", &[("one", 1)]) };
    let anybody = table(vec![closed()]).unwrap();
    assert_eq!(anybody.authorize(&closed(), None), Ok(None), "without teams anybody may send");
    let nobody = table(vec![closed()]).unwrap().with_teams(Vec::new()).unwrap();
    assert_eq!(nobody.authorize(&closed(), Some(&"k".into())), Err(Unauthorized));
    let teams = vec![team("red", &["k-1", "k-2", "k-1"]), team("blue", &["k-3"])];
    let table = table(vec![closed(), open.clone()]).unwrap().with_teams(teams).unwrap();
    let holder = |route: &Route, key: Option<&str>| {
        let found = table.authorize(route, key.map(ApiKey::from).as_ref());
        found.map(|team| team.map(|team| team.name.to_string()))
    };
    assert_eq!(holder(&closed(), Some("k-2")), Ok(Some("red".into())));
    assert_eq!(holder(&closed(), Some("k-3")), Ok(Some("blue".into())));
    for key in [None, Some("k"), Some(""), Some("K-1")] {
        assert_eq!(holder(&closed(), key), Err(Unauthorized), "{key:?}");
        assert_eq!(holder(&open, key), Ok(None), "{key:?}");
    }
    assert_eq!(holder(&open, Some("k-1")), Ok(Some("red".into())));
}

#[test]
fn rejects_duplicate_keys_and_redacts_them() {
    let shared = vec![team("red", &["secret"]), team("blue", &["other", "secret"])];
    let refused = table(Vec::new()).unwrap().with_teams(shared).unwrap_err();
    assert_eq!(refused.to_string(), "teams red and blue share a key");
    let table = table(Vec::new()).unwrap().with_teams(vec![team("red", &["secret"])]).unwrap();
    assert!(!format!("{refused:?} {table:?} {:?}", table.teams()).contains("secret"));
}
