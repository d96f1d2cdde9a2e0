//! Tests of real controllers on loopback with fault injection. In every test the history checker
//! must find no violation, and every job must exist exactly once and have one terminal record.

use foxspur_client::{Client, Outbox, Settings};
use foxspur_testbed::checker::check;
use foxspur_testbed::fault::{Fault, FaultKind};
use foxspur_testbed::history::{Entry, Event};
use foxspur_testbed::load::{Arrivals, LoadCounters, LoadGenerator};
use foxspur_testbed::site::{Site, DEFAULT};
use foxspur_testbed::testbed::Testbed;
use std::path::Path;
use std::sync::Arc;
use std::time::Duration;

const JOBS: u64 = 300;

/// Guards against duplicate or lost jobs when answers are cut at random bytes, controllers are
/// killed and paused, the state service is unavailable and a machine dies.
#[test]
fn every_job_exists_once_when_answers_are_cut() {
    let cuts = run_with_faults(&["cut:250@0", "kill@3/4", "pause:3@5", "state:2@9", "die@6"]);
    assert!(cuts > 50, "only {cuts} connections were cut");
}

/// Guards against duplicate or lost jobs when machines receive nothing, copies of heartbeats arrive
/// late, a controller is partitioned from all but its workers, and controllers restart almost at
/// once, twice in quick succession.
#[test]
fn every_job_exists_once_when_machines_receive_nothing() {
    run_with_faults(&[
        "late-reports:14@0",
        "deaf:7@1",
        "deaf:7@2",
        "deaf:5@5",
        "island:4@4",
        "blink@3",
        "blink@3.3",
        "blink@9/1.5",
        "die@6",
    ]);
}

/// Guards against cancelled jobs that run again. Many jobs are cancelled while delayed copies of
/// direct calls arrive, controllers are refused by the state service, paused, killed and restarted,
/// and the state service becomes unavailable right after answers.
#[test]
fn cancelled_jobs_stay_cancelled_when_direct_calls_are_repeated() {
    let mut site = short_job_site();
    site.load.cancelled = 0.3;
    let faults = [
        "late-commands:14@0",
        "refuse:3@2",
        "pause:3@4",
        "blink@5/2",
        "state:2@7",
        "state:2@10",
        "kill@8",
    ];
    run_site(site, &faults, JOBS);
}

/// Guards against tasks of cancelled jobs that run for longer than `cancel_s`. First the state
/// service refuses only the leader, so that other controllers confirm cancellations. Then it is
/// unavailable to all controllers for longer than `cancel_s`, while workers still send heartbeats
/// to the leader.
#[test]
fn cancelled_jobs_end_in_time_after_the_leader_is_refused() {
    let mut site = short_job_site();
    (site.load.jobs_per_s, site.load.tasks) = (10.0, 2);
    (site.load.cancelled, site.load.cancel_after_s) = (0.8, 1.5);
    site.load.run_s = 20.0;
    (site.workers.lease_s, site.workers.cancel_s) = (4.0, 9.0);
    let (entries, _) = run_site(site, &["refuse-owner:5@4.5", "state:13@7.5"], 80);
    // At least one job is cancelled while only the leader is refused, before the state service
    // becomes unavailable and after a task of the job has started.
    let fault_at = |name: &str| {
        let is_injection =
            |e: &&Entry| matches!(&e.event, Event::Fault { what } if what.starts_with(name));
        entries.iter().find(is_injection).map(|e| e.at).expect(name)
    };
    let (refused_at, unavailable_at) = (fault_at("refuse-owner"), fault_at("state"));
    let cancelled = entries.iter().filter_map(|e| match &e.event {
        Event::Cancelled { job } if (refused_at..unavailable_at).contains(&e.at) => {
            Some((job, e.at))
        }
        _ => None,
    });
    let started_before = |job: &str, at: f64| {
        let is_start = |e: &&Entry| matches!(&e.event, Event::On { task, .. } if e.at < at && task.split('/').next() == Some(job));
        entries.iter().any(|e| is_start(&e))
    };
    let affected = cancelled
        .filter(|(job, at)| started_before(job, *at))
        .count();
    assert!(
        affected > 0,
        "no started job was cancelled between the two faults"
    );
}

