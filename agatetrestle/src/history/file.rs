//! A history in segment files, each named by the offset of its first byte.

use std::fs::File;
use std::fs::OpenOptions;
use std::os::unix::fs::FileExt;
use std::path::Path;
use std::path::PathBuf;
use std::sync::Arc;

use snafu::ResultExt;
use snafu::ensure;

use crate::history::History;
use crate::history::HistoryError;
use crate::history::IoSnafu;
use crate::history::PastEndSnafu;
use crate::history::RecordLocation;
use crate::history::checked;
use crate::history::record;

/// Bytes that are gathered before they are written out.
const BUFFER: usize = 256 << 10;
/// Ending of the names of segments.
const EXTENSION: &str = "history";

#[derive(Debug)]
struct Segment {
    start: u64,
    /// Bytes written out.
    written: u64,
    path: PathBuf,
    file: File,
}

/// The segments of one group, with the bytes that are not written out yet.
#[derive(Debug)]
pub struct FileHistory {
    folder: PathBuf,
    segment_bytes: u64,
    segments: Vec<Segment>,
    buffer: Vec<u8>,
    /// First segment that was written to since the last flush.
    dirty: usize,
    /// A write that failed; told by the next flush, because a state machine can't fail to append.
    failure: Option<HistoryError>,
}

impl FileHistory {
    /// Opens the segments in a folder, or creates the first.
    ///
    /// # Errors
    ///
    /// Fails if the folder can't be used or a segment is missing between two others.
    pub fn open(folder: &Path, segment_bytes: u64) -> Result<Self, HistoryError> {
        std::fs::create_dir_all(folder).context(IoSnafu { file: folder })?;
        let mut history = Self {
            folder: folder.to_path_buf(),
            segment_bytes,
            segments: Vec::new(),
            buffer: Vec::new(),
            dirty: 0,
            failure: None,
        };
        for start in segment_starts(folder)? {
            history.open_segment(start)?;
        }
        if history.segments.is_empty() {
            history.open_segment(0)?;
        }
        Ok(history)
    }

    fn open_segment(&mut self, start: u64) -> Result<(), HistoryError> {
        let end = self.written_end();
        ensure!(end == start, PastEndSnafu { end, wanted: start });
        let path = self.folder.join(format!("{start:020}.{EXTENSION}"));
        let mut options = OpenOptions::new();
        let opened = options.create(true).truncate(false).read(true).write(true).open(&path);
        let file = opened.context(IoSnafu { file: &path })?;
        let written = file.metadata().context(IoSnafu { file: &path })?.len();
        self.segments.push(Segment { start, written, path, file });
        Ok(())
    }

    fn written_end(&self) -> u64 {
        self.segments.last().map_or(0, |segment| segment.start + segment.written)
    }

    fn write_out(&mut self) -> Result<(), HistoryError> {
        if self.segments.last().is_some_and(|segment| segment.written >= self.segment_bytes) {
            self.open_segment(self.written_end())?;
        }
        if let Some(segment) = self.segments.last_mut() {
            let outcome = segment.file.write_all_at(&self.buffer, segment.written);
            outcome.context(IoSnafu { file: &segment.path })?;
            segment.written += self.buffer.len() as u64;
            self.buffer.clear();
        }
        Ok(())
    }

    fn write_out_if_due(&mut self) {
        if self.buffer.len() < BUFFER || self.failure.is_some() {
            return;
        }
        if let Err(failure) = self.write_out() {
            self.failure = Some(failure);
        }
    }

    /// The segment that holds an offset which is written out.
    fn segment_at(&self, offset: u64) -> Option<&Segment> {
        let after = self.segments.partition_point(|segment| segment.start <= offset);
        self.segments.get(after.checked_sub(1)?)
    }
}

/// Offsets at which segments begin, in order.
fn segment_starts(folder: &Path) -> Result<Vec<u64>, HistoryError> {
    let mut starts = Vec::new();
    for entry in std::fs::read_dir(folder).context(IoSnafu { file: folder })? {
        let path = entry.context(IoSnafu { file: folder })?.path();
        let ours = path.extension().is_some_and(|extension| extension == EXTENSION);
        let stem = path.file_stem().and_then(|stem| stem.to_str());
        if let Some(start) = stem.filter(|_| ours).and_then(|stem| stem.parse().ok()) {
            starts.push(start);
        }
    }
    starts.sort_unstable();
    Ok(starts)
}

impl History for FileHistory {
    fn append(&mut self, bytes: &[u8]) -> RecordLocation {
        let record = record(self.end(), bytes);
        self.append_raw(bytes);
        record
    }

    fn read(&self, record: RecordLocation) -> Result<Arc<[u8]>, HistoryError> {
        let mut bytes = Vec::with_capacity(record.length as usize);
        while bytes.len() < record.length as usize {
            let offset = record.offset + bytes.len() as u64;
            let piece = self.read_raw(offset, record.length as usize - bytes.len())?;
            ensure!(!piece.is_empty(), PastEndSnafu { end: self.end(), wanted: offset });
            bytes.extend_from_slice(&piece);
        }
        checked(record, &bytes)
    }

    fn end(&self) -> u64 {
        self.written_end() + self.buffer.len() as u64
    }

    fn read_raw(&self, offset: u64, limit: usize) -> Result<Vec<u8>, HistoryError> {
        let written = self.written_end();
        if offset >= written {
            let start = usize::try_from(offset - written).unwrap_or(usize::MAX).min(self.buffer.len());
            let end = start.saturating_add(limit).min(self.buffer.len());
            return Ok(self.buffer[start..end].to_vec());
        }
        let Some(segment) = self.segment_at(offset) else {
            return Ok(Vec::new());
        };
        let within = offset - segment.start;
        let left = usize::try_from(segment.written - within).unwrap_or(usize::MAX);
        let mut bytes = vec![0; left.min(limit)];
        segment.file.read_exact_at(&mut bytes, within).context(IoSnafu { file: &segment.path })?;
        Ok(bytes)
    }

    fn append_raw(&mut self, bytes: &[u8]) {
        self.buffer.extend_from_slice(bytes);
        self.write_out_if_due();
    }

    fn truncate(&mut self, end: u64) -> Result<(), HistoryError> {
        ensure!(end <= self.end(), PastEndSnafu { end: self.end(), wanted: end });
        let written = self.written_end();
        if end >= written {
            self.buffer.truncate(usize::try_from(end - written).unwrap_or(usize::MAX));
            return Ok(());
        }
        self.buffer.clear();
        while let Some(segment) = self.segments.last_mut() {
            if segment.start <= end {
                segment.written = end - segment.start;
                segment.file.set_len(segment.written).context(IoSnafu { file: &segment.path })?;
                break;
            }
            std::fs::remove_file(&segment.path).context(IoSnafu { file: &segment.path })?;
            self.segments.pop();
        }
        self.dirty = self.dirty.min(self.segments.len().saturating_sub(1));
        Ok(())
    }

    fn flush(&mut self) -> Result<Vec<File>, HistoryError> {
        if let Some(failure) = self.failure.take() {
            // What could not be written is still in the buffer, so the next flush tries again.
            return Err(failure);
        }
        self.write_out()?;
        let mut files = Vec::new();
        for segment in &self.segments[self.dirty..] {
            files.push(segment.file.try_clone().context(IoSnafu { file: &segment.path })?);
        }
        files.push(File::open(&self.folder).context(IoSnafu { file: &self.folder })?);
        self.dirty = self.segments.len() - 1;
        Ok(files)
    }
}
