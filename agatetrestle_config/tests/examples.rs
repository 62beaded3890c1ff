//! Checks that the example files of the repository are valid and match the code.

use std::collections::BTreeSet;
use std::path::Path;
use std::path::PathBuf;

use agatetrestle_config::Declarations;
use agatetrestle_config::Settings;
use agatetrestle_config::settings::PeerSeed;

fn examples_folder() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("../examples")
}

fn load_deployment(folder: &str) -> Vec<Settings> {
    let mut files: Vec<PathBuf> = std::fs::read_dir(examples_folder().join(folder))
        .unwrap()
        .map(|entry| entry.unwrap().path())
        .filter(|path| path.extension().is_some_and(|extension| extension == "yaml"))
        .collect();
    files.sort();
    files.iter().map(|file| Settings::load(file).unwrap()).collect()
}

#[test]
fn default_file_matches_defaults() {
    let settings = Settings::load(&examples_folder().join("settings/default.yaml")).unwrap();
    assert_eq!(settings, Settings::default());
}

#[test]
fn example_deployments_are_consistent() {
    for (folder, node_count, replicas) in [("three-nodes", 3, 3), ("nine-vms", 9, 3)] {
        let nodes = load_deployment(folder);
        let ids: BTreeSet<u64> = nodes.iter().map(|settings| settings.node.id).collect();
        let domains: BTreeSet<_> = nodes.iter().map(|settings| &settings.node.failure_domain).collect();
        assert_eq!((ids.len(), domains.len()), (node_count, 3), "{folder}");
        for settings in &nodes {
            assert_eq!(settings.peers, nodes[0].peers, "{folder}");
            let is_own = |seed: &&PeerSeed| seed.id == settings.node.id;
            let seed = settings.peers.iter().find(is_own).unwrap();
            assert_eq!(seed.address, settings.listen.peers, "{folder}");
        }
        let replica_domains: BTreeSet<_> = nodes
            .iter()
            .filter(|settings| settings.storage.data_folder.is_some())
            .map(|settings| &settings.node.failure_domain)
            .collect();
        assert_eq!(replica_domains.len(), replicas, "one replica in each failure domain of {folder}");
    }
}

#[test]
fn example_declarations_are_consistent() {
    let folder = examples_folder().join("three-nodes/declarations");
    let read = |scope: &str| std::fs::read_to_string(folder.join(format!("{scope}.yaml"))).unwrap();
    let shared = Declarations::parse("shared", &read("shared")).unwrap();
    for scope in ["lernwerk", "vrsta"] {
        Declarations::parse_with_shared(scope, &read(scope), Some(&shared)).unwrap();
        assert!(shared.shares.contains_key(scope));
    }
}
