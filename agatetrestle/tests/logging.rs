//! Log files and their rotation, in a test binary of its own because logging is initialized once per process.

use std::fs;
use std::path::Path;
use std::path::PathBuf;

use agatetrestle::logging;
use agatetrestle_config::settings::Logging;

const MESSAGES: usize = 400;
const KEPT_FILES: usize = 2;
const FILE_BYTES: u64 = 4 << 10;

fn clear_log_folder() -> PathBuf {
    let folder = Path::new(env!("CARGO_TARGET_TMPDIR")).join("logging");
    fs::remove_dir_all(&folder).ok();
    folder
}

fn files(folder: &Path) -> Vec<PathBuf> {
    fs::read_dir(folder).unwrap().map(|entry| entry.unwrap().path()).collect()
}

#[test]
fn rotates_files_and_keeps_the_newest() {
    let folder = clear_log_folder();
    let cfg = Logging {
        folder: Some(folder.clone()),
        rotate: FILE_BYTES,
        keep: KEPT_FILES,
        json: true,
        ..Logging::default()
    };
    let handle = logging::init(&cfg).unwrap();
    for i in 0..MESSAGES {
        log::info!(target: "agatetrestle::node", "Line {i}.");
    }
    log::debug!(target: "agatetrestle::node", "Below the level.");
    handle.flush();
    let files = files(&folder);
    assert_eq!(files.len(), KEPT_FILES + 1, "{files:?}");
    let kept: Vec<String> = files.iter().flat_map(|file| messages(file)).collect();
    assert!(!kept.contains(&"Line 0.".to_owned()), "the oldest file must be deleted");
    let newest: Vec<String> = (MESSAGES - 30..MESSAGES).map(|i| format!("Line {i}.")).collect();
    assert!(newest.iter().all(|line| kept.contains(line)), "{kept:?}");
    assert!(logging::init(&cfg).is_err(), "logging must be initialized only once");
}

/// Messages of one file, each of whose lines must be a JSON object with `part` set.
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
