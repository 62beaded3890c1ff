//! History in segment files, each named after the offset of its first byte.

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
use crate::history::locate;
use crate::history::verify;

/// Buffered bytes above which the buffer is written out.
const WRITE_BUFFER_BYTES: usize = 256 << 10;
/// File name extension of segments.
const SEGMENT_EXTENSION: &str = "history";

#[derive(Debug)]
struct Segment {
    start: u64,
    /// Length of the file in bytes.
    written: u64,
    path: PathBuf,
    file: File,
}

/// Segment files of one group with a write buffer.
#[derive(Debug)]
pub struct FileHistory {
    folder: PathBuf,
    segment_bytes: u64,
    segments: Vec<Segment>,
    buffer: Vec<u8>,
    /// Index of the first segment written to since the last flush.
    first_dirty: usize,
    /// Write error that the next flush returns, because append can't fail.
    write_error: Option<HistoryError>,
}

impl FileHistory {
    /// Opens the segments in a folder, or creates the first one.
    ///
    /// # Errors
    ///
    /// Fails if a file operation fails or a segment is missing.
    pub fn open(folder: &Path, segment_bytes: u64) -> Result<Self, HistoryError> {
        std::fs::create_dir_all(folder).context(IoSnafu { file: folder })?;
        let mut history = Self {
            folder: folder.to_path_buf(),
            segment_bytes,
            segments: Vec::new(),
            buffer: Vec::new(),
            first_dirty: 0,
            write_error: None,
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
        let path = self.folder.join(format!("{start:020}.{SEGMENT_EXTENSION}"));
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
            let result = segment.file.write_all_at(&self.buffer, segment.written);
            result.context(IoSnafu { file: &segment.path })?;
            segment.written += self.buffer.len() as u64;
            self.buffer.clear();
        }
        Ok(())
    }

    fn write_out_if_full(&mut self) {
        if self.buffer.len() < WRITE_BUFFER_BYTES || self.write_error.is_some() {
            return;
        }
        if let Err(error) = self.write_out() {
            self.write_error = Some(error);
        }
    }

    /// The segment that holds an offset below the written end.
    fn segment_at(&self, offset: u64) -> Option<&Segment> {
        let next = self.segments.partition_point(|segment| segment.start <= offset);
        self.segments.get(next.checked_sub(1)?)
    }
}

/// Sorted start offsets of the segments in a folder.
fn segment_starts(folder: &Path) -> Result<Vec<u64>, HistoryError> {
    let mut starts = Vec::new();
    for entry in std::fs::read_dir(folder).context(IoSnafu { file: folder })? {
        let path = entry.context(IoSnafu { file: folder })?.path();
        let is_segment = path.extension().is_some_and(|extension| extension == SEGMENT_EXTENSION);
        let stem = path.file_stem().and_then(|stem| stem.to_str());
        if let Some(start) = stem.filter(|_| is_segment).and_then(|stem| stem.parse().ok()) {
            starts.push(start);
        }
    }
    starts.sort_unstable();
    Ok(starts)
}

impl History for FileHistory {
    fn append(&mut self, bytes: &[u8]) -> RecordLocation {
        let location = locate(self.end(), bytes);
        self.append_raw(bytes);
        location
    }

    fn read(&self, location: RecordLocation) -> Result<Arc<[u8]>, HistoryError> {
        let mut bytes = Vec::with_capacity(location.length as usize);
        while bytes.len() < location.length as usize {
            let offset = location.offset + bytes.len() as u64;
            let chunk = self.read_raw(offset, location.length as usize - bytes.len())?;
            ensure!(!chunk.is_empty(), PastEndSnafu { end: self.end(), wanted: offset });
            bytes.extend_from_slice(&chunk);
        }
        verify(location, &bytes)
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
        let position = offset - segment.start;
        let available = usize::try_from(segment.written - position).unwrap_or(usize::MAX);
        let mut bytes = vec![0; available.min(limit)];
        segment.file.read_exact_at(&mut bytes, position).context(IoSnafu { file: &segment.path })?;
        Ok(bytes)
    }

    fn append_raw(&mut self, bytes: &[u8]) {
        self.buffer.extend_from_slice(bytes);
        self.write_out_if_full();
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
        self.first_dirty = self.first_dirty.min(self.segments.len().saturating_sub(1));
        Ok(())
    }

    fn flush(&mut self) -> Result<Vec<File>, HistoryError> {
        if let Some(error) = self.write_error.take() {
            // The buffer still holds the unwritten bytes, so the next flush retries.
            return Err(error);
        }
        self.write_out()?;
        let mut files = Vec::new();
        for segment in &self.segments[self.first_dirty..] {
            files.push(segment.file.try_clone().context(IoSnafu { file: &segment.path })?);
        }
        files.push(File::open(&self.folder).context(IoSnafu { file: &self.folder })?);
        self.first_dirty = self.segments.len() - 1;
        Ok(files)
    }
}
