//! Tests of the format and the queueing of log lines.

use log::Level;

use super::*;

fn line(format: FormatFunction, target: &str) -> String {
    let mut buf = Vec::new();
    let args = format_args!("A \"quoted\" name.");
    let record = Record::builder().level(Level::Warn).target(target).args(args).build();
    format(&mut buf, &mut DeferredNow::new(), &record).unwrap();
    String::from_utf8(buf).unwrap()
}

#[test]
fn prefix_is_module_of_target() {
    assert_eq!(module_name("agatetrestle::agreement::driver"), "agreement");
    assert_eq!(module_name("agatetrestle::logging"), "logging");
    assert_eq!(module_name("agatetrestle"), "agatetrestle");
    assert_eq!(module_name("capnp_rpc::rpc"), "capnp_rpc");
}

#[test]
fn text_line_has_level_prefix_and_message() {
    let line = line(text_line, "agatetrestle::members::beat");
    assert!(line.ends_with(" WARN  members: A \"quoted\" name."), "{line}");
}

#[test]
fn json_line_is_one_object() {
    let line = line(json_line, "agatetrestle::entry");
    let value: serde_json::Value = serde_json::from_str(&line).unwrap();
    assert_eq!(value["part"], "entry");
    assert_eq!(value["level"], "WARN");
    assert_eq!(value["message"], "A \"quoted\" name.");
    assert!(value["time"].as_str().unwrap().ends_with('Z'));
}

#[test]
fn rejects_invalid_level() {
    let logging = Logging { level: "info, agatetrestle::entry=loud".into(), ..Logging::default() };
    assert!(matches!(init(&logging), Err(LoggingError::Level { .. })));
}

/// An output whose writes block until the test permits them.
struct BlockingOutput(std::sync::mpsc::Receiver<()>, std::sync::mpsc::Sender<Vec<u8>>);

impl Write for BlockingOutput {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        self.0.recv().map_err(io::Error::other)?;
        self.1.send(bytes.to_vec()).map_err(io::Error::other)?;
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

#[test]
fn drops_lines_when_output_blocks() {
    use flexi_logger::writers::LogWriter;

    let (permit, permits) = std::sync::mpsc::channel();
    let (tx, written) = std::sync::mpsc::channel();
    let queue = QueueWriter::start(Box::new(BlockingOutput(permits, tx))).unwrap();
    let log = |text: &str| {
        let args = format_args!("{text}");
        let record = Record::builder().level(Level::Info).target("agatetrestle::gateway").args(args).build();
        queue.write(&mut DeferredNow::new(), &record).unwrap();
    };
    // More lines than the queue holds; each call returns although the output blocks.
    for _ in 0..20_000 {
        log("a line of some length that stands for one request of a caller");
    }
    // The first batch is written, then what was queued while the output blocked.
    let mut text = String::new();
    while !text.contains(" lines were lost.") {
        permit.send(()).unwrap();
        text.push_str(&String::from_utf8(written.recv().unwrap()).unwrap());
        log("one more");
    }
    assert!(text.starts_with(|first: char| first.is_ascii_digit()), "lines start with their time");
    assert!(text.len() < 2 << 20, "the queue is bounded");
}
