//! A storage that drops all data, for measuring what the service costs without its log.

use frostgauge_storage::Storage;
use std::collections::BTreeMap;
use std::io::{self, ErrorKind};

/// Keeps the names of files in memory, and discards their contents.
#[derive(Debug, Default)]
pub struct VolatileStorage(BTreeMap<String, ()>);

impl Storage for VolatileStorage {
    fn list(&self) -> io::Result<Vec<String>> {
        Ok(self.0.keys().cloned().collect())
    }

    fn read_at(&self, _: &str, _: u64, _: &mut [u8]) -> io::Result<usize> {
        Ok(0)
    }

    fn create(&mut self, name: &str) -> io::Result<()> {
        self.0.insert(name.to_owned(), ());
        Ok(())
    }

    fn write_at(&mut self, _: &str, _: u64, _: &[u8]) -> io::Result<()> {
        Ok(())
    }

    fn truncate(&mut self, _: &str, _: u64) -> io::Result<()> {
        Ok(())
    }

    fn sync(&mut self, _: &str) -> io::Result<()> {
        Ok(())
    }

    fn sync_folder(&mut self) -> io::Result<()> {
        Ok(())
    }

    fn rename(&mut self, from: &str, to: &str) -> io::Result<()> {
        self.0.remove(from).ok_or(ErrorKind::NotFound)?;
        self.0.insert(to.to_owned(), ());
        Ok(())
    }

    fn remove(&mut self, name: &str) -> io::Result<()> {
        self.0.remove(name).ok_or_else(|| ErrorKind::NotFound.into())
    }

    fn location(&self) -> String {
        "volatile storage".into()
    }
}
