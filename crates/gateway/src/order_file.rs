//! The file in which the orders in force outlive a process, and by which two processes of one balancer share them.

use maintenance::Orders;
use std::io;
use std::path::{Path, PathBuf};

/// The file, and what it was last seen to hold.
#[derive(Debug)]
pub struct OrderFile {
    path: PathBuf,
    seen: Option<String>,
}

impl OrderFile {
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

    /// What the file holds, if that is new to us. One that cannot be read is told of, kept aside, and stops nothing.
    pub fn poll(&mut self) -> Option<Orders> {
        let text = match std::fs::read_to_string(&self.path) {
            Ok(text) if Some(&text) != self.seen.as_ref() => text,
            Ok(_) => return None,
            Err(error) if error.kind() == io::ErrorKind::NotFound => return None,
            Err(error) => return self.put_aside(&error.to_string()),
        };
        match Orders::from_text(&text) {
            Ok(orders) => {
                self.seen = Some(text);
                Some(orders)
            }
            Err(error) => self.put_aside(&error.to_string()),
        }
    }

    fn put_aside(&self, why: &str) -> Option<Orders> {
        let aside = self.path.with_extension("unreadable");
        let kept = match std::fs::rename(&self.path, &aside) {
            Ok(()) => format!("kept as {}", aside.display()),
            Err(error) => format!("and cannot be put aside: {error}"),
        };
        log::error!("orders in {}: {why}; {kept}; those held go on", self.path.display());
        None
    }

    /// Writes orders, whole or not at all.
    ///
    /// # Errors
    /// When they could not be written; the file then holds what it held.
    pub fn save(&mut self, orders: &Orders) -> io::Result<()> {
        let (text, aside) =
            (orders.to_text(), self.path.with_extension(format!("{}.new", std::process::id())));
        let written = std::fs::write(&aside, &text).and_then(|()| std::fs::rename(&aside, &self.path));
        if written.is_err() {
            let _ = std::fs::remove_file(&aside); // a part of it may stand there
        }
        written?;
        self.seen = Some(text);
        Ok(())
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use maintenance::{Maintenance, Order};

    /// A folder of its own for each test, gone with it.
    struct Folder(PathBuf);

    impl Folder {
        fn new(name: &str) -> Self {
            let folder = std::env::temp_dir().join(format!("spindlebeam-{}-{name}", std::process::id()));
            std::fs::create_dir(&folder).unwrap();
            Self(folder)
        }
        fn file(&self) -> OrderFile {
            OrderFile::new(self.0.join("orders.json"))
        }
    }

    impl Drop for Folder {
        fn drop(&mut self) {
            let _ = std::fs::remove_dir_all(&self.0);
        }
    }

    #[test]
    fn what_one_process_saves_is_news_to_the_other_once() {
        let folder = Folder::new("shared");
        let (mut one, mut other) = (folder.file(), folder.file());
        assert_eq!(other.poll(), None, "there is no file as yet");
        let mut maintenance = Maintenance::new(None, Orders::default());
        maintenance.carry_out(1, &Order::Drain).unwrap();
        one.save(maintenance.orders()).unwrap();
        assert_eq!((one.poll(), other.poll().as_ref()), (None, Some(maintenance.orders())));
        assert_eq!(other.poll(), None);
        assert_eq!(std::fs::read_dir(&folder.0).unwrap().count(), 1, "nothing is left aside");
    }

    #[test]
    fn a_file_that_cannot_be_read_is_put_aside_and_the_next_one_is_read() {
        let folder = Folder::new("unreadable");
        let mut file = folder.file();
        for broken in [&b"{\"version\":1,\"out\":"[..], b"{\"version\":9}", b"\xff\xfe"] {
            std::fs::write(file.path(), broken).unwrap();
            assert_eq!(file.poll(), None);
            assert!(!file.path().exists());
            assert_eq!(std::fs::read(folder.0.join("orders.unreadable")).unwrap(), broken, "nothing is lost");
        }
        folder.file().save(&Orders::default()).unwrap();
        assert_eq!(file.poll(), Some(Orders::default()));
    }
}
