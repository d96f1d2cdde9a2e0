//! Tests of reading and counting logs, of the tables of days, and of the upper bound.

use foxspur_report::bound::{alone, together, Fleet, Job};
use foxspur_report::count::{count, Met};
use foxspur_report::log::{read, Event, Unreadable};
use foxspur_report::objectives::{Objective, Report, Reported};
use foxspur_report::table::table;
use proptest::prelude::*;
use std::collections::BTreeMap;

const LOG: &str = r#"
note: not a line of the log
    1.0000 a  INFO accepted job=j1 class=c team=t tasks=2 cpus=4 estimate_s=10 due_s=30
    1.5000 a  INFO accepted job=j2 class=c team=u tasks=1 cpus=4 estimate_s=10 due_s=30
    2.0000 a  INFO accepted job=j3 class=c team=u tasks=1 cpus=4 estimate_s=10 due_s=30
    2.0000 a  INFO load machines=1 usable=1 cpus=8 free=0 c=8+1
    3.0000 a  INFO stopped to make room task=j1/0 machine=m for_job="j2"
    4.0000 a  INFO stopped to make room task=j1/0 machine=m for_job="j2"
    5.0000 a  INFO lost with its machine machine=m tasks="j1/0 j1/1"
    6.0000 a  INFO cancelled job=j3
   20.0000 a  INFO done job=j1 starts=5 passed_s=7.5
   21.0000 a  WARN done job=j2 starts=1 passed_s=0
"#;

/// Guards against events that are counted for the wrong class, team or objective: the log has a
/// cancelled job, a job whose end is not logged at INFO, preemptions and lost tasks.
#[test]
fn a_log_is_counted_by_class_and_team() {
    let events = read(LOG).unwrap();
    let objectives = BTreeMap::from([(
        "c".to_string(),
        vec![Objective::Deadline(1.0), Objective::Finished(10.0)],
    )]);
    let day = count(&events, &objectives, 100.0);
    let c = &day.classes["c"];
    // The cancelled job is not counted. The job that is not done waits until the end of the run.
    assert_eq!((c.jobs, c.tasks, c.done, c.starts), (2, 3, 1, 5));
    assert_eq!(c.in_time, [Met { met: 1, of: 2 }, Met { met: 0, of: 2 }]);
    assert_eq!((c.stopped, c.stopped_most, c.lost), (2, 2, 2));
    assert_eq!((c.passed_s, c.smallest_proportion()), (98.5, Some(0.0)));
    let (t, u) = (&day.teams["t"], &day.teams["u"]);
    assert_eq!((t.jobs, t.in_time[0]), (1, Met { met: 0, of: 1 }));
    assert_eq!((u.jobs, u.in_time[0]), (1, Met { met: 0, of: 1 }));
    assert_eq!(day.load, [(2.0, 8.0)]);
}

/// Guards against wrong counts because a line with a known message but unreadable fields is
/// ignored. Lines with other messages are ignored.
#[test]
fn a_known_message_with_unreadable_fields_is_an_error() {
    let cases = [
        (
            "1.0 a INFO accepted job=j class=c tasks=2",
            "accepted",
            "team",
        ),
        (
            "1.0 a INFO done job=j starts=x passed_s=1",
            "done",
            "starts",
        ),
        ("1.0 a INFO load cpus=NaN", "load", "cpus"),
    ];
    for (line, message, field) in cases {
        let error = Unreadable {
            line: 1,
            message,
            field,
        };
        assert_eq!(read(line), Err(error), "{line}");
    }
    assert_eq!(
        read("x\n 1.0 a INFO other job=j").unwrap(),
        Vec::<(f64, Event)>::new()
    );
}