/// Guards against answers that contradict an answer received before their request was sent.
/// Whenever a user is told something about a job, every controller is asked about it. Meanwhile
/// answers to transactions are lost, copies of direct calls arrive late, and controllers are
/// paused, restarted, refused and killed.
#[test]
fn answers_do_not_go_back_when_the_state_service_loses_answers() {
    let mut site = short_job_site();
    site.load.cancelled = 0.3;
    let faults = [
        "close-looks:12@0",
        "lost-answers:9@1",
        "late-commands:12@1",
        "pause:2@3",
        "blink@5",
        "refuse:3@7",
        "kill@9",
    ];
    let (entries, _) = run_site(site, &faults, JOBS);
    let is_probe = |e: &&Entry| matches!(e.event, Event::Looked { .. });
    let probes = entries.iter().filter(is_probe).count();
    assert!(probes > 200, "only {probes} probes were answered");
}

/// Runs the load of [`short_job_site`] with these faults. Returns how many connections were cut.
fn run_with_faults(faults: &[&str]) -> usize {
    run_site(short_job_site(), faults, JOBS).1
}

/// The default site with more and shorter jobs.
fn short_job_site() -> Site {
    let mut site = Site::parse(DEFAULT).unwrap();
    site.load.jobs_per_s = 20.0;
    site.load.run_s = 0.3;
    site.restart_s = 1.0;
    site
}

/// Runs the load of a site with these faults on real processes. Returns the history and how many
/// connections were cut.
fn run_site(site: Site, faults: &[&str], jobs: u64) -> (Vec<Entry>, usize) {
    let faults: Vec<Fault> = faults.iter().map(|f| f.parse().unwrap()).collect();
    let dir = tempfile::tempdir().unwrap();
    actix_rt::System::new().block_on(async {
        let program = Path::new(env!("CARGO_BIN_EXE_foxspur"));
        let testbed = Testbed::up(site, program, dir.path()).await.unwrap();
        let outbox = Outbox::open(&dir.path().join("outbox"), true).unwrap();
        let settings = Settings::new([format!("http://{}", testbed.front)]);
        let client = Client::with_outbox(settings, outbox).unwrap();
        testbed.schedule(&faults, 14.0);
        let counters = LoadCounters::default();
        let machines = testbed.machines.clone();
        let generator = LoadGenerator {
            client: &client,
            site: &testbed.site,
            history: &testbed.history,
            upload: Arc::new(move |id, spec| machines.upload(id, spec)),
            counters: &counters,
        };
        let arrivals = Arrivals {
            seed: 7,
            jobs,
            settle: Duration::from_secs(120),
        };
        generator.run(arrivals).await;
        let counts = counters.counts();
        assert_eq!(counts.accepted, jobs, "{counts:?}");
        assert_eq!(counts.done + counts.withdrawn, jobs, "{counts:?}");
        assert_eq!(client.len(), Ok((jobs as _, 0)));
        // The records in the state service are checked too, not only the reports of the client
        // library.
        let (live, terminal) = (
            testbed.state.count("fx/live/"),
            testbed.state.count("fx/fin/"),
        );
        assert_eq!((live, terminal), (0, jobs as usize));
        let injects_lost_answers = faults.iter().any(|f| f.kind == FaultKind::LostAnswers);
        let lost = testbed.state.answers_lost();
        assert!(
            !injects_lost_answers || lost > 5,
            "only {lost} answers were lost"
        );
        let cuts = testbed.connection_faults.cuts();
        let entries = testbed.history.entries();
        let is_answered_poll = |e: &&Entry| matches!(e.event, Event::Asked { answered: true, .. });
        assert!(
            entries.iter().filter(is_answered_poll).count() > 20,
            "too few polls were answered"
        );
        assert_eq!(check(&entries), Vec::<String>::new());
        testbed.down().await;
        (entries, cuts)
    })
}
