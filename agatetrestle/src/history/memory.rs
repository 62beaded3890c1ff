//! In-memory history, for tests and replays.

use std::fs::File;
use std::sync::Arc;

use crate::history::History;
use crate::history::HistoryError;
use crate::history::PastEndSnafu;
use crate::history::RecordLocation;
use crate::history::locate;
use crate::history::verify;

/// A history in a single buffer, which is never durable.
#[derive(Clone, Debug, Default)]
pub struct MemoryHistory {
    bytes: Vec<u8>,
}

impl History for MemoryHistory {
    fn append(&mut self, bytes: &[u8]) -> RecordLocation {
        let location = locate(self.end(), bytes);
        self.bytes.extend_from_slice(bytes);
        location
    }

    fn read(&self, location: RecordLocation) -> Result<Arc<[u8]>, HistoryError> {
        let bytes = self.read_raw(location.offset, location.length as usize)?;
        let wanted = location.offset + u64::from(location.length);
        snafu::ensure!(bytes.len() == location.length as usize, PastEndSnafu { end: self.end(), wanted });
        verify(location, &bytes)
    }

    fn end(&self) -> u64 {
        self.bytes.len() as u64
    }

    fn read_raw(&self, offset: u64, limit: usize) -> Result<Vec<u8>, HistoryError> {
        let start = usize::try_from(offset).unwrap_or(usize::MAX).min(self.bytes.len());
        let end = start.saturating_add(limit).min(self.bytes.len());
        Ok(self.bytes[start..end].to_vec())
    }

    fn append_raw(&mut self, bytes: &[u8]) {
        self.bytes.extend_from_slice(bytes);
    }

    fn truncate(&mut self, end: u64) -> Result<(), HistoryError> {
        snafu::ensure!(end <= self.end(), PastEndSnafu { end: self.end(), wanted: end });
        self.bytes.truncate(usize::try_from(end).unwrap_or(usize::MAX));
        Ok(())
    }

    fn flush(&mut self) -> Result<Vec<File>, HistoryError> {
        Ok(Vec::new())
    }
}