/// Guards against a class that fails because of one missed objective: it fails only if less than
/// half of its jobs met each objective, and is late if some objectives are missed.
#[test]
fn a_class_fails_by_all_its_objectives_and_is_late_by_some() {
    let report = |first: f64, second: f64| -> Report {
        serde_json::from_str(&format!(
            r#"{{"scenario":"d","seed":1,"ends_s":100.0,"classes":{{}},"targets":[
              {{"kind":"deadline","class":"c","value":{first}}},
              {{"kind":"finished","class":"c","within_s":50.0,"value":{second}}}]}}"#
        ))
        .unwrap()
    };
    let events = read(LOG).unwrap();
    for (first, second, failed, late) in [
        (0.4, 0.6, false, true),
        (0.4, 0.49, true, false),
        (0.5, 0.6, false, false),
    ] {
        let report = report(first, second);
        let plain = |own: Vec<Reported>| own.into_iter().map(|r| r.objective).collect();
        let by_class = report.objectives().into_iter();
        let objectives = by_class.map(|(c, own)| (c, plain(own))).collect();
        let day = count(&events, &objectives, report.ends_s);
        let table = table(&report, &day, &BTreeMap::new());
        assert_eq!(!table.failed().is_empty(), failed, "{first} {second}");
        assert_eq!(!table.late().is_empty(), late, "{first} {second}");
    }
}

fn job(from_s: f64, due_s: f64, tasks: u32, run_s: f64) -> Job {
    Job {
        team: "t".into(),
        from_s,
        due_s,
        tasks,
        cpus: 1.0,
        run_s,
    }
}

/// Guards against a wrong bound on small inputs whose exact bound is known.
#[test]
fn simple_inputs_have_their_exact_bound() {
    let fleet = Fleet {
        cpus: vec![(0.0, 10.0)],
        limits: BTreeMap::new(),
    };
    let half = Fleet {
        limits: BTreeMap::from([("t".into(), 5.0)]),
        ..fleet.clone()
    };
    let gone = Fleet {
        cpus: vec![(0.0, 10.0), (10.0, 0.0)],
        limits: BTreeMap::new(),
    };
    let cases: [(&str, Vec<Job>, &Fleet, f64); 6] = [
        ("all fit", vec![job(0.0, 20.0, 10, 10.0); 2], &fleet, 1.0),
        ("half fit", vec![job(0.0, 10.0, 10, 10.0); 2], &fleet, 0.5),
        (
            "the small ones fit",
            vec![job(0.0, 10.0, 10, 10.0), job(0.0, 10.0, 2, 5.0)],
            &fleet,
            0.95,
        ),
        ("a limit", vec![job(0.0, 10.0, 10, 10.0)], &half, 0.5),
        ("no time", vec![job(0.0, 9.0, 1, 10.0)], &fleet, 0.0),
        ("machines lost", vec![job(5.0, 30.0, 10, 10.0)], &gone, 0.5),
    ];
    for (name, jobs, fleet, expected) in cases {
        let found = alone(&jobs, fleet);
        assert!((found - expected).abs() < 0.02, "{name}: {found}");
    }
    // Two groups, each of which would be served in full alone.
    let groups = vec![
        vec![job(0.0, 10.0, 10, 5.0); 4],
        vec![job(0.0, 10.0, 10, 5.0); 4],
    ];
    assert!((together(&groups, &fleet) - 0.25).abs() < 0.02);
}

