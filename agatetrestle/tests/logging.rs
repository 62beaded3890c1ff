//! Logs into a folder, with rotation. It stands alone because a process starts its logs once.

use std::fs;
use std::path::Path;
use std::path::PathBuf;

use agatetrestle::logging;
use agatetrestle_config::settings::Logging;

const LINES: usize = 400;
const KEPT: usize = 2;
const FILE_SIZE: u64 = 4 << 10;

fn empty_folder() -> PathBuf {
    let folder = Path::new(env!("CARGO_TARGET_TMPDIR")).join("logging");
    fs::remove_dir_all(&folder).ok();
    folder
}

fn files(folder: &Path) -> Vec<PathBuf> {
    fs::read_dir(folder).unwrap().map(|entry| entry.unwrap().path()).collect()
}

#[test]
fn files_rotate_and_only_the_newest_are_kept() {
    let folder = empty_folder();
    let cfg = Logging {
        folder: Some(folder.clone()),
        rotate: FILE_SIZE,
        keep: KEPT,
        json: true,
        ..Logging::default()
    };
    let handle = logging::init(&cfg).unwrap();
    for i in 0..LINES {
        log::info!(target: "agatetrestle::node", "Line {i}.");
    }
    log::debug!(target: "agatetrestle::node", "Below the level.");
    handle.flush();
    let files = files(&folder);
    assert_eq!(files.len(), KEPT + 1, "{files:?}");
    let kept: Vec<String> = files.iter().flat_map(|file| messages(file)).collect();
    assert!(!kept.contains(&"Line 0.".to_owned()), "the oldest file was to be dropped");
    let newest: Vec<String> = (LINES - 30..LINES).map(|i| format!("Line {i}.")).collect();
    assert!(newest.iter().all(|line| kept.contains(line)), "{kept:?}");
    assert!(logging::init(&cfg).is_err(), "logs are started once");
}

/// The messages of one file; every line must be a JSON object with the prefix of the part.
fn messages(file: &Path) -> Vec<String> {
    let text = fs::read_to_string(file).unwrap();
    let values = text.lines().map(|line| serde_json::from_str::<serde_json::Value>(line).unwrap());
    values
        .map(|value| {
            assert_eq!(value["part"], "node");
            value["message"].as_str().unwrap().to_owned()
        })
        .collect()
}
