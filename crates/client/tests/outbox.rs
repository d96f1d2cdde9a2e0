//! Tests of the outbox after crashes, with damaged files, a full disk, and a second process.

mod support;

use foxspur_client::record::{ConclusiveAnswer, Phase, Record};
use foxspur_client::{NotQueued, Outbox, OutboxError};
use foxspur_wire::job::JobState;
use std::io::ErrorKind;
use support::disk::FaultyDisk;
use support::work;

fn open(disk: &FaultyDisk) -> Result<Outbox, OutboxError> {
    Outbox::with_backend(disk.clone(), true)
}

/// Writes the records of two jobs from queueing to completion, as the client does. After each write
/// `written` gets the record that must be found after a crash from then on.
fn write_two_jobs(outbox: &Outbox, written: &mut Vec<Record>) -> Result<(), OutboxError> {
    let mut note = |record: Record| match written.iter_mut().find(|w| w.id == record.id) {
        Some(known) => *known = record,
        None => written.push(record),
    };
    for key in ["a", "b"] {
        let queued = outbox.enqueue(&[work(key, "t")], 5)?;
        note(queued[0].as_ref().unwrap().record().clone());
    }
    for key in ["a", "b"] {
        let mut record = outbox.find_key(&work(key, "t").key)?.unwrap();
        record.apply_answer(&ConclusiveAnswer::Created, 6);
        outbox.update(std::slice::from_ref(&record))?;
        note(record.clone());
        record.apply_answer(&ConclusiveAnswer::State(JobState::Done), 7);
        outbox.update(std::slice::from_ref(&record))?;
        note(record);
    }
    Ok(())
}

/// Guards against records that are lost or changed by a crash, and against keys that name two jobs
/// after it. The process is killed at each write in turn, with all, half or none of the unsynced
/// pages on disk.
#[test]
fn a_crash_at_any_write_loses_no_written_record() {
    let mut crashes = 0;
    for writes in 0.. {
        let disk = FaultyDisk::default();
        let new_outbox = open(&disk).unwrap();
        drop(new_outbox);
        let mut written = Vec::new();
        let completed = {
            let outbox = open(&disk).unwrap();
            disk.fail_after(writes, ErrorKind::Other);
            let completed = write_two_jobs(&outbox, &mut written).is_ok();
            let disks = [0, 1, 2].map(|kept_step| disk.after_crash(kept_step));
            drop(outbox);
            for (kept_step, disk) in disks.iter().enumerate() {
                let case = format!("write {writes}, kept step {kept_step}");
                let outbox = open(disk).unwrap_or_else(|e| panic!("{case}: {e}"));
                for record in &written {
                    let found = outbox.find(record.id).unwrap().unwrap();
                    assert_eq!((&found.body, &found.key), (&record.body, &record.key));
                    let is_kept = found.closed() || !record.closed();
                    assert!(is_kept, "{case}: {found:?} after {record:?}");
                }
                let mut rewritten = Vec::new();
                write_two_jobs(&outbox, &mut rewritten).unwrap();
                assert_eq!(outbox.len().unwrap(), (2, 0), "{case}");
                for record in &written {
                    assert!(rewritten.iter().any(|r| r.id == record.id));
                }
            }
            completed
        };
        crashes += 1;
        if completed {
            break;
        }
    }
    assert!(crashes > 20, "the test covered only {crashes} crash points");
}

/// Guards against a full disk that damages the outbox or leaves part of a batch in it.
#[test]
fn a_full_disk_refuses_new_jobs() {
    for kind in [ErrorKind::StorageFull, ErrorKind::QuotaExceeded] {
        let disk = FaultyDisk::default();
        let outbox = open(&disk).unwrap();
        outbox.enqueue(&[work("a", "t")], 5).unwrap();
        disk.fail_after(0, kind);
        let refused = outbox.enqueue(&[work("b", "t")], 6);
        assert_eq!(refused, Err(OutboxError::Full));
        let disk = disk.after_crash(1);
        drop(outbox);
        let outbox = open(&disk).unwrap();
        assert_eq!(outbox.len(), Ok((1, 1)));
        assert_eq!(outbox.find_key(&work("b", "t").key), Ok(None));
    }
}

