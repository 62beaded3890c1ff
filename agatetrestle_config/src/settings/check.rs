//! What settings must hold beyond their shape.

use std::collections::BTreeSet;

use crate::check::Checker;
use crate::error::ConfigError;
use crate::settings::Settings;

/// Most voters of a group: more would cost commits without gaining safety.
const MOST_REPLICAS: usize = 9;

pub(super) fn check(checker: Checker<'_>, settings: &Settings) -> Result<(), ConfigError> {
    checker.positive(settings.node.id, "node.id")?;
    checker.named(&settings.node.vm, "node.vm")?;
    checker.named(&settings.node.failure_domain, "node.failure_domain")?;
    checker.named(&settings.node.region, "node.region")?;
    check_listen(checker, settings)?;
    check_peers(checker, settings)?;
    check_timing(checker, settings)?;
    check_storage(checker, settings)?;
    check_callers(checker, settings)?;
    checker.lasting(settings.platform.interval, "platform.interval")?;
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
    for (at, (key, address)) in addresses.iter().enumerate() {
        let clashes = |other: &std::net::SocketAddr| {
            let same_ip =
                other.ip() == address.ip() || other.ip().is_unspecified() || address.ip().is_unspecified();
            address.port() > 0 && other.port() == address.port() && same_ip
        };
        let taken = addresses[..at].iter().any(|(_, other)| clashes(other));
        checker.require(!taken, key, "an address that no other listener has")?;
    }
    Ok(())
}

fn check_peers(checker: Checker<'_>, settings: &Settings) -> Result<(), ConfigError> {
    let (mut ids, mut addresses) = (BTreeSet::new(), BTreeSet::new());
    for peer in &settings.peers {
        checker.require(peer.id > 0 && ids.insert(peer.id), "peers.id", "numbers above 0, each once")?;
        checker.require(addresses.insert(peer.address), "peers.address", "addresses, each once")?;
        checker.require(!peer.state_groups.contains(&0), "peers.state_groups", "numbers above 0")?;
    }
    let replicas = settings.peers.iter().filter(|peer| peer.control).count();
    let odd = replicas == 0 || (replicas % 2 == 1 && replicas <= MOST_REPLICAS);
    checker.require(odd, "peers.control", "an odd number of control replicas, at most 9")?;
    let own = settings.peers.iter().find(|peer| peer.id == settings.node.id);
    let holds = own.is_some_and(|own| own.control || !own.state_groups.is_empty());
    let stored = settings.storage.data_folder.is_some();
    checker.require(!holds || stored, "storage.data_folder", "a folder, since this node holds replicas")
}

fn check_timing(checker: Checker<'_>, settings: &Settings) -> Result<(), ConfigError> {
    let timing = &settings.timing;
    for (key, span) in [
        ("timing.leader_interval", timing.leader_interval),
        ("timing.heartbeat", timing.heartbeat),
        ("timing.peer_call", timing.peer_call),
        ("timing.stop_grace", timing.stop_grace),
    ] {
        checker.lasting(span, key)?;
    }
    let shortest = 3 * timing.leader_interval + timing.clock_drift;
    let expected = "at least three times leader_interval plus clock_drift";
    checker.require(timing.election_timeout >= shortest, "timing.election_timeout", expected)?;
    let renewable = timing.configuration_lease >= 2 * timing.heartbeat;
    checker.require(renewable, "timing.configuration_lease", "at least twice heartbeat")
}

fn check_storage(checker: Checker<'_>, settings: &Settings) -> Result<(), ConfigError> {
    let storage = &settings.storage;
    checker.positive(storage.segment, "storage.segment")?;
    let fits = storage.snapshot_after >= storage.segment;
    checker.require(fits, "storage.snapshot_after", "at least storage.segment")
}

fn check_callers(checker: Checker<'_>, settings: &Settings) -> Result<(), ConfigError> {
    let callers = &settings.callers;
    checker.require(callers.head >= 1024, "callers.head", "at least 1KiB")?;
    checker.positive(callers.body, "callers.body")?;
    checker.positive(u64::from(callers.connections), "callers.connections")?;
    checker.lasting(callers.head_time, "callers.head_time")?;
    checker.lasting(callers.idle, "callers.idle")
}
