//! The file that stores operator overrides for the next process, and through which two processes of one balancer share
//! them.

use maintenance::{OperatorOverrides, UnreadableOverrides, WriteError};
use std::fs::{self, File};
use std::io;
use std::path::{Path, PathBuf};

/// The overrides file and its last known content.
#[derive(Debug)]
pub struct OverrideFile {
    path: PathBuf,
    last_content: Option<String>,
}

impl OverrideFile {
    /// Creates an accessor for the file at this path. The file need not exist.
    #[must_use]
    pub fn new(path: PathBuf) -> Self {
        Self { path, last_content: None }
    }

    /// Returns the path of the file.
    #[must_use]
    pub fn path(&self) -> &Path {
        &self.path
    }

    /// Reads the file, and returns its overrides if they have changed since the last poll or save. An invalid file is
    /// logged and moved aside; the current overrides stay in force.
    ///
    /// # Errors
    /// Returns an error if the file cannot be read. The file is not moved.
    pub fn poll(&mut self) -> io::Result<Option<OperatorOverrides>> {
        match fs::read(&self.path) {
            Ok(bytes) => Ok(self.parse_changed(&bytes)),
            Err(error) if error.kind() == io::ErrorKind::NotFound => Ok(None),
            Err(error) => Err(error),
        }
    }

    fn parse_changed(&mut self, bytes: &[u8]) -> Option<OperatorOverrides> {
        let text = String::from_utf8_lossy(bytes);
        if self.last_content.as_deref() == Some(&*text) {
            return None;
        }
        match OperatorOverrides::from_text(&text) {
            Ok(overrides) => {
                self.last_content = Some(text.into_owned());
                Some(overrides)
            }
            Err(error) => {
                self.move_aside(&error);
                None
            }
        }
    }

    fn move_aside(&self, reason: &UnreadableOverrides) {
        let aside = self.path.with_extension("unreadable");
        let moved = match fs::rename(&self.path, &aside) {
            Ok(()) => format!("moved to {}", aside.display()),
            Err(error) => format!("cannot be moved aside: {error}"),
        };
        log::error!("overrides: {}: {reason}; {moved}; keeping the current overrides", self.path.display());
    }

    /// Writes overrides atomically, unless another process has changed the file since the last poll. A lock file
    /// excludes the other processes of this balancer. The lock is released when its process ends.
    ///
    /// # Errors
    /// Returns an error if the overrides were not written. The file is then unchanged.
    pub fn save(&mut self, overrides: &OperatorOverrides) -> Result<(), WriteError> {
        let lock = File::create(self.path.with_extension("lock"))?;
        lock.lock()?;
        if let Some(others) = self.poll()? {
            return Err(WriteError::Changed(others));
        }
        let text = overrides.to_text();
        self.replace(&text)?;
        self.last_content = Some(text);
        Ok(())
    }

    fn replace(&self, text: &str) -> io::Result<()> {
        let new = self.path.with_extension(format!("{}.new", std::process::id()));
        let written = fs::write(&new, text).and_then(|()| fs::rename(&new, &self.path));
        if written.is_err() {
            let _ = fs::remove_file(&new); // the new file may be incomplete
        }
        written
    }
}
