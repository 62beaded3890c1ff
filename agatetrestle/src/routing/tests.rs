//! Tests of route tables.

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
    Service {
        name: name.into(),
        max_connections: 10,
        tokens_per_event: None,
        memory_tokens: None,
        health_path: None,
    }
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
    assert_eq!(found("app.example", "/a"), None, "the slash at the end of a prefix is required");
    assert_eq!(found("other.example", "/a/b/c"), None);
}

#[test]
fn splits_requests_by_weight() {
    let split = route("split", "/a/", &[("one", 9), ("two", 1)]);
    let to_two = (0..1_000).filter(|draw| &**split.pick_service(*draw) == "two").count();
    assert_eq!(to_two, 100);
    let drained = route("drained", "/a/", &[("one", 0), ("two", 3)]);
    assert!(
        (0..10).all(|draw| &**drained.pick_service(draw) == "two"),
        "a target with weight 0 receives no requests"
    );
}

#[test]
fn rejects_invalid_tables_with_reason() {
    let unknown = table(vec![route("r", "/a/", &[("three", 1)])]).unwrap_err();
    assert_eq!(unknown.to_string(), "route r refers to undeclared service three");
    let duplicate =
        table(vec![route("r", "/a/", &[("one", 1)]), route("s", "/a/", &[("two", 1)])]).unwrap_err();
    assert_eq!(duplicate.to_string(), "route s has the same host and prefix as an earlier route");
    let zero_weight = table(vec![route("r", "/a/", &[("one", 0), ("two", 0)])]).unwrap_err();
    assert_eq!(
        zero_weight.to_string(),
        "the weights of route r must add up to a value from 1 to 18446744073709551615"
    );
    let mut zero_timeout = route("r", "/a/", &[("one", 1)]);
    zero_timeout.timeout = Duration::ZERO;
    assert_eq!(table(vec![zero_timeout]).unwrap_err().to_string(), "route r has a timeout of 0");
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
    let restricted = || route("restricted", "/a/", &[("one", 1)]);
    let public = Route { public: true, ..route("public", "/b/", &[("one", 1)]) };
    let without_teams = table(vec![restricted()]).unwrap();
    assert_eq!(
        without_teams.authorize(&restricted(), None),
        Ok(None),
        "no key is needed if no teams are declared"
    );
    let empty_teams = table(vec![restricted()]).unwrap().with_teams(Vec::new()).unwrap();
    assert_eq!(empty_teams.authorize(&restricted(), Some(&"k".into())), Err(Unauthorized));
    let teams = vec![team("red", &["k-1", "k-2", "k-1"]), team("blue", &["k-3"])];
    let table = table(vec![restricted(), public.clone()]).unwrap().with_teams(teams).unwrap();
    let authorized = |route: &Route, key: Option<&str>| {
        let found = table.authorize(route, key.map(ApiKey::from).as_ref());
        found.map(|team| team.map(|team| team.name.to_string()))
    };
    assert_eq!(authorized(&restricted(), Some("k-2")), Ok(Some("red".into())));
    assert_eq!(authorized(&restricted(), Some("k-3")), Ok(Some("blue".into())));
    for key in [None, Some("k"), Some(""), Some("K-1")] {
        assert_eq!(authorized(&restricted(), key), Err(Unauthorized), "{key:?}");
        assert_eq!(authorized(&public, key), Ok(None), "{key:?}");
    }
    assert_eq!(authorized(&public, Some("k-1")), Ok(Some("red".into())));
}

#[test]
fn rejects_duplicate_keys_and_redacts_them() {
    let shared = vec![team("red", &["secret"]), team("blue", &["other", "secret"])];
    let error = table(Vec::new()).unwrap().with_teams(shared).unwrap_err();
    assert_eq!(error.to_string(), "teams red and blue share an API key");
    let table = table(Vec::new()).unwrap().with_teams(vec![team("red", &["secret"])]).unwrap();
    assert!(!format!("{error:?} {table:?} {:?}", table.teams()).contains("secret"));
}
