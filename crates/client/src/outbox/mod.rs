//! The durable outbox (a transactional outbox): a submission is written whole, under an id of
//! its own, before its first byte is sent. After a crash at any point the same ids go on with
//! the same bodies, and a caller's key is one job for ever (or until a compaction forgets a
//! closed one of a settable age).
//!
//! A database of the `redb` crate holds it, in a file or in memory. Every value
//! carries a checksum of its own.

pub mod backend;
mod errors;
pub mod writer;

pub use errors::{KeyTaken, NotQueued, OutboxError, Queued};

use crate::job::{JobId, Key, Work};
use crate::record::Record;
use backend::{foreign_at, Guarded, Place};
use foxspur_wire::job::{check_submission, JobSpec};
use rand::Rng;
use redb::backends::{FileBackend, InMemoryBackend};
use redb::{Database, DatabaseError, ReadableDatabase, ReadableTable, StorageBackend};
use redb::{ReadableTableMetadata, TableDefinition};
use std::fs::{File, OpenOptions, TryLockError};
use std::path::Path;

/// Memory for pages of the database, in bytes.
const CACHE_BYTES: usize = 16 << 20;

/// Job ids by key.
const KEYS: TableDefinition<&str, u64> = TableDefinition::new("keys");
/// Sealed records by job id.
const JOBS: TableDefinition<u64, &[u8]> = TableDefinition::new("jobs");
/// Ids of jobs with an answer open, so that a start need not read the closed ones.
const OPEN: TableDefinition<u64, ()> = TableDefinition::new("open");
/// The layout's version.
const ABOUT: TableDefinition<&str, u64> = TableDefinition::new("about");
/// Version of what is in the tables.
pub(crate) const LAYOUT: u64 = 1;

/// The outbox.
#[derive(Debug)]
pub struct Outbox {
    db: Database,
    /// Where the last read began, for messages.
    last_read: Place,
    /// Holds the file against other processes.
    _lock: Option<File>,
}

/// A value with its checksum in front.
fn seal(record: &Record) -> Vec<u8> {
    let text = serde_json::to_vec(record).unwrap_or_default();
    let mut value = crc32fast::hash(&text).to_le_bytes().to_vec();
    value.extend(text);
    value
}

/// The submission as it goes over the wire under this id.
fn body(spec: &JobSpec, id: JobId) -> Result<String, NotQueued> {
    let spec = JobSpec {
        id: id.to_string(),
        ..spec.clone()
    };
    check_submission(&spec).map_err(NotQueued::Malformed)?;
    serde_json::to_string(&spec).map_err(|e| NotQueued::Malformed(e.to_string()))
}

impl Outbox {
    /// Opens or makes the outbox at `path`. With `verify` every page is checked
    /// first, which takes time in proportion to the file.
    pub fn open(path: &Path, verify: bool) -> Result<Outbox, OutboxError> {
        let io = |e: std::io::Error| Outbox::io(&e);
        let file = OpenOptions::new()
            .read(true)
            .write(true)
            .create(true)
            .truncate(false)
            .open(path)
            .map_err(io)?;
        let lock = file.try_clone().map_err(io)?;
        match lock.try_lock() {
            Ok(()) => {}
            Err(TryLockError::WouldBlock) => return Err(OutboxError::Taken),
            Err(TryLockError::Error(e)) => return Err(io(e)),
        }
        let inner = FileBackend::new(file).map_err(|e| OutboxError::Io(e.to_string()))?;
        let mut outbox = Outbox::with_backend(inner, verify)?;
        outbox._lock = Some(lock);
        Ok(outbox)
    }

    /// An outbox that lasts as long as the process.
    pub fn in_memory() -> Result<Outbox, OutboxError> {
        Outbox::with_backend(InMemoryBackend::new(), false)
    }

    /// An outbox on any storage. Nothing is written to it unless it is sound.
    pub fn with_backend<B: StorageBackend>(inner: B, verify: bool) -> Result<Outbox, OutboxError> {
        let io = |e: std::io::Error| Outbox::io(&e);
        let fresh = inner.len().map_err(io)? == 0;
        if let Some(offset) = foreign_at(&inner).map_err(io)? {
            return Err(OutboxError::Foreign { offset });
        }
        let guarded = Guarded::new(inner).map_err(io)?;
        if fresh {
            // Nothing to protect, and nothing to hold back.
            guarded.let_through().map_err(io)?;
        }
        let outbox = Outbox {
            db: open_database(guarded.clone(), verify && !fresh)?,
            last_read: guarded.place(),
            _lock: None,
        };
        if !fresh {
            outbox.check_content()?;
        }
        guarded.let_through().map_err(io)?;
        if fresh {
            outbox.create_tables()?;
        }
        Ok(outbox)
    }

    /// Checks that the layout is known and all open records can be read.
    fn check_content(&self) -> Result<(), OutboxError> {
        match self.layout()? {
            LAYOUT => {}
            found => return Err(OutboxError::Layout { found }),
        }
        self.open_records()?;
        Ok(())
    }

