//! The outbox under crashes, damage, a full disk, and a second process.

mod support;

use foxspur_client::record::{Heard, Phase, Record};
use foxspur_client::{NotQueued, Outbox, OutboxError};
use foxspur_wire::job::JobState;
use std::io::ErrorKind;
use support::disk::Power;
use support::work;

fn open(disk: &Power) -> Result<Outbox, OutboxError> {
    Outbox::with_backend(disk.clone(), true)
}

/// The life of two jobs, as the client writes it. Each step gives what must be
/// found after a crash from then on.
fn life(outbox: &Outbox, seen: &mut Vec<Record>) -> Result<(), OutboxError> {
    let mut record = |r: Record| match seen.iter_mut().find(|s| s.id == r.id) {
        Some(known) => *known = r,
        None => seen.push(r),
    };
    for key in ["a", "b"] {
        let queued = outbox.enqueue(&[work(key, "t")], 5)?;
        record(queued[0].as_ref().unwrap().record().clone());
    }
    for key in ["a", "b"] {
        let mut found = outbox.find_key(&work(key, "t").key)?.unwrap();
        found.hear(&Heard::Created, 6);
        outbox.update(std::slice::from_ref(&found))?;
        record(found.clone());
        found.hear(&Heard::State(JobState::Done), 7);
        outbox.update(std::slice::from_ref(&found))?;
        record(found);
    }
    Ok(())
}

/// Kill at each write in turn, with all, a half or nothing of what was not synced
/// on the disk: what was told is there, under the same id with the same body,
/// and each key is one job.
#[test]
fn a_crash_at_any_write_loses_nothing_that_was_told() {
    let mut crashes = 0;
    for at in 0.. {
        let disk = Power::default();
        let fresh = open(&disk).unwrap();
        drop(fresh);
        let mut told = Vec::new();
        let done = {
            let outbox = open(&disk).unwrap();
            disk.fails_after(at, ErrorKind::Other);
            let done = life(&outbox, &mut told).is_ok();
            let at_crash = [0, 1, 2].map(|keep| disk.after_crash(keep));
            drop(outbox);
            for (keep, disk) in at_crash.iter().enumerate() {
                let outbox = open(disk).unwrap_or_else(|e| panic!("write {at}, {keep}: {e}"));
                for record in &told {
                    let found = outbox.find(record.id).unwrap().unwrap();
                    assert_eq!((&found.body, &found.key), (&record.body, &record.key));
                    let later = found.closed() || !record.closed();
                    assert!(later, "write {at}, {keep}: {found:?} after {record:?}");
                }
                let mut again = Vec::new();
                life(&outbox, &mut again).unwrap();
                assert_eq!(outbox.len().unwrap(), (2, 0), "write {at}, {keep}");
                for record in &told {
                    assert!(again.iter().any(|r| r.id == record.id));
                }
            }
            done
        };
        crashes += 1;
        if done {
            break;
        }
    }
    assert!(crashes > 20, "only {crashes} points: too weak");
}

/// A full disk refuses the submission before anything is sent, and the outbox is
/// whole when there is space again.
#[test]
fn a_full_disk_refuses() {
    for kind in [ErrorKind::StorageFull, ErrorKind::QuotaExceeded] {
        let disk = Power::default();
        let outbox = open(&disk).unwrap();
        outbox.enqueue(&[work("a", "t")], 5).unwrap();
        disk.fails_after(0, kind);
        let refused = outbox.enqueue(&[work("b", "t")], 6);
        assert_eq!(refused, Err(OutboxError::Full));
        let disk = disk.after_crash(1);
        drop(outbox);
        let outbox = open(&disk).unwrap();
        assert_eq!(outbox.len(), Ok((1, 1)));
        assert_eq!(outbox.find_key(&work("b", "t").key), Ok(None));
    }
}

/// A foreign or damaged file is refused with the place, and left as it was.
#[test]
fn what_is_not_whole_is_refused_and_left_alone() {
    let dir = tempfile::tempdir().unwrap();
    let path = dir.path().join("outbox");
    let whole = {
        let outbox = Outbox::open(&path, true).unwrap();
        let batch: Vec<_> = (0..200).map(|n| work(&format!("k{n}"), "t")).collect();
        outbox.enqueue(&batch, 5).unwrap();
        drop(outbox);
        std::fs::read(&path).unwrap()
    };
    let found = whole.windows(4).rposition(|w| w == b"k150").unwrap();
    type Damage = Box<dyn Fn(&mut Vec<u8>)>;
    let cases: [(&str, Damage, Option<u64>); 5] = [
        ("text", Box::new(|f| *f = b"dear diary".to_vec()), Some(0)),
        ("short", Box::new(|f| f.truncate(5)), Some(5)),
        ("magic", Box::new(|f| f[6] ^= 1), Some(6)),
        ("cut", Box::new(|f| f.truncate(f.len() / 2)), None),
        ("a bit", Box::new(move |f| f[found] ^= 1), None),
    ];
    for (what, damage, place) in cases {
        let mut file = whole.clone();
        damage(&mut file);
        std::fs::write(&path, &file).unwrap();
        let refused = Outbox::open(&path, true).map(|_| ()).unwrap_err();
        match (&refused, place) {
            (OutboxError::Foreign { offset }, Some(at)) => assert_eq!(*offset, at, "{what}"),
            (OutboxError::Damaged { offset, .. }, None) => {
                assert!(*offset <= whole.len() as u64, "{what}: {refused}");
            }
            _ => panic!("{what}: {refused}"),
        }
        assert!(
            std::fs::read(&path).unwrap() == file,
            "{what}: the file was changed"
        );
    }
    std::fs::write(&path, &whole).unwrap();
    assert_eq!(Outbox::open(&path, true).unwrap().len(), Ok((200, 200)));
}

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

/// Compaction forgets closed jobs of an age, never open ones, and only then is a
/// key free again. The clock may jump: a time of the future is no age.
#[test]
fn compaction_keeps_what_is_open() {
    let mut outbox = Outbox::in_memory().unwrap();
    for (key, closed_ms) in [("old", Some(10)), ("new", Some(90)), ("open", None)] {
        let queued = outbox.enqueue(&[work(key, "t")], 5).unwrap();
        let mut record = queued[0].as_ref().unwrap().record().clone();
        if let Some(at) = closed_ms {
            record.hear(&Heard::State(JobState::Done), at);
            outbox.update(&[record]).unwrap();
        }
    }
    assert_eq!(outbox.compact(50), Ok(1));
    assert_eq!(outbox.len(), Ok((2, 1)));
    let known = outbox.find_key(&work("open", "t").key).unwrap().unwrap();
    assert_eq!(known.phase, Phase::Waiting);
    let mut other = work("new", "t");
    other.spec.tasks = 9;
    let taken = outbox.enqueue(&[other], 100).unwrap();
    assert!(matches!(taken[0], Err(NotQueued::KeyTaken(_))));
    let mut malformed = work("bad", "t");
    malformed.spec.cpus = -1.0;
    let refused = outbox.enqueue(&[malformed], 100).unwrap();
    assert!(matches!(&refused[0], Err(NotQueued::Malformed(why)) if why.contains("cpus")));
}
