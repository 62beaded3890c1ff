//! Splits a stream of server-sent events at event boundaries, preserving every byte.

use std::sync::Arc;

use bytes::Bytes;
use bytes::BytesMut;

use crate::transport::body_end::ContentEnd;

/// Incremental splitter of a server-sent event stream.
#[derive(Debug, Default)]
pub struct EventSplitter {
    buffer: BytesMut,
    /// Leading bytes of the buffer whose lines are known.
    scanned: usize,
    /// Start of the line that is not yet complete.
    line_start: usize,
    /// How the last complete line of the current event ended.
    last_line_end: Option<LineEnd>,
    /// Whether the current event has a line that is not a comment.
    in_event: bool,
    /// Whether an event was complete.
    any_event: bool,
}

/// A complete event, including the empty line that terminates it.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct RawEvent(pub Bytes);

/// How a line ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum LineEnd {
    Cr,
    CrLf,
    Lf,
}

/// Positions of a complete line in the buffer.
struct Line {
    content_end: usize,
    end: usize,
    ended_by: LineEnd,
}

impl EventSplitter {
    /// Appends bytes of the stream.
    pub fn push(&mut self, bytes: &[u8]) {
        self.buffer.extend_from_slice(bytes);
    }

    /// Removes the next complete event from the buffer, with the comments and empty lines before it.
    pub fn next_event(&mut self) -> Option<RawEvent> {
        while let Some(line) = self.next_line() {
            let start = std::mem::replace(&mut self.line_start, line.end);
            let content = &self.buffer[start..line.content_end];
            match (content.first(), self.last_line_end) {
                (None, Some(_)) => return Some(self.take_event()),
                // An empty line without an event before it.
                (None, None) => {}
                (Some(first), _) => {
                    self.in_event |= *first != b':';
                    self.last_line_end = Some(line.ended_by);
                }
            }
        }
        None
    }

    /// Returns the next line if its end is known. A CR that is the last byte may be half of a CR LF.
    fn next_line(&mut self) -> Option<Line> {
        let from = self.scanned.max(self.line_start);
        let found = self.buffer[from..].iter().position(|byte| matches!(byte, b'\n' | b'\r'));
        let Some(content_end) = found.map(|at| from + at) else {
            self.scanned = self.buffer.len();
            return None;
        };
        let is_empty = content_end == self.line_start;
        let next = self.buffer.get(content_end + 1);
        let ended_by = match (self.buffer[content_end], next) {
            (b'\n', _) => LineEnd::Lf,
            // The line before shows that a CR alone ends the lines of this event.
            _ if is_empty && self.last_line_end == Some(LineEnd::Cr) => LineEnd::Cr,
            (_, Some(b'\n')) => LineEnd::CrLf,
            (_, Some(_)) => LineEnd::Cr,
            (_, None) => {
                self.scanned = content_end;
                return None;
            }
        };
        let end = content_end + if ended_by == LineEnd::CrLf { 2 } else { 1 };
        Some(Line { content_end, end, ended_by })
    }

    /// Removes the event that ends before `line_start`.
    fn take_event(&mut self) -> RawEvent {
        let event = self.buffer.split_to(self.line_start).freeze();
        (self.scanned, self.line_start, self.last_line_end) = (0, 0, None);
        self.any_event |= std::mem::take(&mut self.in_event);
        RawEvent(event)
    }

    /// Returns what the end of a stream of these bytes means.
    #[must_use]
    pub fn content_end_of(stream: &[u8]) -> ContentEnd {
        let mut splitter = Self::default();
        splitter.push(stream);
        while splitter.next_event().is_some() {}
        splitter.content_end()
    }

    /// Returns what an end of the stream at this point would mean, once [`EventSplitter::next_event`] has returned `None`.
    #[must_use]
    pub fn content_end(&self) -> ContentEnd {
        let partial_line = &self.buffer[self.line_start..];
        let is_empty_line = partial_line == b"\r" && self.last_line_end.is_none();
        if self.in_event || !(partial_line.is_empty() || is_empty_line) {
            return ContentEnd::InsideEvent;
        }
        if self.any_event { ContentEnd::AfterEvent } else { ContentEnd::NoEvent }
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
    /// The value of the last `id` line; `None` if there is no such line, or if it is no text.
    #[must_use]
    pub fn id(&self) -> Option<Arc<str>> {
        let last = self.values(b"id:").last()?;
        std::str::from_utf8(last).ok().map(Into::into)
    }

    /// The values of the `data` lines, joined by line feeds; `None` if there is no such line.
    #[must_use]
    pub fn data(&self) -> Option<Vec<u8>> {
        let mut data: Option<Vec<u8>> = None;
        for value in self.values(b"data:") {
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

    /// The values of the lines of a field.
    fn values<'a>(&'a self, field: &'a [u8]) -> impl Iterator<Item = &'a [u8]> {
        let lines = self.0.split(|byte| matches!(byte, b'\n' | b'\r'));
        let values = lines.filter_map(move |line| line.strip_prefix(field));
        values.map(|value| value.strip_prefix(b" ").unwrap_or(value))
    }
}
