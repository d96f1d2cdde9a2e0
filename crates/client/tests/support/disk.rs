//! A simulated disk that fails or loses power.

use redb::StorageBackend;
use std::io::{Error, ErrorKind};
use std::sync::{Arc, Mutex};

const PAGE_BYTES: usize = 4096;

#[derive(Debug, Default)]
pub struct DiskState {
    /// Content at the last sync.
    synced: Vec<u8>,
    /// Content with all writes, also those that are not synced.
    written: Vec<u8>,
    /// How many more changes succeed, and the error of all later ones. `None` if none fails.
    failure: Option<(usize, ErrorKind)>,
}

/// A disk in memory. After a loss of power, writes that were not synced are lost completely or in
/// part. Clones share the state.
#[derive(Debug, Clone, Default)]
pub struct FaultyDisk(Arc<Mutex<DiskState>>);

impl FaultyDisk {
    fn change(&self, change: impl FnOnce(&mut DiskState)) -> Result<(), Error> {
        let mut disk = self.0.lock().unwrap();
        match disk.failure {
            Some((0, kind)) => return Err(Error::from(kind)),
            Some((remaining, kind)) => disk.failure = Some((remaining - 1, kind)),
            None => {}
        }
        change(&mut disk);
        Ok(())
    }

    /// Lets this many changes succeed, and fails all later ones.
    pub fn fail_after(&self, changes: usize, kind: ErrorKind) {
        self.0.lock().unwrap().failure = Some((changes, kind));
    }

    /// The disk as the next process finds it after a loss of power: all synced content and, of the
    /// writes that were not synced, every `kept_step`th page. With a step of 0 none is kept.
    pub fn after_crash(&self, kept_step: usize) -> FaultyDisk {
        let disk = self.0.lock().unwrap();
        let mut content = disk.synced.clone();
        if kept_step > 0 {
            content.resize(disk.written.len().max(content.len()), 0);
            for page in (0..disk.written.len() / PAGE_BYTES).step_by(kept_step) {
                let range = page * PAGE_BYTES..(page + 1) * PAGE_BYTES;
                content[range.clone()].copy_from_slice(&disk.written[range]);
            }
        }
        FaultyDisk(Arc::new(Mutex::new(DiskState {
            synced: content.clone(),
            written: content,
            failure: None,
        })))
    }
}

impl StorageBackend for FaultyDisk {
    fn len(&self) -> Result<u64, Error> {
        Ok(self.0.lock().unwrap().written.len() as u64)
    }
    fn read(&self, offset: u64, out: &mut [u8]) -> Result<(), Error> {
        let disk = self.0.lock().unwrap();
        let from = offset as usize;
        match disk.written.get(from..from + out.len()) {
            Some(found) => out.copy_from_slice(found),
            None => return Err(Error::from(ErrorKind::UnexpectedEof)),
        }
        Ok(())
    }
    fn set_len(&self, len: u64) -> Result<(), Error> {
        self.change(|d| d.written.resize(len as usize, 0))
    }
    fn sync_data(&self) -> Result<(), Error> {
        self.change(|d| d.synced = d.written.clone())
    }
    fn write(&self, offset: u64, data: &[u8]) -> Result<(), Error> {
        self.change(|d| {
            let from = offset as usize;
            d.written[from..from + data.len()].copy_from_slice(data);
        })
    }
}