    fn create_tables(&self) -> Result<(), OutboxError> {
        self.write(|txn| {
            txn.open_table(KEYS)?;
            txn.open_table(JOBS)?;
            txn.open_table(OPEN)?;
            txn.open_table(ABOUT)?.insert("layout", LAYOUT)?;
            Ok(())
        })
    }

    fn io(e: &std::io::Error) -> OutboxError {
        use std::io::ErrorKind::{FileTooLarge, QuotaExceeded, StorageFull};
        match e.kind() {
            StorageFull | QuotaExceeded | FileTooLarge => OutboxError::Full,
            _ => OutboxError::Io(e.to_string()),
        }
    }

    fn failed(&self, e: redb::Error) -> OutboxError {
        match e {
            redb::Error::Io(e) => Outbox::io(&e),
            redb::Error::Corrupted(what) => self.damaged(what),
            // After a failed write redb wants to be opened anew.
            redb::Error::PreviousIo => OutboxError::Io("an earlier write failed".into()),
            other => OutboxError::Io(other.to_string()),
        }
    }

    fn damaged(&self, what: String) -> OutboxError {
        OutboxError::Damaged {
            offset: self.last_read.get(),
            what,
        }
    }

    fn layout(&self) -> Result<u64, OutboxError> {
        let read = || -> Result<u64, redb::Error> {
            let txn = self.db.begin_read()?;
            let table = txn.open_table(ABOUT)?;
            let found = table.get("layout")?.map(|v| v.value());
            Ok(found.unwrap_or(0))
        };
        match read() {
            Err(redb::Error::TableDoesNotExist(_)) => Ok(0),
            other => other.map_err(|e| self.failed(e)),
        }
    }

    /// Runs one transaction: all of it is on the disk, or nothing.
    fn write<T>(
        &self,
        work: impl FnOnce(&redb::WriteTransaction) -> Result<T, redb::Error>,
    ) -> Result<T, OutboxError> {
        let run = || -> Result<T, redb::Error> {
            let txn = self.db.begin_write()?;
            let result = work(&txn)?;
            txn.commit()?;
            Ok(result)
        };
        run().map_err(|e| self.failed(e))
    }

    fn unseal(&self, id: u64, value: &[u8]) -> Result<Record, OutboxError> {
        let bad = |what: &str| self.damaged(format!("job {id}: {what}"));
        let (sum, text) = value
            .split_first_chunk::<4>()
            .ok_or_else(|| bad("too short"))?;
        if crc32fast::hash(text) != u32::from_le_bytes(*sum) {
            return Err(bad("does not match its checksum"));
        }
        serde_json::from_slice(text).map_err(|e| bad(&e.to_string()))
    }

    /// Queues a batch: what is new gets an id and is on the disk when this
    /// returns; what is known is given back as it is.
    pub fn enqueue(
        &self,
        batch: &[Work],
        now_ms: u64,
    ) -> Result<Vec<Result<Queued, NotQueued>>, OutboxError> {
        let mut queued: Vec<Result<Queued, NotQueued>> = Vec::with_capacity(batch.len());
        let mut fault = None;
        self.write(|txn| {
            let mut keys = txn.open_table(KEYS)?;
            let mut jobs = txn.open_table(JOBS)?;
            let mut open = txn.open_table(OPEN)?;
            for work in batch {
                let known = keys.get(work.key.as_str())?.map(|v| v.value());
                if let Some(id) = known {
                    let found = jobs.get(id)?;
                    let record = match found.as_ref().map(|v| self.unseal(id, v.value())) {
                        Some(Ok(record)) => record,
                        Some(Err(e)) => {
                            fault = Some(e);
                            break;
                        }
                        None => {
                            fault = Some(self.damaged(format!("job {id} is missing")));
                            break;
                        }
                    };
                    queued.push(same(work, record));
                    continue;
                }
                // 64 random bits: ids come from many callers that know nothing
                // of each other, and the protocol leaves 20 digits.
                let mut id = rand::rng().random::<u64>();
                while jobs.get(id)?.is_some() {
                    id = rand::rng().random();
                }
                let made = body(&work.spec, JobId(id)).map(|body| {
                    let record = Record::new(JobId(id), work.key.clone(), body, now_ms);
                    Queued::New(record)
                });
                if let Ok(Queued::New(record)) = &made {
                    keys.insert(work.key.as_str(), id)?;
                    jobs.insert(id, seal(record).as_slice())?;
                    open.insert(id, ())?;
                }
                queued.push(made);
            }
            Ok(())
        })?;
        match fault {
            Some(fault) => Err(fault),
            None => Ok(queued),
        }
    }

    /// Writes what became of these jobs.
    pub fn update(&self, records: &[Record]) -> Result<(), OutboxError> {
        self.write(|txn| {
            let mut jobs = txn.open_table(JOBS)?;
            let mut open = txn.open_table(OPEN)?;
            for record in records {
                jobs.insert(record.id.0, seal(record).as_slice())?;
                if record.closed() {
                    open.remove(record.id.0)?;
                }
            }
            Ok(())
        })
    }

