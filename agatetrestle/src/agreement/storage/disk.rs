//! File system abstraction, so that tests can simulate full disks, torn writes and lost unsynced data.

use std::fs;
use std::fs::File;
use std::fs::OpenOptions;
use std::io;
use std::io::Write as _;
use std::path::Path;
use std::path::PathBuf;

/// One flat folder of files. Neither contents nor names are durable until they are synced.
pub trait Disk: Send {
    /// Returns the names of all files.
    ///
    /// # Errors
    ///
    /// Like all methods here, fails on errors of the file system.
    fn list(&self) -> io::Result<Vec<String>>;

    /// Returns the content of a file.
    ///
    /// # Errors
    ///
    /// As above.
    fn read(&self, name: &str) -> io::Result<Vec<u8>>;

    /// Creates an empty file, or truncates an existing one to zero length.
    ///
    /// # Errors
    ///
    /// As above.
    fn create(&mut self, name: &str) -> io::Result<()>;

    /// Appends to a file; on failure some of the bytes may have been written.
    ///
    /// # Errors
    ///
    /// As above.
    fn append(&mut self, name: &str, bytes: &[u8]) -> io::Result<()>;

    /// Makes the content of a file durable.
    ///
    /// # Errors
    ///
    /// As above; the state of unsynced content is then unknown.
    fn sync(&mut self, name: &str) -> io::Result<()>;

    /// Truncates a file to a length; durable after the next sync of the file.
    ///
    /// # Errors
    ///
    /// As above.
    fn truncate(&mut self, name: &str, length: u64) -> io::Result<()>;

    /// Renames a file over another; durable after the next sync of the folder.
    ///
    /// # Errors
    ///
    /// As above.
    fn rename(&mut self, from: &str, to: &str) -> io::Result<()>;

    /// Removes a file; durable after the next sync of the folder.
    ///
    /// # Errors
    ///
    /// As above.
    fn remove(&mut self, name: &str) -> io::Result<()>;

    /// Makes creations, renames and removals durable.
    ///
    /// # Errors
    ///
    /// As above.
    fn sync_folder(&mut self) -> io::Result<()>;
}

/// File that is locked while the folder is open; the lock ends with the process.
const LOCK_FILE: &str = "lock";

/// A folder of the file system. The file last written to stays open.
#[derive(Debug)]
pub struct FileDisk {
    folder: PathBuf,
    open: Option<(String, File)>,
    pub(super) lock: File,
}

impl FileDisk {
    /// Opens and locks a folder, creating it durably if it is missing. The lock is held until this is dropped.
    ///
    /// # Errors
    ///
    /// Fails on errors of the file system, and with [`io::ErrorKind::WouldBlock`] if the folder is in use.
    pub fn open(folder: &Path) -> io::Result<Self> {
        fs::create_dir_all(folder)?;
        if let Some(parent) = folder.parent().filter(|parent| !parent.as_os_str().is_empty()) {
            File::open(parent)?.sync_all()?;
        }
        let lock = File::create(folder.join(LOCK_FILE))?;
        lock.try_lock()?;
        Ok(Self { folder: folder.to_path_buf(), open: None, lock })
    }

    fn path(&self, name: &str) -> PathBuf {
        self.folder.join(name)
    }

    fn file(&mut self, name: &str) -> io::Result<&mut File> {
        let open = self.open.take().filter(|(open, _)| open == name);
        let open = match open {
            Some(open) => open,
            None => (name.to_owned(), OpenOptions::new().append(true).open(self.path(name))?),
        };
        Ok(&mut self.open.insert(open).1)
    }
}

impl Drop for FileDisk {
    fn drop(&mut self) {
        // Closing the file does not suffice: a process that is being started holds it too until it runs its program. If this
        // fails, the lock ends with that process.
        let _ = self.lock.unlock();
    }
}

impl Disk for FileDisk {
    fn list(&self) -> io::Result<Vec<String>> {
        let mut names = Vec::new();
        for entry in fs::read_dir(&self.folder)? {
            names.push(entry?.file_name().to_string_lossy().into_owned());
        }
        Ok(names)
    }

    fn read(&self, name: &str) -> io::Result<Vec<u8>> {
        fs::read(self.path(name))
    }

    fn create(&mut self, name: &str) -> io::Result<()> {
        let file = File::create(self.path(name))?;
        self.open = Some((name.to_owned(), file));
        Ok(())
    }

    fn append(&mut self, name: &str, bytes: &[u8]) -> io::Result<()> {
        self.file(name)?.write_all(bytes)
    }

    fn sync(&mut self, name: &str) -> io::Result<()> {
        self.file(name)?.sync_data()
    }

    fn truncate(&mut self, name: &str, length: u64) -> io::Result<()> {
        self.file(name)?.set_len(length)?;
        self.open = None;
        Ok(())
    }

    fn rename(&mut self, from: &str, to: &str) -> io::Result<()> {
        self.open = None;
        fs::rename(self.path(from), self.path(to))
    }

    fn remove(&mut self, name: &str) -> io::Result<()> {
        self.open = None;
        fs::remove_file(self.path(name))
    }

    fn sync_folder(&mut self) -> io::Result<()> {
        File::open(&self.folder)?.sync_all()
    }
}
