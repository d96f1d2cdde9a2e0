//! The durable outbox (a transactional outbox). A submission is written completely, under an id of
//! its own, before its first byte is sent. After a crash at any point the jobs keep their ids and
//! bodies. A caller's key identifies the same job permanently, or until a compaction deletes the
//! closed job; the caller chooses the age at which it does.
//!
//! The outbox is a database of the `redb` crate, in a file or in memory. Every record has a
//! checksum of its own.

pub mod backend;
mod errors;
pub mod writer;

pub use errors::{KeyTaken, NotQueued, OutboxError, Queued};

use crate::job::{JobId, Key, Work};
use crate::record::Record;
use backend::{first_mismatch, BufferedBackend, LastReadOffset};
use foxspur_wire::job::{check_submission, JobSpec};
use rand::Rng;
use redb::backends::{FileBackend, InMemoryBackend};
use redb::{Database, DatabaseError, ReadableDatabase, ReadableTable, StorageBackend};
use redb::{ReadableTableMetadata, TableDefinition};
use std::fs::{File, OpenOptions, TryLockError};
use std::path::Path;

/// Size of the database's page cache.
const CACHE_BYTES: usize = 16 << 20;

/// Job ids by key.
const KEYS: TableDefinition<&str, u64> = TableDefinition::new("keys");
/// Records with their checksums, by job id.
const JOBS: TableDefinition<u64, &[u8]> = TableDefinition::new("jobs");
/// Ids of open jobs, so that closed ones need not be read at the start.
const OPEN: TableDefinition<u64, ()> = TableDefinition::new("open");
/// The version of the layout, under the key `layout`.
const ABOUT: TableDefinition<&str, u64> = TableDefinition::new("about");
/// The version of the layout that this library reads and writes.
pub(crate) const LAYOUT: u64 = 1;

/// The outbox.
#[derive(Debug)]
pub struct Outbox {
    db: Database,
    /// Offset of the last read, for error messages.
    last_read: LastReadOffset,
    /// The locked file, which keeps other processes from opening the outbox.
    _lock: Option<File>,
}

/// Serializes a record, with its checksum in front.
fn encode_record(record: &Record) -> Vec<u8> {
    let json = serde_json::to_vec(record).unwrap_or_default();
    let mut value = crc32fast::hash(&json).to_le_bytes().to_vec();
    value.extend(json);
    value
}

/// The body of the submission under this id.
fn submission_body(spec: &JobSpec, id: JobId) -> Result<String, NotQueued> {
    let spec = JobSpec {
        id: id.to_string(),
        ..spec.clone()
    };
    check_submission(&spec).map_err(NotQueued::Malformed)?;
    serde_json::to_string(&spec).map_err(|e| NotQueued::Malformed(e.to_string()))
}

impl Outbox {
    /// Opens the outbox at `path`, or creates it. With `verify` every page is checked first, which
    /// takes time in proportion to the size of the file.
    pub fn open(path: &Path, verify: bool) -> Result<Outbox, OutboxError> {
        let io_error = |e: std::io::Error| storage_error(&e);
        let file = OpenOptions::new()
            .read(true)
            .write(true)
            .create(true)
            .truncate(false)
            .open(path)
            .map_err(io_error)?;
        let lock = file.try_clone().map_err(io_error)?;
        match lock.try_lock() {
            Ok(()) => {}
            Err(TryLockError::WouldBlock) => return Err(OutboxError::Taken),
            Err(TryLockError::Error(e)) => return Err(io_error(e)),
        }
        let file_backend = FileBackend::new(file).map_err(|e| OutboxError::Io(e.to_string()))?;
        let mut outbox = Outbox::with_backend(file_backend, verify)?;
        outbox._lock = Some(lock);
        Ok(outbox)
    }

    /// Creates an outbox in memory, which is lost when the process ends.
    pub fn in_memory() -> Result<Outbox, OutboxError> {
        Outbox::with_backend(InMemoryBackend::new(), false)
    }

    /// Opens an outbox on any storage backend, or creates it if the storage is empty. Nothing is
    /// written to the storage before its content has been checked.
    pub fn with_backend<B: StorageBackend>(
        backend: B,
        verify: bool,
    ) -> Result<Outbox, OutboxError> {
        let io_error = |e: std::io::Error| storage_error(&e);
        let is_new = backend.len().map_err(io_error)? == 0;
        if let Some(offset) = first_mismatch(&backend).map_err(io_error)? {
            return Err(OutboxError::Foreign { offset });
        }
        let buffered = BufferedBackend::new(backend).map_err(io_error)?;
        if is_new {
            // There is no content to protect, so writes need no buffering.
            buffered.flush_and_stop_buffering().map_err(io_error)?;
        }
        let outbox = Outbox {
            db: open_database(buffered.clone(), verify && !is_new)?,
            last_read: buffered.last_read_offset(),
            _lock: None,
        };
        if !is_new {
            outbox.check_content()?;
        }
        buffered.flush_and_stop_buffering().map_err(io_error)?;
        if is_new {
            outbox.create_tables()?;
        }
        Ok(outbox)
    }

