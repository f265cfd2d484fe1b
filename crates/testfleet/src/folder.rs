//! Temporary folders for tests, and recursive copies of folders.

use std::fs;
use std::io;
use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicU32, Ordering};

/// A temporary folder that is removed on drop. If the thread is panicking, it is kept to inspect the failed test.
#[derive(Debug)]
pub struct Folder(PathBuf);

impl Folder {
    /// Creates a new folder below `parent`.
    ///
    /// # Errors
    /// Returns the system's error if the folder cannot be created.
    pub fn below(parent: &Path) -> io::Result<Self> {
        static COUNT: AtomicU32 = AtomicU32::new(0);
        let number = COUNT.fetch_add(1, Ordering::Relaxed);
        let path = parent.join(format!("testfleet-{}-{number}", std::process::id()));
        fs::create_dir_all(&path)?;
        Ok(Self(path))
    }

    /// Returns the path of the folder.
    #[must_use]
    pub fn path(&self) -> &Path {
        &self.0
    }
}

impl Drop for Folder {
    fn drop(&mut self) {
        if !std::thread::panicking() {
            let _ = fs::remove_dir_all(&self.0);
        }
    }
}

/// Creates an empty folder, removing an existing folder of that path with its contents.
///
/// # Errors
/// Returns the system's error if the old folder cannot be removed or the new folder cannot be created.
pub fn create_empty(folder: &Path) -> io::Result<()> {
    match fs::remove_dir_all(folder) {
        Err(error) if error.kind() != io::ErrorKind::NotFound => return Err(error),
        _ => {}
    }
    fs::create_dir_all(folder)
}

/// Replaces the folder `to` by a recursive copy of the folder `from`.
///
/// # Errors
/// Returns the system's error if a file or folder cannot be read or written.
pub fn replace_with_copy(from: &Path, to: &Path) -> io::Result<()> {
    create_empty(to)?;
    for entry in fs::read_dir(from)? {
        let entry = entry?;
        let target = to.join(entry.file_name());
        if entry.file_type()?.is_dir() {
            replace_with_copy(&entry.path(), &target)?;
        } else {
            fs::copy(entry.path(), target)?;
        }
    }
    Ok(())
}