/// Guards against opening a file that is not an outbox or is damaged, and against changing such a
/// file. The error must give the offset.
#[test]
fn foreign_and_damaged_files_are_refused_unchanged() {
    let dir = tempfile::tempdir().unwrap();
    let path = dir.path().join("outbox");
    let intact = {
        let outbox = Outbox::open(&path, true).unwrap();
        let batch: Vec<_> = (0..200).map(|n| work(&format!("k{n}"), "t")).collect();
        outbox.enqueue(&batch, 5).unwrap();
        drop(outbox);
        std::fs::read(&path).unwrap()
    };
    let key_offset = intact.windows(4).rposition(|w| w == b"k150").unwrap();
    type Damage = Box<dyn Fn(&mut Vec<u8>)>;
    // (Name, damage, offset at which the file is found not to be an outbox)
    let cases: [(&str, Damage, Option<u64>); 5] = [
        ("text", Box::new(|f| *f = b"dear diary".to_vec()), Some(0)),
        ("short", Box::new(|f| f.truncate(5)), Some(5)),
        ("magic", Box::new(|f| f[6] ^= 1), Some(6)),
        ("cut", Box::new(|f| f.truncate(f.len() / 2)), None),
        ("a bit", Box::new(move |f| f[key_offset] ^= 1), None),
    ];
    for (case, damage, foreign_offset) in cases {
        let mut file = intact.clone();
        damage(&mut file);
        std::fs::write(&path, &file).unwrap();
        let refused = Outbox::open(&path, true).map(|_| ()).unwrap_err();
        match (&refused, foreign_offset) {
            (OutboxError::Foreign { offset }, Some(expected)) => {
                assert_eq!(*offset, expected, "{case}");
            }
            (OutboxError::Damaged { offset, .. }, None) => {
                assert!(*offset <= intact.len() as u64, "{case}: {refused}");
            }
            _ => panic!("{case}: {refused}"),
        }
        assert!(
            std::fs::read(&path).unwrap() == file,
            "{case}: the file was changed"
        );
    }
    std::fs::write(&path, &intact).unwrap();
    assert_eq!(Outbox::open(&path, true).unwrap().len(), Ok((200, 200)));
}

/// Guards against two processes that use the same outbox.
#[test]
fn a_second_process_is_refused() {
    let dir = tempfile::tempdir().unwrap();
    let path = dir.path().join("outbox");
    let first = Outbox::open(&path, true).unwrap();
    let second = Outbox::open(&path, true).map(|_| ());
    assert_eq!(second, Err(OutboxError::Taken));
    drop(first);
    assert!(Outbox::open(&path, true).is_ok());
}

/// Guards against a compaction that deletes open jobs or jobs that were closed too recently, which
/// would free their keys. A closing time in the future, after a jump of the clock, counts as
/// recent.
#[test]
fn compaction_keeps_open_and_recent_jobs() {
    let mut outbox = Outbox::in_memory().unwrap();
    for (key, closed_ms) in [("old", Some(10)), ("new", Some(90)), ("open", None)] {
        let queued = outbox.enqueue(&[work(key, "t")], 5).unwrap();
        let mut record = queued[0].as_ref().unwrap().record().clone();
        if let Some(closed_ms) = closed_ms {
            record.apply_answer(&ConclusiveAnswer::State(JobState::Done), closed_ms);
            outbox.update(&[record]).unwrap();
        }
    }
    assert_eq!(outbox.compact(50), Ok(1));
    assert_eq!(outbox.len(), Ok((2, 1)));
    let open_job = outbox.find_key(&work("open", "t").key).unwrap().unwrap();
    assert_eq!(open_job.phase, Phase::Waiting);
    let mut other_body = work("new", "t");
    other_body.spec.tasks = 9;
    let refused = outbox.enqueue(&[other_body], 100).unwrap();
    assert!(matches!(refused[0], Err(NotQueued::KeyTaken(_))));
    let mut malformed = work("bad", "t");
    malformed.spec.cpus = -1.0;
    let refused = outbox.enqueue(&[malformed], 100).unwrap();
    assert!(matches!(&refused[0], Err(NotQueued::Malformed(why)) if why.contains("cpus")));
}
