//! The file in which the orders in force outlive a process, and by which two processes of one balancer share them.

use maintenance::{OperatorOverrides, WriteError};
use std::fs::{self, File};
use std::io;
use std::path::{Path, PathBuf};

/// The file, and what it was last seen to hold.
#[derive(Debug)]
pub struct OverrideFile {
    path: PathBuf,
    seen: Option<String>,
}

impl OverrideFile {
    /// The file at this place, which need not exist.
    #[must_use]
    pub fn new(path: PathBuf) -> Self {
        Self { path, seen: None }
    }

    /// Where it is.
    #[must_use]
    pub fn path(&self) -> &Path {
        &self.path
    }

    /// What the file holds, if that is new to us. What is not in the form of orders is logged, put aside, and stops nothing.
    ///
    /// # Errors
    /// When it cannot be read now; it is left where it is.
    pub fn poll(&mut self) -> io::Result<Option<OperatorOverrides>> {
        match fs::read(&self.path) {
            Ok(bytes) => Ok(self.take(&bytes)),
            Err(error) if error.kind() == io::ErrorKind::NotFound => Ok(None),
            Err(error) => Err(error),
        }
    }

    fn take(&mut self, bytes: &[u8]) -> Option<OperatorOverrides> {
        let text = String::from_utf8_lossy(bytes);
        if self.seen.as_deref() == Some(&*text) {
            return None;
        }
        match OperatorOverrides::from_text(&text) {
            Ok(orders) => {
                self.seen = Some(text.into_owned());
                Some(orders)
            }
            Err(error) => {
                self.put_aside(&error.to_string());
                None
            }
        }
    }

    fn put_aside(&self, why: &str) {
        let aside = self.path.with_extension("unreadable");
        let kept = match fs::rename(&self.path, &aside) {
            Ok(()) => format!("kept as {}", aside.display()),
            Err(error) => format!("and cannot be put aside: {error}"),
        };
        log::error!("orders in {}: {why}; {kept}; those held go on", self.path.display());
    }

    /// Writes orders, whole or not at all, unless another process has written others since the last look. The lock is between
    /// the processes of this balancer, and ends with the process that holds it.
    ///
    /// # Errors
    /// When they were not written; the file then holds what it held.
    pub fn save(&mut self, orders: &OperatorOverrides) -> Result<(), WriteError> {
        let lock = File::create(self.path.with_extension("lock"))?;
        lock.lock()?;
        if let Some(others) = self.poll()? {
            return Err(WriteError::Changed(others));
        }
        let text = orders.to_text();
        self.replace(&text)?;
        self.seen = Some(text);
        Ok(())
    }

    fn replace(&self, text: &str) -> io::Result<()> {
        let new = self.path.with_extension(format!("{}.new", std::process::id()));
        let written = fs::write(&new, text).and_then(|()| fs::rename(&new, &self.path));
        if written.is_err() {
            let _ = fs::remove_file(&new); // a part of it may stand there
        }
        written
    }
}
