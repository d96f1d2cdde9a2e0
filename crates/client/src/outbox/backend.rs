//! The storage backend of the outbox's database. While a file is being opened and checked,
//! writes are buffered in memory: a foreign or damaged file is refused and stays as it was, and
//! the error names the offset that was read last.

use redb::StorageBackend;
use std::collections::BTreeMap;
use std::io::{Error, ErrorKind};
use std::sync::{Arc, Mutex};

/// Size of the pieces in which changes are held back.
const PIECE: u64 = 4096;

#[derive(Debug, Default)]
struct Held {
    /// Changed pieces by number; `None` once all is written through.
    pieces: Option<BTreeMap<u64, Vec<u8>>>,
    len: u64,
    last_read: u64,
}

/// Where was last read, for messages.
#[derive(Debug)]
pub struct Place(Arc<Mutex<Held>>);

impl Place {
    /// The offset in bytes.
    pub fn get(&self) -> u64 {
        self.0
            .lock()
            .unwrap_or_else(std::sync::PoisonError::into_inner)
            .last_read
    }
}

/// A backend that holds changes back until they are let through.
#[derive(Debug)]
pub struct Guarded<B> {
    inner: Arc<B>,
    held: Arc<Mutex<Held>>,
}

impl<B> Clone for Guarded<B> {
    fn clone(&self) -> Self {
        Guarded {
            inner: self.inner.clone(),
            held: self.held.clone(),
        }
    }
}

impl<B: StorageBackend> Guarded<B> {
    /// Holds back changes to `inner` from now on.
    pub fn new(inner: B) -> Result<Guarded<B>, Error> {
        let held = Held {
            pieces: Some(BTreeMap::new()),
            len: inner.len()?,
            last_read: 0,
        };
        Ok(Guarded {
            inner: Arc::new(inner),
            held: Arc::new(Mutex::new(held)),
        })
    }

    /// Where was last read.
    pub fn place(&self) -> Place {
        Place(self.held.clone())
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, Held> {
        self.held
            .lock()
            .unwrap_or_else(std::sync::PoisonError::into_inner)
    }

    /// Writes what was held back, and holds back no more.
    pub fn let_through(&self) -> Result<(), Error> {
        let mut held = self.lock();
        let Some(pieces) = held.pieces.take() else {
            return Ok(());
        };
        if self.inner.len()? != held.len {
            self.inner.set_len(held.len)?;
        }
        for (number, piece) in pieces {
            let at = number * PIECE;
            let most = held.len.saturating_sub(at).min(PIECE) as usize;
            self.inner.write(at, &piece[..most])?;
        }
        self.inner.sync_data()
    }

    /// The piece as it would be, with changes.
    fn piece(&self, held: &Held, number: u64) -> Result<Vec<u8>, Error> {
        if let Some(piece) = held.pieces.as_ref().and_then(|p| p.get(&number)) {
            return Ok(piece.clone());
        }
        let mut piece = vec![0; PIECE as usize];
        let at = number * PIECE;
        let there = self.inner.len()?.saturating_sub(at).min(PIECE) as usize;
        self.inner.read(at, &mut piece[..there])?;
        Ok(piece)
    }
}

impl<B: StorageBackend> StorageBackend for Guarded<B> {
    fn len(&self) -> Result<u64, Error> {
        let held = self.lock();
        match held.pieces {
            Some(_) => Ok(held.len),
            None => self.inner.len(),
        }
    }

    fn read(&self, offset: u64, out: &mut [u8]) -> Result<(), Error> {
        let mut held = self.lock();
        held.last_read = offset;
        if held.pieces.is_none() {
            drop(held);
            return self.inner.read(offset, out);
        }
        if offset + out.len() as u64 > held.len {
            return Err(Error::from(ErrorKind::UnexpectedEof));
        }
        let mut done = 0;
        while done < out.len() {
            let at = offset + done as u64;
            let piece = self.piece(&held, at / PIECE)?;
            let from = (at % PIECE) as usize;
            let n = (PIECE as usize - from).min(out.len() - done);
            out[done..done + n].copy_from_slice(&piece[from..from + n]);
            done += n;
        }
        Ok(())
    }

    fn set_len(&self, len: u64) -> Result<(), Error> {
        let mut held = self.lock();
        if held.pieces.is_none() {
            drop(held);
            return self.inner.set_len(len);
        }
        held.len = len;
        Ok(())
    }

    fn sync_data(&self) -> Result<(), Error> {
        let holding = self.lock().pieces.is_some();
        match holding {
            true => Ok(()),
            false => self.inner.sync_data(),
        }
    }

    fn write(&self, offset: u64, data: &[u8]) -> Result<(), Error> {
        let mut held = self.lock();
        if held.pieces.is_none() {
            drop(held);
            return self.inner.write(offset, data);
        }
        let mut done = 0;
        while done < data.len() {
            let at = offset + done as u64;
            let mut piece = self.piece(&held, at / PIECE)?;
            let from = (at % PIECE) as usize;
            let n = (PIECE as usize - from).min(data.len() - done);
            piece[from..from + n].copy_from_slice(&data[done..done + n]);
            if let Some(pieces) = held.pieces.as_mut() {
                pieces.insert(at / PIECE, piece);
            }
            done += n;
        }
        held.len = held.len.max(offset + data.len() as u64);
        Ok(())
    }

    fn close(&self) -> Result<(), Error> {
        let holding = self.lock().pieces.is_some();
        match holding {
            true => Ok(()),
            false => self.inner.close(),
        }
    }
}

/// First bytes of every outbox file, by redb's published format.
pub const MAGIC: [u8; 9] = *b"redb\x1A\x0A\xA9\x0D\x0A";

/// Where the beginning of a file that is not empty differs from an outbox's.
pub fn foreign_at<B: StorageBackend>(backend: &B) -> Result<Option<u64>, Error> {
    let len = backend.len()?;
    if len == 0 {
        return Ok(None);
    }
    let mut found = vec![0; MAGIC.len().min(len as usize)];
    backend.read(0, &mut found)?;
    let same = found.iter().zip(MAGIC).take_while(|(a, b)| *a == b).count();
    Ok((same < MAGIC.len()).then_some(same as u64))
}
