//! Tests of the log lines.

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
fn the_prefix_is_the_part_that_the_target_names() {
    assert_eq!(part("agatetrestle::agreement::driver"), "agreement");
    assert_eq!(part("agatetrestle::logging"), "logging");
    assert_eq!(part("agatetrestle"), "agatetrestle");
    assert_eq!(part("capnp_rpc::rpc"), "capnp_rpc");
}

#[test]
fn a_text_line_holds_level_prefix_and_sentence() {
    let line = line(text_line, "agatetrestle::members::beat");
    assert!(line.ends_with(" WARN  members: A \"quoted\" name."), "{line}");
}

#[test]
fn a_json_line_is_one_object() {
    let line = line(json_line, "agatetrestle::entry");
    let value: serde_json::Value = serde_json::from_str(&line).unwrap();
    assert_eq!(value["part"], "entry");
    assert_eq!(value["level"], "WARN");
    assert_eq!(value["message"], "A \"quoted\" name.");
    assert!(value["time"].as_str().unwrap().ends_with('Z'));
}

#[test]
fn a_wrong_level_is_a_typed_error() {
    let logging = Logging { level: "info, agatetrestle::entry=loud".into(), ..Logging::default() };
    assert!(matches!(init(&logging), Err(LoggingError::Level { .. })));
}

/// An output that takes nothing before it is let.
struct Stuck(std::sync::mpsc::Receiver<()>, std::sync::mpsc::Sender<Vec<u8>>);

impl Write for Stuck {
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
fn a_reader_that_stops_reading_costs_lines_and_never_time() {
    use flexi_logger::writers::LogWriter;

    let (let_go, waits) = std::sync::mpsc::channel();
    let (tx, written) = std::sync::mpsc::channel();
    let queue = QueueWriter::start(Box::new(Stuck(waits, tx))).unwrap();
    let say = |text: &str| {
        let args = format_args!("{text}");
        let record = Record::builder().level(Level::Info).target("agatetrestle::gateway").args(args).build();
        queue.write(&mut DeferredNow::new(), &record).unwrap();
    };
    // Far more than the queue holds; each call returns though nobody reads.
    for _ in 0..20_000 {
        say("a line of some length that stands for one request of a caller");
    }
    // The first piece is written out, and with it what came while it was stuck.
    let mut text = String::new();
    while !text.contains(" lines were lost.") {
        let_go.send(()).unwrap();
        text.push_str(&String::from_utf8(written.recv().unwrap()).unwrap());
        say("one more");
    }
    assert!(text.starts_with(|first: char| first.is_ascii_digit()), "lines begin with their time");
    assert!(text.len() < 2 << 20, "what waits is bounded");
}
