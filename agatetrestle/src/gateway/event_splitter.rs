//! Splits a stream of server-sent events at event boundaries, preserving every byte.

use bytes::Bytes;
use bytes::BytesMut;

/// Incremental splitter of a server-sent event stream.
#[derive(Debug, Default)]
pub struct EventSplitter {
    buffer: BytesMut,
    /// Leading bytes already searched for the end of an event.
    scanned: usize,
}

/// A complete event, including the empty line that terminates it.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct RawEvent(pub Bytes);

impl EventSplitter {
    /// Appends bytes of the stream.
    pub fn push(&mut self, bytes: &[u8]) {
        self.buffer.extend_from_slice(bytes);
    }

    /// Removes the next complete event from the buffer.
    pub fn next_event(&mut self) -> Option<RawEvent> {
        let start = self.scanned.saturating_sub(3);
        let Some(end) = event_end(&self.buffer[start..]) else {
            self.scanned = self.buffer.len();
            return None;
        };
        self.scanned = 0;
        Some(RawEvent(self.buffer.split_to(start + end).freeze()))
    }

    /// The bytes after the last complete event.
    #[must_use]
    pub fn into_remainder(self) -> Bytes {
        self.buffer.freeze()
    }

    /// Bytes buffered for events that are not yet complete.
    #[must_use]
    pub fn buffered_len(&self) -> usize {
        self.buffer.len()
    }
}

impl RawEvent {
    /// The values of the `data` lines, joined by line feeds; `None` if there is no such line.
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

/// End of the first event in `bytes`, which is terminated by an empty line. Lines end in LF or CR LF.
fn event_end(bytes: &[u8]) -> Option<usize> {
    let line_ends = bytes.iter().enumerate().filter(|(_, byte)| **byte == b'\n').map(|(at, _)| at);
    let mut previous: Option<usize> = None;
    for at in line_ends {
        if let Some(previous) = previous
            && matches!(&bytes[previous + 1..at], b"" | b"\r")
        {
            return Some(at + 1);
        }
        previous = Some(at);
    }
    None
}
