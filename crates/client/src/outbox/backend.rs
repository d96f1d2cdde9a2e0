//! The storage backend of the outbox's database. While a file is being opened and checked, writes
//! are buffered in memory. A file that is not an outbox or is damaged can thus be refused without
//! having been changed. The backend also records the offset of the last read, for error messages.

use redb::StorageBackend;
use std::collections::BTreeMap;
use std::io::{Error, ErrorKind};
use std::sync::{Arc, Mutex};

/// Size of the blocks in which writes are buffered.
const BLOCK_BYTES: u64 = 4096;

#[derive(Debug, Default)]
struct Buffer {
    /// Changed blocks by number; `None` once writes are no longer buffered.
    blocks: Option<BTreeMap<u64, Vec<u8>>>,
    /// Length of the storage including the buffered changes.
    len: u64,
    /// Offset of the last read.
    last_read: u64,
}

/// Gives the offset of a backend's last read, for error messages.
#[derive(Debug)]
pub struct LastReadOffset(Arc<Mutex<Buffer>>);

impl LastReadOffset {
    /// The offset of the last read, in bytes.
    pub fn get(&self) -> u64 {
        self.0
            .lock()
            .unwrap_or_else(std::sync::PoisonError::into_inner)
            .last_read
    }
}

/// A backend that buffers changes to another one until
/// [`BufferedBackend::flush_and_stop_buffering`] is called.
#[derive(Debug)]
pub struct BufferedBackend<B> {
    inner: Arc<B>,
    buffer: Arc<Mutex<Buffer>>,
}

impl<B> Clone for BufferedBackend<B> {
    fn clone(&self) -> Self {
        BufferedBackend {
            inner: self.inner.clone(),
            buffer: self.buffer.clone(),
        }
    }
}

impl<B: StorageBackend> BufferedBackend<B> {
    /// Wraps `inner`, and buffers all changes to it from now on.
    pub fn new(inner: B) -> Result<BufferedBackend<B>, Error> {
        let buffer = Buffer {
            blocks: Some(BTreeMap::new()),
            len: inner.len()?,
            last_read: 0,
        };
        Ok(BufferedBackend {
            inner: Arc::new(inner),
            buffer: Arc::new(Mutex::new(buffer)),
        })
    }

    /// Gives access to the offset of the last read.
    pub fn last_read_offset(&self) -> LastReadOffset {
        LastReadOffset(self.buffer.clone())
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, Buffer> {
        self.buffer
            .lock()
            .unwrap_or_else(std::sync::PoisonError::into_inner)
    }

    /// Writes the buffered changes to the inner backend, and stops buffering.
    pub fn flush_and_stop_buffering(&self) -> Result<(), Error> {
        let mut buffer = self.lock();
        let Some(blocks) = buffer.blocks.take() else {
            return Ok(());
        };
        if self.inner.len()? != buffer.len {
            self.inner.set_len(buffer.len)?;
        }
        for (number, block) in blocks {
            let start = number * BLOCK_BYTES;
            let size = buffer.len.saturating_sub(start).min(BLOCK_BYTES) as usize;
            self.inner.write(start, &block[..size])?;
        }
        self.inner.sync_data()
    }

    /// The content of a block, including buffered changes.
    fn block(&self, buffer: &Buffer, number: u64) -> Result<Vec<u8>, Error> {
        if let Some(block) = buffer.blocks.as_ref().and_then(|b| b.get(&number)) {
            return Ok(block.clone());
        }
        let mut block = vec![0; BLOCK_BYTES as usize];
        let start = number * BLOCK_BYTES;
        let size = self.inner.len()?.saturating_sub(start).min(BLOCK_BYTES) as usize;
        self.inner.read(start, &mut block[..size])?;
        Ok(block)
    }
}

impl<B: StorageBackend> StorageBackend for BufferedBackend<B> {
    fn len(&self) -> Result<u64, Error> {
        let buffer = self.lock();
        match buffer.blocks {
            Some(_) => Ok(buffer.len),
            None => self.inner.len(),
        }
    }

    fn read(&self, offset: u64, out: &mut [u8]) -> Result<(), Error> {
        let mut buffer = self.lock();
        buffer.last_read = offset;
        if buffer.blocks.is_none() {
            drop(buffer);
            return self.inner.read(offset, out);
        }
        if offset + out.len() as u64 > buffer.len {
            return Err(Error::from(ErrorKind::UnexpectedEof));
        }
        let mut done = 0;
        while done < out.len() {
            let at = offset + done as u64;
            let block = self.block(&buffer, at / BLOCK_BYTES)?;
            let from = (at % BLOCK_BYTES) as usize;
            let count = (BLOCK_BYTES as usize - from).min(out.len() - done);
            out[done..done + count].copy_from_slice(&block[from..from + count]);
            done += count;
        }
        Ok(())
    }

    fn set_len(&self, len: u64) -> Result<(), Error> {
        let mut buffer = self.lock();
        if buffer.blocks.is_none() {
            drop(buffer);
            return self.inner.set_len(len);
        }
        buffer.len = len;
        Ok(())
    }

    fn sync_data(&self) -> Result<(), Error> {
        let is_buffering = self.lock().blocks.is_some();
        match is_buffering {
            true => Ok(()),
            false => self.inner.sync_data(),
        }
    }

    fn write(&self, offset: u64, data: &[u8]) -> Result<(), Error> {
        let mut buffer = self.lock();
        if buffer.blocks.is_none() {
            drop(buffer);
            return self.inner.write(offset, data);
        }
        let mut done = 0;
        while done < data.len() {
            let at = offset + done as u64;
            let mut block = self.block(&buffer, at / BLOCK_BYTES)?;
            let from = (at % BLOCK_BYTES) as usize;
            let count = (BLOCK_BYTES as usize - from).min(data.len() - done);
            block[from..from + count].copy_from_slice(&data[done..done + count]);
            if let Some(blocks) = buffer.blocks.as_mut() {
                blocks.insert(at / BLOCK_BYTES, block);
            }
            done += count;
        }
        buffer.len = buffer.len.max(offset + data.len() as u64);
        Ok(())
    }

    fn close(&self) -> Result<(), Error> {
        let is_buffering = self.lock().blocks.is_some();
        match is_buffering {
            true => Ok(()),
            false => self.inner.close(),
        }
    }
}

/// The first bytes of every outbox file, as defined by redb's published file format.
pub const MAGIC: [u8; 9] = *b"redb\x1A\x0A\xA9\x0D\x0A";

/// The first offset at which the content differs from the first bytes of an outbox file. `None` if
/// it does not differ, or if the storage is empty.
pub fn first_mismatch<B: StorageBackend>(backend: &B) -> Result<Option<u64>, Error> {
    let len = backend.len()?;
    if len == 0 {
        return Ok(None);
    }
    let mut start = vec![0; MAGIC.len().min(len as usize)];
    backend.read(0, &mut start)?;
    let same = start.iter().zip(MAGIC).take_while(|(a, b)| *a == b).count();
    Ok((same < MAGIC.len()).then_some(same as u64))
}
