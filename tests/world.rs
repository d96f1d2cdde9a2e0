//! Real controllers on loopback: connections cut at random bytes, controllers
//! killed and stopped where they are, the state service away. However it goes, no
//! rule is broken, each job exists once, and each has one final answer.

use foxspur_client::{Client, Outbox, Settings};
use foxspur_world::history::{check, Entry, Event};
use foxspur_world::load::{play, Tally};
use foxspur_world::site::{Site, DEFAULT};
use foxspur_world::world::{Fault, World};
use std::path::Path;
use std::sync::atomic::Ordering;
use std::sync::Arc;
use std::time::Duration;

const JOBS: u64 = 300;

#[test]
fn every_job_exists_once_whatever_the_connections_do() {
    let cuts = play_day(&["cut:250@0", "kill@3/4", "pause:3@5", "state:2@9", "die@6"]);
    assert!(cuts > 50, "only {cuts} cuts: too weak");
}

/// The same while machines hear nothing, copies of reports follow late, a controller
/// loses all but its workers, and controllers are back at once, twice in a row.
#[test]
fn every_job_exists_once_though_machines_hear_nothing() {
    play_day(&[
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

/// Many jobs are cancelled while direct commands are carried out once more, late, an
/// owner is refused, stands still, ends and is back, and the state service goes away
/// right after answers.
#[test]
fn what_was_cancelled_stays_gone_whatever_is_repeated() {
    let mut site = Site::parse(DEFAULT).unwrap();
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
    play_site(site, &faults);
}

/// Plays a day on real processes; how many answers were cut.
fn play_day(faults: &[&str]) -> usize {
    play_site(Site::parse(DEFAULT).unwrap(), faults)
}

fn play_site(mut site: Site, faults: &[&str]) -> usize {
    site.load.jobs_per_s = 20.0;
    site.load.run_s = 0.3;
    site.restart_s = 1.0;
    let faults: Vec<Fault> = faults.iter().map(|f| f.parse().unwrap()).collect();
    let dir = tempfile::tempdir().unwrap();
    actix_rt::System::new().block_on(async {
        let program = Path::new(env!("CARGO_BIN_EXE_foxspur"));
        let world = World::up(site, program, dir.path()).await.unwrap();
        let outbox = Outbox::open(&dir.path().join("outbox"), true).unwrap();
        let settings = Settings::new([format!("http://{}", world.front)]);
        let client = Client::with_outbox(settings, outbox).unwrap();
        world.schedule(&faults, 14.0);
        let tally = Tally::default();
        let machines = world.machines.clone();
        let upload = Arc::new(move |id, spec| machines.upload(id, spec));
        let arrivals = (7, JOBS, Duration::from_secs(120));
        play(
            &client,
            &world.site,
            &world.history,
            upload,
            arrivals,
            &tally,
        )
        .await;
        let counts = tally.counts();
        assert_eq!(counts.accepted, JOBS, "{counts:?}");
        assert_eq!(counts.done + counts.withdrawn, JOBS, "{counts:?}");
        assert_eq!(client.len(), Ok((JOBS, 0)));
        // As the state service has it, whatever the library thinks.
        let (live, over) = (world.state.count("fx/live/"), world.state.count("fx/fin/"));
        assert_eq!((live, over), (0, JOBS as usize));
        let cuts = world.trouble.cuts.load(Ordering::Relaxed);
        let entries = world.history.entries();
        let asked = |e: &&Entry| matches!(e.event, Event::Asked { answered: true, .. });
        assert!(
            entries.iter().filter(asked).count() > 20,
            "nobody was asked"
        );
        assert_eq!(check(&entries), Vec::<String>::new());
        world.down().await;
        cuts
    })
}
