//! The example files of the repository are valid and say what the code does.

use std::collections::BTreeSet;
use std::path::Path;
use std::path::PathBuf;

use agatetrestle_config::Declarations;
use agatetrestle_config::Settings;
use agatetrestle_config::settings::PeerSeed;

fn examples() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("../examples")
}

fn deployment(folder: &str) -> Vec<Settings> {
    let mut files: Vec<PathBuf> = std::fs::read_dir(examples().join(folder))
        .unwrap()
        .map(|entry| entry.unwrap().path())
        .filter(|path| path.extension().is_some_and(|extension| extension == "yaml"))
        .collect();
    files.sort();
    files.iter().map(|file| Settings::load(file).unwrap()).collect()
}

#[test]
fn the_default_file_says_the_defaults() {
    let settings = Settings::load(&examples().join("settings/default.yaml")).unwrap();
    assert_eq!(settings, Settings::default());
}

#[test]
fn the_deployments_fit_together() {
    for (folder, nodes, replicas) in [("three-nodes", 3, 3), ("nine-vms", 9, 3)] {
        let all = deployment(folder);
        let ids: BTreeSet<u64> = all.iter().map(|settings| settings.node.id).collect();
        let domains: BTreeSet<_> = all.iter().map(|settings| &settings.node.failure_domain).collect();
        assert_eq!((ids.len(), domains.len()), (nodes, 3), "{folder}");
        for settings in &all {
            assert_eq!(settings.peers, all[0].peers, "{folder}");
            let own = |seed: &&PeerSeed| seed.id == settings.node.id;
            let seed = settings.peers.iter().find(own).unwrap();
            assert_eq!(seed.address, settings.listen.peers, "{folder}");
        }
        let voters: BTreeSet<_> = all
            .iter()
            .filter(|settings| settings.storage.data_folder.is_some())
            .map(|settings| &settings.node.failure_domain)
            .collect();
        assert_eq!(voters.len(), replicas, "one replica in each failure domain of {folder}");
    }
}

#[test]
fn the_declarations_fit_together() {
    let folder = examples().join("three-nodes/declarations");
    let read = |scope: &str| std::fs::read_to_string(folder.join(format!("{scope}.yaml"))).unwrap();
    let shared = Declarations::parse("shared", &read("shared")).unwrap();
    for scope in ["lernwerk", "vrsta"] {
        Declarations::parse_with_shared(scope, &read(scope), Some(&shared)).unwrap();
        assert!(shared.shares.contains_key(scope));
    }
}
