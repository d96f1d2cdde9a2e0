//! A disk that loses power.

use redb::StorageBackend;
use std::io::{Error, ErrorKind};
use std::sync::{Arc, Mutex};

/// A disk in memory. What was written and not synced is lost, or only a part of
/// it, when the power goes.
#[derive(Debug, Default)]
pub struct Disk {
    synced: Vec<u8>,
    now: Vec<u8>,
    /// Changes until the power goes or the space ends.
    left: Option<(usize, ErrorKind)>,
}

#[derive(Debug, Clone, Default)]
pub struct Power(Arc<Mutex<Disk>>);

impl Power {
    fn change(&self, change: impl FnOnce(&mut Disk)) -> Result<(), Error> {
        let mut disk = self.0.lock().unwrap();
        match disk.left {
            Some((0, kind)) => return Err(Error::from(kind)),
            Some((left, kind)) => disk.left = Some((left - 1, kind)),
            None => {}
        }
        change(&mut disk);
        Ok(())
    }

    pub fn fails_after(&self, changes: usize, kind: ErrorKind) {
        self.0.lock().unwrap().left = Some((changes, kind));
    }

    /// What the next process finds: all that was synced, and of the rest every
    /// `keep`th page.
    pub fn after_crash(&self, keep: usize) -> Power {
        let disk = self.0.lock().unwrap();
        let mut found = disk.synced.clone();
        if keep > 0 {
            found.resize(disk.now.len().max(found.len()), 0);
            for page in (0..disk.now.len() / 4096).step_by(keep) {
                let range = page * 4096..(page + 1) * 4096;
                found[range.clone()].copy_from_slice(&disk.now[range]);
            }
        }
        Power(Arc::new(Mutex::new(Disk {
            synced: found.clone(),
            now: found,
            left: None,
        })))
    }
}

impl StorageBackend for Power {
    fn len(&self) -> Result<u64, Error> {
        Ok(self.0.lock().unwrap().now.len() as u64)
    }
    fn read(&self, offset: u64, out: &mut [u8]) -> Result<(), Error> {
        let disk = self.0.lock().unwrap();
        let from = offset as usize;
        match disk.now.get(from..from + out.len()) {
            Some(found) => out.copy_from_slice(found),
            None => return Err(Error::from(ErrorKind::UnexpectedEof)),
        }
        Ok(())
    }
    fn set_len(&self, len: u64) -> Result<(), Error> {
        self.change(|d| d.now.resize(len as usize, 0))
    }
    fn sync_data(&self) -> Result<(), Error> {
        self.change(|d| d.synced = d.now.clone())
    }
    fn write(&self, offset: u64, data: &[u8]) -> Result<(), Error> {
        self.change(|d| {
            let from = offset as usize;
            d.now[from..from + data.len()].copy_from_slice(data);
        })
    }
}