proptest! {
    /// Guards against a bound below the result of an existing schedule: here first come, first
    /// served, with one task per CPU.
    #[test]
    fn no_schedule_beats_the_bound(
        jobs in prop::collection::vec((0.0..60.0f64, 1u32..8, 5.0..20.0f64, 1.0..4.0f64), 1..12),
        cpus in 1usize..6,
    ) {
        let jobs: Vec<Job> = jobs
            .into_iter()
            .map(|(from_s, tasks, run_s, slack)| job(from_s, from_s + run_s * slack, tasks, run_s))
            .collect();
        let mut free_from_s = vec![0.0f64; cpus];
        let mut order: Vec<&Job> = jobs.iter().collect();
        order.sort_by(|a, b| a.from_s.total_cmp(&b.from_s));
        let mut met = 0;
        for job in order {
            let mut end_s = 0.0f64;
            for _ in 0..job.tasks {
                free_from_s.sort_by(f64::total_cmp);
                free_from_s[0] = free_from_s[0].max(job.from_s) + job.run_s;
                end_s = end_s.max(free_from_s[0]);
            }
            met += u32::from(end_s <= job.due_s);
        }
        let fleet = Fleet { cpus: vec![(0.0, cpus as f64)], limits: BTreeMap::new() };
        let bound = alone(&jobs, &fleet);
        prop_assert!(bound + 1e-9 >= f64::from(met) / jobs.len() as f64);
    }

    /// Guards against a bound that decreases with more CPUs or with later due times.
    #[test]
    fn more_cpus_or_time_never_lower_the_bound(
        jobs in prop::collection::vec((0.0..60.0f64, 1u32..8, 5.0..20.0f64, 1.0..4.0f64), 1..12),
        cpus in 1.0..10.0f64,
    ) {
        let original: Vec<Job> = jobs.iter().map(|(f, t, r, s)| job(*f, f + r * s, *t, *r)).collect();
        let later: Vec<Job> = jobs.iter().map(|(f, t, r, s)| job(*f, f + r * (s + 1.0), *t, *r)).collect();
        let fleet = |cpus| Fleet { cpus: vec![(0.0, cpus)], limits: BTreeMap::new() };
        let base = alone(&original, &fleet(cpus));
        prop_assert!(alone(&original, &fleet(cpus + 1.0)) + 1e-6 >= base);
        prop_assert!(alone(&later, &fleet(cpus)) + 1e-2 >= base);
    }
}

/// Guards against wrong counts of the largest jobs of a class by either measure. A job without a
/// `begun` line counts as begun when it is done, and a job with neither waits until the end of the
/// run. Cancelled jobs and jobs that were accepted too late are left out.
#[test]
fn the_largest_jobs_are_counted_by_tasks_and_by_work() {
    use foxspur_report::largest::largest;
    let mut log = String::new();
    for number in 1..=8 {
        // The fewer tasks, the longer they run: j1 is the largest by work.
        let estimate_s = 1000 / (number * number);
        log += &format!(
            "1.0 a INFO accepted job=j{number} class=c team=t tasks={number} cpus=1 estimate_s={estimate_s} due_s=0\n"
        );
    }
    log += "1.0 a INFO accepted job=j9 class=c team=t tasks=99 cpus=1 estimate_s=9 due_s=0\n";
    log += "2.0 a INFO cancelled job=j9\n";
    log += "900.0 a INFO accepted job=j10 class=c team=t tasks=99 cpus=1 estimate_s=9 due_s=0\n";
    log += "200.0 a INFO begun job=j8 waited_s=199\n300.0 b INFO begun job=j8 waited_s=299\n";
    log += "300.0 a INFO begun job=j7 waited_s=299\n400.0 a INFO done job=j8 starts=8 passed_s=0\n";
    log += "100.0 a INFO done job=j1 starts=1 passed_s=0\n";
    let day = count(&read(&log).unwrap(), &BTreeMap::new(), 1000.0);
    let found = largest(&day, 1000.0);
    let rows: Vec<_> = found
        .iter()
        .map(|l| {
            (
                l.by,
                l.part,
                l.jobs,
                l.done,
                l.begun,
                l.longest_s,
                l.under_half(),
            )
        })
        .collect();
    assert_eq!(
        rows,
        [
            ("tasks", 10, 1, 1, 1, 199.0, false),
            ("tasks", 4, 2, 1, 1, 299.0, false),
            ("CPU seconds", 10, 1, 1, 1, 99.0, false),
            ("CPU seconds", 4, 2, 1, 1, 999.0, false),
        ]
    );
}
