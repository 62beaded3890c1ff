//! Validation of settings beyond their schema.

use std::collections::BTreeSet;

use crate::check::Checker;
use crate::error::ConfigError;
use crate::settings::Settings;

/// More voters would slow down commits without a useful gain in fault tolerance.
const MAX_CONTROL_REPLICAS: usize = 9;

pub(super) fn check(checker: Checker<'_>, settings: &Settings) -> Result<(), ConfigError> {
    checker.positive(settings.node.id, "node.id")?;
    checker.valid_name(&settings.node.vm, "node.vm")?;
    checker.valid_name(&settings.node.failure_domain, "node.failure_domain")?;
    checker.valid_name(&settings.node.region, "node.region")?;
    check_listen(checker, settings)?;
    check_peers(checker, settings)?;
    check_timing(checker, settings)?;
    check_storage(checker, settings)?;
    check_callers(checker, settings)?;
    checker.positive_duration(settings.platform.interval, "platform.interval")?;
    checker.positive(settings.logging.rotate, "logging.rotate")
}

fn check_listen(checker: Checker<'_>, settings: &Settings) -> Result<(), ConfigError> {
    let listen = &settings.listen;
    let addresses = [
        ("listen.callers", listen.callers),
        ("listen.peers", listen.peers),
        ("listen.operators", listen.operators),
        ("listen.metrics", listen.metrics),
    ];
    for (index, (key, address)) in addresses.iter().enumerate() {
        let clashes = |other: &std::net::SocketAddr| {
            let same_ip =
                other.ip() == address.ip() || other.ip().is_unspecified() || address.ip().is_unspecified();
            address.port() > 0 && other.port() == address.port() && same_ip
        };
        let taken = addresses[..index].iter().any(|(_, other)| clashes(other));
        checker.require(!taken, key, "an address that no other listener has")?;
    }
    Ok(())
}

fn check_peers(checker: Checker<'_>, settings: &Settings) -> Result<(), ConfigError> {
    let (mut ids, mut addresses) = (BTreeSet::new(), BTreeSet::new());
    for peer in &settings.peers {
        checker.require(peer.id > 0 && ids.insert(peer.id), "peers.id", "unique numbers above 0")?;
        checker.require(addresses.insert(peer.address), "peers.address", "unique addresses")?;
        checker.require(!peer.state_groups.contains(&0), "peers.state_groups", "numbers above 0")?;
    }
    let replicas = settings.peers.iter().filter(|peer| peer.control).count();
    let valid_count = replicas == 0 || (replicas % 2 == 1 && replicas <= MAX_CONTROL_REPLICAS);
    checker.require(valid_count, "peers.control", "an odd number of control replicas, at most 9")?;
    let own = settings.peers.iter().find(|peer| peer.id == settings.node.id);
    let holds_replica = own.is_some_and(|own| own.control || !own.state_groups.is_empty());
    let has_folder = settings.storage.data_folder.is_some();
    checker.require(
        !holds_replica || has_folder,
        "storage.data_folder",
        "a folder, since this node holds replicas",
    )
}

fn check_timing(checker: Checker<'_>, settings: &Settings) -> Result<(), ConfigError> {
    let timing = &settings.timing;
    for (key, duration) in [
        ("timing.leader_interval", timing.leader_interval),
        ("timing.heartbeat", timing.heartbeat),
        ("timing.peer_call", timing.peer_call),
        ("timing.stop_grace", timing.stop_grace),
    ] {
        checker.positive_duration(duration, key)?;
    }
    let minimum = 3 * timing.leader_interval + timing.clock_drift;
    let expected = "at least three times leader_interval plus clock_drift";
    checker.require(timing.election_timeout >= minimum, "timing.election_timeout", expected)?;
    let outlasts_heartbeats = timing.configuration_lease >= 2 * timing.heartbeat;
    checker.require(outlasts_heartbeats, "timing.configuration_lease", "at least twice heartbeat")
}

fn check_storage(checker: Checker<'_>, settings: &Settings) -> Result<(), ConfigError> {
    let storage = &settings.storage;
    checker.positive(storage.segment, "storage.segment")?;
    let valid_threshold = storage.snapshot_after >= storage.segment;
    checker.require(valid_threshold, "storage.snapshot_after", "at least storage.segment")
}

fn check_callers(checker: Checker<'_>, settings: &Settings) -> Result<(), ConfigError> {
    let callers = &settings.callers;
    checker.require(callers.head >= 1024, "callers.head", "at least 1KiB")?;
    checker.positive(callers.body, "callers.body")?;
    checker.positive(u64::from(callers.connections), "callers.connections")?;
    checker.positive_duration(callers.head_time, "callers.head_time")?;
    checker.positive_duration(callers.idle, "callers.idle")
}