    /// Checks that the version of the layout is known and that all open records can be read.
    fn check_content(&self) -> Result<(), OutboxError> {
        match self.layout_version()? {
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

    /// Converts an error of the database.
    fn database_error(&self, e: redb::Error) -> OutboxError {
        match e {
            redb::Error::Io(e) => storage_error(&e),
            redb::Error::Corrupted(what) => self.damaged(what),
            // After a failed write redb requires the database to be opened again.
            redb::Error::PreviousIo => {
                OutboxError::Io("an earlier write failed; the outbox must be opened again".into())
            }
            other => OutboxError::Io(other.to_string()),
        }
    }

    /// The error for damaged content, with the offset of the last read.
    fn damaged(&self, what: String) -> OutboxError {
        OutboxError::Damaged {
            offset: self.last_read.get(),
            what,
        }
    }

    /// The version of the layout; 0 if none is stored.
    fn layout_version(&self) -> Result<u64, OutboxError> {
        let read = || -> Result<u64, redb::Error> {
            let txn = self.db.begin_read()?;
            let table = txn.open_table(ABOUT)?;
            let version = table.get("layout")?.map(|v| v.value());
            Ok(version.unwrap_or(0))
        };
        match read() {
            Err(redb::Error::TableDoesNotExist(_)) => Ok(0),
            other => other.map_err(|e| self.database_error(e)),
        }
    }

    /// Runs one transaction, whose changes are written to disk either completely or not at all.
    fn write<T>(
        &self,
        change: impl FnOnce(&redb::WriteTransaction) -> Result<T, redb::Error>,
    ) -> Result<T, OutboxError> {
        let run = || -> Result<T, redb::Error> {
            let txn = self.db.begin_write()?;
            let result = change(&txn)?;
            txn.commit()?;
            Ok(result)
        };
        run().map_err(|e| self.database_error(e))
    }

    /// Parses the stored value of a job, after checking its checksum.
    fn decode_record(&self, id: u64, value: &[u8]) -> Result<Record, OutboxError> {
        let damaged = |what: &str| self.damaged(format!("job {id}: {what}"));
        let (checksum, json) = value
            .split_first_chunk::<4>()
            .ok_or_else(|| damaged("record is too short"))?;
        if crc32fast::hash(json) != u32::from_le_bytes(*checksum) {
            return Err(damaged("record does not match its checksum"));
        }
        serde_json::from_slice(json).map_err(|e| damaged(&e.to_string()))
    }

    /// Queues a batch. A job with a new key gets an id and is on disk when this returns. For a
    /// known key, the stored record is returned unchanged.
    pub fn enqueue(
        &self,
        batch: &[Work],
        now_ms: u64,
    ) -> Result<Vec<Result<Queued, NotQueued>>, OutboxError> {
        let mut queued: Vec<Result<Queued, NotQueued>> = Vec::with_capacity(batch.len());
        let mut error = None;
        self.write(|txn| {
            let mut keys = txn.open_table(KEYS)?;
            let mut jobs = txn.open_table(JOBS)?;
            let mut open = txn.open_table(OPEN)?;
            for work in batch {
                let known = keys.get(work.key.as_str())?.map(|v| v.value());
                if let Some(id) = known {
                    let found = jobs.get(id)?;
                    let record = match found.as_ref().map(|v| self.decode_record(id, v.value())) {
                        Some(Ok(record)) => record,
                        Some(Err(e)) => {
                            error = Some(e);
                            break;
                        }
                        None => {
                            error = Some(self.damaged(format!("job {id} is missing")));
                            break;
                        }
                    };
                    queued.push(match_known(work, record));
                    continue;
                }
                // 64 random bits keep the ids of independent clients distinct without
                // coordination, and fit into the 20 digits that the protocol allows.
                let mut id = rand::rng().random::<u64>();
                while jobs.get(id)?.is_some() {
                    id = rand::rng().random();
                }
                let new = submission_body(&work.spec, JobId(id)).map(|body| {
                    let record = Record::new(JobId(id), work.key.clone(), body, now_ms);
                    Queued::New(record)
                });
                if let Ok(Queued::New(record)) = &new {
                    keys.insert(work.key.as_str(), id)?;
                    jobs.insert(id, encode_record(record).as_slice())?;
                    open.insert(id, ())?;
                }
                queued.push(new);
            }
            Ok(())
        })?;
        match error {
            Some(error) => Err(error),
            None => Ok(queued),
        }
    }

    /// Writes the changed records of these jobs.
    pub fn update(&self, records: &[Record]) -> Result<(), OutboxError> {
        self.write(|txn| {
            let mut jobs = txn.open_table(JOBS)?;
            let mut open = txn.open_table(OPEN)?;
            for record in records {
                jobs.insert(record.id.0, encode_record(record).as_slice())?;
                if record.closed() {
                    open.remove(record.id.0)?;
                }
            }
            Ok(())
        })
    }

    /// The record of the job with this id.
    pub fn find(&self, id: JobId) -> Result<Option<Record>, OutboxError> {
        let read = || -> Result<Option<Vec<u8>>, redb::Error> {
            let txn = self.db.begin_read()?;
            let jobs = txn.open_table(JOBS)?;
            let found = jobs.get(id.0)?.map(|v| v.value().to_vec());
            Ok(found)
        };
        let found = read().map_err(|e| self.database_error(e))?;
        found.map(|v| self.decode_record(id.0, &v)).transpose()
    }

    /// The record of the job with this key.
    pub fn find_key(&self, key: &Key) -> Result<Option<Record>, OutboxError> {
        let read = || -> Result<Option<u64>, redb::Error> {
            let txn = self.db.begin_read()?;
            let keys = txn.open_table(KEYS)?;
            let found = keys.get(key.as_str())?.map(|v| v.value());
            Ok(found)
        };
        match read().map_err(|e| self.database_error(e))? {
            Some(id) => self.find(JobId(id)),
            None => Ok(None),
        }
    }

    /// The records of all open jobs.
    pub fn open_records(&self) -> Result<Vec<Record>, OutboxError> {
        type Values = Vec<(u64, Option<Vec<u8>>)>;
        let read = || -> Result<Values, redb::Error> {
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
        let found = read().map_err(|e| self.database_error(e))?;
        let mut records = Vec::with_capacity(found.len());
        for (id, value) in found {
            let value = value.ok_or_else(|| self.damaged(format!("job {id} is missing")))?;
            records.push(self.decode_record(id, &value)?);
        }
        Ok(records)
    }

    /// The number of jobs, and how many of them are open.
    pub fn len(&self) -> Result<(u64, u64), OutboxError> {
        let read = || -> Result<(u64, u64), redb::Error> {
            let txn = self.db.begin_read()?;
            Ok((txn.open_table(JOBS)?.len()?, txn.open_table(OPEN)?.len()?))
        };
        read().map_err(|e| self.database_error(e))
    }

    /// Deletes the jobs that were closed before `before_ms` (Unix time) and their keys, and frees
    /// the space. Open jobs are kept, whatever their age. Returns the number of deleted jobs.
    pub fn compact(&mut self, before_ms: u64) -> Result<u64, OutboxError> {
        let mut error = None;
        let deleted = self.write(|txn| {
            let mut keys = txn.open_table(KEYS)?;
            let mut jobs = txn.open_table(JOBS)?;
            let mut expired = Vec::new();
            for entry in jobs.iter()? {
                let (id, value) = entry?;
                match self.decode_record(id.value(), value.value()) {
                    Ok(record) if record.closed_ms.is_some_and(|at| at < before_ms) => {
                        expired.push((id.value(), record.key));
                    }
                    Ok(_) => {}
                    Err(e) => {
                        error = Some(e);
                        return Ok(0);
                    }
                }
            }
            for (id, key) in &expired {
                jobs.remove(id)?;
                keys.remove(key.as_str())?;
            }
            Ok(expired.len() as u64)
        })?;
        if let Some(error) = error {
            return Err(error);
        }
        let compacted = self.db.compact();
        compacted.map_err(|e| OutboxError::Io(e.to_string()))?;
        Ok(deleted)
    }
}

/// Opens the database; with `verify` every page is checked.
fn open_database<B: StorageBackend>(
    backend: BufferedBackend<B>,
    verify: bool,
) -> Result<Database, OutboxError> {
    let last_read = backend.last_read_offset();
    let damaged = |what: String| OutboxError::Damaged {
        offset: last_read.get(),
        what,
    };
    let open_error = |e: DatabaseError| match &e {
        DatabaseError::DatabaseAlreadyOpen => OutboxError::Taken,
        DatabaseError::Storage(redb::StorageError::Io(io)) if !is_damage(io) => storage_error(io),
        _ => damaged(e.to_string()),
    };
    let mut builder = Database::builder();
    builder.set_cache_size(CACHE_BYTES);
    let mut db = builder.create_with_backend(backend).map_err(open_error)?;
    if verify && !db.check_integrity().map_err(open_error)? {
        return Err(damaged("pages do not match their checksums".into()));
    }
    Ok(db)
}

/// Converts an I/O error, and tells apart that the storage is full.
fn storage_error(e: &std::io::Error) -> OutboxError {
    use std::io::ErrorKind::{FileTooLarge, QuotaExceeded, StorageFull};
    match e.kind() {
        StorageFull | QuotaExceeded | FileTooLarge => OutboxError::Full,
        _ => OutboxError::Io(e.to_string()),
    }
}

/// Whether a read error means that the content is damaged.
fn is_damage(error: &std::io::Error) -> bool {
    use std::io::ErrorKind::{InvalidData, UnexpectedEof};
    matches!(error.kind(), InvalidData | UnexpectedEof)
}

/// The result for a known key: the known job if the body is the same, otherwise an error.
fn match_known(work: &Work, record: Record) -> Result<Queued, NotQueued> {
    let other = submission_body(&work.spec, record.id)?;
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