    /// The job of this id.
    pub fn find(&self, id: JobId) -> Result<Option<Record>, OutboxError> {
        let read = || -> Result<Option<Vec<u8>>, redb::Error> {
            let txn = self.db.begin_read()?;
            let jobs = txn.open_table(JOBS)?;
            let found = jobs.get(id.0)?.map(|v| v.value().to_vec());
            Ok(found)
        };
        let found = read().map_err(|e| self.failed(e))?;
        found.map(|v| self.unseal(id.0, &v)).transpose()
    }

    /// The job of this key.
    pub fn find_key(&self, key: &Key) -> Result<Option<Record>, OutboxError> {
        let read = || -> Result<Option<u64>, redb::Error> {
            let txn = self.db.begin_read()?;
            let keys = txn.open_table(KEYS)?;
            let found = keys.get(key.as_str())?.map(|v| v.value());
            Ok(found)
        };
        match read().map_err(|e| self.failed(e))? {
            Some(id) => self.find(JobId(id)),
            None => Ok(None),
        }
    }

    /// All jobs with an answer open.
    pub fn open_records(&self) -> Result<Vec<Record>, OutboxError> {
        type Found = Vec<(u64, Option<Vec<u8>>)>;
        let read = || -> Result<Found, redb::Error> {
            let txn = self.db.begin_read()?;
            let open = txn.open_table(OPEN)?;
            let jobs = txn.open_table(JOBS)?;
            let mut found = Vec::new();
            for entry in open.iter()? {
                let id = entry?.0.value();
                found.push((id, jobs.get(id)?.map(|v| v.value().to_vec())));
            }
            Ok(found)
        };
        let found = read().map_err(|e| self.failed(e))?;
        let mut records = Vec::with_capacity(found.len());
        for (id, value) in found {
            let value = value.ok_or_else(|| self.damaged(format!("job {id} is missing")))?;
            records.push(self.unseal(id, &value)?);
        }
        Ok(records)
    }

    /// How many jobs there are, and how many of them have an answer open.
    pub fn len(&self) -> Result<(u64, u64), OutboxError> {
        let read = || -> Result<(u64, u64), redb::Error> {
            let txn = self.db.begin_read()?;
            Ok((txn.open_table(JOBS)?.len()?, txn.open_table(OPEN)?.len()?))
        };
        read().map_err(|e| self.failed(e))
    }

    /// Forgets jobs that were over before `before_ms`, with their keys, and gives
    /// the space back. Open ones stay, however old. Returns how many went.
    pub fn compact(&mut self, before_ms: u64) -> Result<u64, OutboxError> {
        let mut fault = None;
        let gone = self.write(|txn| {
            let mut keys = txn.open_table(KEYS)?;
            let mut jobs = txn.open_table(JOBS)?;
            let mut gone = Vec::new();
            for entry in jobs.iter()? {
                let (id, value) = entry?;
                match self.unseal(id.value(), value.value()) {
                    Ok(record) if record.closed_ms.is_some_and(|at| at < before_ms) => {
                        gone.push((id.value(), record.key));
                    }
                    Ok(_) => {}
                    Err(e) => {
                        fault = Some(e);
                        return Ok(0);
                    }
                }
            }
            for (id, key) in &gone {
                jobs.remove(id)?;
                keys.remove(key.as_str())?;
            }
            Ok(gone.len() as u64)
        })?;
        if let Some(fault) = fault {
            return Err(fault);
        }
        let shrunk = self.db.compact();
        shrunk.map_err(|e| OutboxError::Io(e.to_string()))?;
        Ok(gone)
    }
}

/// Opens the database; with `verify` every page is checked.
fn open_database<B: StorageBackend>(
    backend: Guarded<B>,
    verify: bool,
) -> Result<Database, OutboxError> {
    let last_read = backend.place();
    let damaged = |what: String| OutboxError::Damaged {
        offset: last_read.get(),
        what,
    };
    let failed = |e: DatabaseError| match &e {
        DatabaseError::DatabaseAlreadyOpen => OutboxError::Taken,
        DatabaseError::Storage(redb::StorageError::Io(io)) if !is_damage(io) => Outbox::io(io),
        _ => damaged(e.to_string()),
    };
    let mut builder = Database::builder();
    builder.set_cache_size(CACHE_BYTES);
    let mut db = builder.create_with_backend(backend).map_err(failed)?;
    if verify && !db.check_integrity().map_err(failed)? {
        return Err(damaged("pages do not match their checksums".into()));
    }
    Ok(db)
}

/// Whether an error of reading means that the content is wrong.
fn is_damage(error: &std::io::Error) -> bool {
    use std::io::ErrorKind::{InvalidData, UnexpectedEof};
    matches!(error.kind(), InvalidData | UnexpectedEof)
}

/// The same key again: the same job, if the body is the same.
fn same(work: &Work, record: Record) -> Result<Queued, NotQueued> {
    let other = body(&work.spec, record.id)?;
    if other == record.body {
        return Ok(Queued::Known(record));
    }
    Err(NotQueued::KeyTaken(Box::new(KeyTaken {
        key: work.key.clone(),
        id: record.id,
        known: record.body,
        other,
    })))
}
