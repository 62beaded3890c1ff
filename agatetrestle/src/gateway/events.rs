//! Server-sent events, cut into whole ones without changing a byte.

use bytes::Bytes;
use bytes::BytesMut;

/// Cuts a stream into events.
#[derive(Debug, Default)]
pub struct EventReader {
    buf: BytesMut,
    scanned: usize,
}

/// One whole event with the empty line that ends it.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Event(pub Bytes);

impl EventReader {
    /// Takes in bytes of the stream.
    pub fn push(&mut self, bytes: &[u8]) {
        self.buf.extend_from_slice(bytes);
    }

    /// The next whole event, if there is one.
    pub fn next_event(&mut self) -> Option<Event> {
        let from = self.scanned.saturating_sub(3);
        let Some(end) = end_of_event(&self.buf[from..]) else {
            self.scanned = self.buf.len();
            return None;
        };
        self.scanned = 0;
        Some(Event(self.buf.split_to(from + end).freeze()))
    }

    /// What is left after the last whole event.
    #[must_use]
    pub fn rest(self) -> Bytes {
        self.buf.freeze()
    }

    /// Bytes that wait for the end of their event.
    #[must_use]
    pub fn pending(&self) -> usize {
        self.buf.len()
    }
}

impl Event {
    /// Its data lines, joined by line feeds; none if it has none.
    #[must_use]
    pub fn data(&self) -> Option<Vec<u8>> {
        let mut data: Option<Vec<u8>> = None;
        for line in self.0.split(|byte| *byte == b'\n') {
            let line = line.strip_suffix(b"\r").unwrap_or(line);
            let Some(value) = line.strip_prefix(b"data:") else {
                continue;
            };
            let value = value.strip_prefix(b" ").unwrap_or(value);
            match &mut data {
                Some(data) => {
                    data.push(b'\n');
                    data.extend_from_slice(value);
                }
                None => data = Some(value.to_vec()),
            }
        }
        data
    }
}

/// Where the first event in `bytes` ends: after an empty line, whose line ends are LF or CR LF.
fn end_of_event(bytes: &[u8]) -> Option<usize> {
    let ends = bytes.iter().enumerate().filter(|(_, byte)| **byte == b'\n').map(|(at, _)| at);
    let mut previous: Option<usize> = None;
    for at in ends {
        if let Some(previous) = previous
            && matches!(&bytes[previous + 1..at], b"" | b"\r")
        {
            return Some(at + 1);
        }
        previous = Some(at);
    }
    None
}
