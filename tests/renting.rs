//! Renting follows what waits: a waiting task that no machine has room for gets a machine, whatever
//! restricts it, although other machines are idle.

mod common;

use common::*;
use foxspur::coordination::fleet::scale_in::idle_machine;
use foxspur::coordination::fleet::scale_out::{plan, Demand, Offer, RentalPlan};
use foxspur::coordination::fleet::shortfall::ShortfallAges;
use foxspur::coordination::scheduler::resources::Resources;
use foxspur::coordination::scheduler::state::Scheduler;
use foxspur::protocol::cloud::MachineType;
use foxspur::protocol::job::{JobSpec, Shape, Urgency};
use foxspur::protocol::policy::Policy;
use foxspur::storage::records::{fits_type, MachineInfo};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

const TERM: u64 = 5;
const HEADROOM: f64 = 0.25;
/// Longer than any machine takes to boot.
const LONG_S: f64 = 1000.0;

/// A small type in zone `a`, a large one in zone `b`, and one with GPUs in both.
fn offered_types() -> Vec<MachineType> {
    let offered = |name: &str, cpus, gpus, memory_gb, boot_s, zones: &[&str]| MachineType {
        name: name.into(),
        cpus,
        gpus,
        memory_gb,
        boot_s,
        zones: zones.iter().map(ToString::to_string).collect(),
        ..types().remove(0)
    };
    vec![
        offered("edge", 8.0, 0.0, 16.0, 10.0, &["a"]),
        offered("big", 64.0, 0.0, 128.0, 15.0, &["b"]),
        offered("gpu", 8.0, 4.0, 64.0, 40.0, &["a", "b"]),
    ]
}

fn info(id: &str, kind: &str, zone: &str, spot: bool) -> MachineInfo {
    MachineInfo {
        kind: kind.into(),
        ..machine(id, zone, spot)
    }
}

/// A scheduler with these machines, all of which have reported that they are empty.
fn scheduler_with(machines: &[MachineInfo]) -> Scheduler {
    let teams = vec![team("t", 0.0, 0.0), team("small", 0.0, 4.0)];
    let mut scheduler = scheduler(teams, TERM, &[]);
    scheduler.set_types(&offered_types());
    for info in machines {
        scheduler.add_recorded_machine(info.clone(), 0.0);
    }
    for info in machines {
        heartbeat(&mut scheduler, info, 1, 0.1);
    }
    scheduler
}

fn heartbeat(scheduler: &mut Scheduler, info: &MachineInfo, seq: u64, now: f64) {
    let mut report = report(&info.id, 1, seq, TERM, &[]);
    (report.kind, report.zone) = (info.kind.clone(), info.zone.clone());
    report.spot = info.spot;
    scheduler.handle_heartbeat(&report, now);
}

/// Six idle machines in zone `a`.
fn idle_edges() -> Vec<MachineInfo> {
    (0..6)
        .map(|n| info(&format!("m{n}"), "edge", "a", false))
        .collect()
}

/// The rentals of a round in which all shortfalls have lasted for `waited_s`.
fn rentals(
    scheduler: &Scheduler,
    booting: &[MachineInfo],
    waited_s: f64,
    available: impl Fn(&Offer) -> bool,
) -> Vec<RentalPlan> {
    let mut demand = Demand::of(scheduler, booting.iter(), &[], 1.0);
    for shortfall in &mut demand.shortfalls {
        shortfall.waited_s = waited_s;
    }
    plan(&demand, &scheduler.types, HEADROOM, available)
}

/// The rentals as text: type, zone, `*` for spot machines, and number.
fn as_text(plans: &[RentalPlan]) -> String {
    let text = |plan: &RentalPlan| {
        let spot = if plan.offer.spot { "*" } else { "" };
        format!(
            "{} {}{spot} {}",
            plan.offer.kind, plan.offer.zone, plan.count
        )
    };
    plans.iter().map(text).collect::<Vec<_>>().join(", ")
}

fn sweep(tasks: u32, cpus: f64) -> JobSpec {
    JobSpec {
        memory_gb: 0.5,
        spot: false,
        ..spec("run-1", "t", Urgency::Standard, tasks, cpus)
    }
}

/// Guards against a job that waits for ever because other machines are idle, which it may not use: a
/// job bound to a zone whose only machine had stopped stayed pending, and nothing was rented
/// (`docs/incidents/2026-12-idle-machines-elsewhere.md`).
#[test]
fn idle_machines_that_a_job_may_not_use_do_not_stop_renting_for_it() {
    let in_zone = |zone: &str| JobSpec {
        zone: Some(zone.into()),
        ..sweep(8, 2.0)
    };
    let with_types = |types: &[&str]| JobSpec {
        types: Some(types.iter().map(ToString::to_string).collect()),
        ..sweep(8, 2.0)
    };
    let of_team = |team: &str, job: JobSpec| JobSpec {
        team: team.into(),
        ..job
    };
    for (what, job, expected) in [
        ("any machine", sweep(8, 2.0), ""),
        ("the zone of the idle machines", in_zone("a"), ""),
        ("another zone", in_zone("b"), "big b 1"),
        ("another type", with_types(&["big"]), "big b 1"),
        ("a type with GPUs", with_types(&["gpu"]), "gpu a 2"),
        (
            "more memory than the idle machines have",
            JobSpec {
                memory_gb: 60.0,
                ..sweep(2, 1.0)
            },
            "big b 1",
        ),
        (
            "GPUs",
            JobSpec {
                gpus: 2.0,
                ..sweep(3, 1.0)
            },
            "gpu a 2",
        ),
        (
            "more CPUs than the idle machines have",
            sweep(1, 9.0),
            "big b 1",
        ),
        (
            "a service of small replicas",
            JobSpec {
                shape: Shape::Service,
                ..in_zone("b")
            },
            "big b 1",
        ),
        (
            "many machines of the other zone",
            JobSpec {
                zone: Some("b".into()),
                memory_gb: 100.0,
                ..sweep(4, 0.1)
            },
            "big b 4",
        ),
        (
            "no more than its team may use",
            of_team("small", in_zone("b")),
            "big b 1",
        ),
        (
            "nothing, since one task exceeds the limit of its team",
            of_team(
                "small",
                JobSpec {
                    tasks: 2,
                    cpus: 5.0,
                    ..in_zone("b")
                },
            ),
            "",
        ),
    ] {
        let mut scheduler = scheduler_with(&idle_edges());
        add(&mut scheduler, job, 0.2);
        let rentals = rentals(&scheduler, &[], 0.0, |_| true);
        assert_eq!(as_text(&rentals), expected, "{what}");
    }
}

/// Guards against a job that waits for ever behind tasks that never end. The only machine of its zone
/// is full of replicas of a service. A machine is rented once the job has waited for as long as the
/// machine takes to boot, and not again while it boots. The same holds where only memory is used up.
#[test]
fn a_full_machine_of_the_right_kind_does_not_stop_renting() {
    for (cpus, memory_gb) in [(16.0, 1.0), (1.0, 32.0)] {
        let mut fleet = idle_edges();
        fleet.push(info("big", "big", "b", false));
        let mut scheduler = scheduler_with(&fleet);
        let service = JobSpec {
            shape: Shape::Service,
            zone: Some("b".into()),
            memory_gb,
            ..sweep(4, cpus)
        };
        let waiting = JobSpec {
            id: "run-2".into(),
            ..service.clone()
        };
        add(&mut scheduler, service, 0.2);
        scheduler.place_all(0.3);
        add(&mut scheduler, waiting, 0.4);
        scheduler.place_all(0.5);
        // Without more idle machines the sum of CPUs would not suffice either.
        scheduler.set_types(&offered_types());
        let enough = (0..20).map(|n| info(&format!("more{n}"), "edge", "a", false));
        let mut booting: Vec<MachineInfo> = enough.collect();
        let rented = |booting: &[MachineInfo], waited_s| {
            as_text(&rentals(&scheduler, booting, waited_s, |_| true))
        };
        assert_eq!(rented(&booting, 14.9), "", "{cpus} CPUs, {memory_gb} GB");
        assert_eq!(
            rented(&booting, 15.0),
            "big b 1",
            "{cpus} CPUs, {memory_gb} GB"
        );
        booting.push(info("next", "big", "b", false));
        assert_eq!(rented(&booting, LONG_S), "", "{cpus} CPUs, {memory_gb} GB");
    }
}

/// Guards against the wrong zone: tasks of a one-zone job are rented for where its other tasks are,
/// and the second half of a spread job where its first half is not.
#[test]
fn rentals_respect_the_zones_of_the_other_tasks() {
    for (one_zone, spread, tasks, expected) in [
        (true, false, 30, "gpu a 2"),
        (false, true, 16, "gpu b 1"),
        (false, true, 15, "gpu b 1"),
    ] {
        let fleet = [
            info("m1", "gpu", "a", false),
            info("m2", "gpu", "a", false),
            info("e1", "edge", "a", false),
        ];
        let mut scheduler = scheduler_with(&fleet);
        let mut job = sweep(tasks, 1.0);
        (job.one_zone, job.spread) = (one_zone, spread);
        job.types = Some(vec!["gpu".into()]);
        add(&mut scheduler, job, 0.2);
        scheduler.place_all(0.3);
        let booting: Vec<MachineInfo> = (0..9)
            .map(|n| info(&format!("b{n}"), "edge", "a", false))
            .collect();
        let rentals = rentals(&scheduler, &booting, LONG_S, |_| true);
        let what = format!("one zone: {one_zone}, spread: {spread}");
        assert_eq!(as_text(&rentals), expected, "{what}");
    }
}

/// Guards against ages that start again in each round, so that nothing is ever rented, and against
/// ages that outlive the shortfall.
#[test]
fn a_shortfall_ages_until_it_ends() {
    let mut ages = ShortfallAges::default();
    let mut scheduler = scheduler_with(&idle_edges());
    let job = JobSpec {
        zone: Some("b".into()),
        ..sweep(1, 1.0)
    };
    add(&mut scheduler, job, 0.2);
    let mut waited = Vec::new();
    for (now, has_machine) in [
        (1.0, false),
        (2.0, false),
        (9.0, false),
        (10.0, true),
        (11.0, false),
    ] {
        let booting = info("next", "big", "b", false);
        let booting = has_machine.then_some(&booting);
        let mut demand = Demand::of(&scheduler, booting.into_iter(), &[], now);
        ages.update(&mut demand.shortfalls, now);
        waited.extend(demand.shortfalls.iter().map(|shortfall| shortfall.waited_s));
    }
    assert_eq!(waited, [0.0, 1.0, 8.0, 0.0]);
}

/// Guards against idle machines that are kept for ever because some task waits that may not use
/// them.
#[test]
fn an_idle_machine_is_returned_unless_a_waiting_task_may_use_it() {
    for (zone, returned) in [("a", false), ("b", true)] {
        let mut scheduler = scheduler_with(&idle_edges());
        let job = JobSpec {
            zone: Some(zone.into()),
            ..sweep(1, 1.0)
        };
        add(&mut scheduler, job, 0.2);
        let policy = Policy::default();
        let idle = idle_machine(&scheduler, &policy, LONG_S);
        assert_eq!(idle.is_some(), returned, "a task waits for zone {zone}");
    }
}

fn drawn_spec(rng: &mut StdRng, number: usize) -> JobSpec {
    let mut job = spec(
        &format!("run-{number}"),
        "t",
        Urgency::Standard,
        rng.random_range(1..20),
        [0.0, 0.01, 0.5, 2.0, 8.0, 40.0][rng.random_range(0..6)],
    );
    job.memory_gb = [0.0, 0.5, 6.0, 16.0, 60.0][rng.random_range(0..5)];
    job.gpus = if rng.random_bool(0.2) && job.cpus <= 8.0 {
        [0.5, 4.0][rng.random_range(0..2)]
    } else {
        0.0
    };
    job.spot = rng.random_bool(0.5);
    job.one_zone = rng.random_bool(0.2);
    if rng.random_bool(0.4) {
        job.zone = Some(["a", "b"][rng.random_range(0..2)].into());
    }
    if rng.random_bool(0.3) {
        let name = ["edge", "big", "gpu"][rng.random_range(0..3)];
        job.types = Some(vec![name.into()]);
    }
    job
}

fn drawn_machines(rng: &mut StdRng, prefix: &str, most: usize) -> Vec<MachineInfo> {
    let count = rng.random_range(0..=most);
    let kinds = [("edge", "a"), ("big", "b"), ("gpu", "a"), ("gpu", "b")];
    (0..count)
        .map(|n| {
            let (kind, zone) = kinds[rng.random_range(0..kinds.len())];
            info(&format!("{prefix}{n}"), kind, zone, rng.random_bool(0.4))
        })
        .collect()
}

/// Whether a task of the job may run on a machine of the offer, whatever runs there.
fn may_run(job: &JobSpec, types: &[MachineType], kind: &str, zone: &str, spot: bool) -> bool {
    let kind = types.iter().find(|offered| offered.name == kind);
    kind.is_some_and(|kind| fits_type(job, kind) && kind.zones.iter().any(|name| name == zone))
        && (job.spot || !spot)
        && job.zone.as_ref().is_none_or(|required| required == zone)
}

/// The property that no accepted job waits for a machine that nobody rents: for drawn fleets, jobs
/// and sold-out offers, once the shortfalls have lasted, each waiting task has room on some machine
/// that is up, booting or about to be requested, or every offer that it may use is sold out.
#[test]
fn every_waiting_task_has_room_somewhere_or_all_its_offers_are_sold_out() {
    let offered = offered_types();
    let (mut rented, mut sold_out_jobs) = (0, 0);
    for seed in seeds(3000) {
        let mut rng = StdRng::seed_from_u64(seed);
        let fleet = drawn_machines(&mut rng, "m", 8);
        let booting = drawn_machines(&mut rng, "b", 3);
        let mut scheduler = scheduler_with(&fleet);
        for number in 0..rng.random_range(1..8) {
            let job = drawn_spec(&mut rng, number);
            let fits_some = offered.iter().any(|kind| fits_type(&job, kind));
            if fits_some {
                add(&mut scheduler, job, 0.2);
            }
            if rng.random_bool(0.5) {
                scheduler.place_all(0.3);
            }
        }
        scheduler.place_all(0.4);
        let sold_out = rng.random_range(0..64u32);
        let available = |offer: &Offer| {
            let bit = ["edge", "big", "gpu"]
                .iter()
                .position(|kind| *kind == offer.kind)
                .expect("a known type");
            sold_out >> (2 * bit + usize::from(offer.spot)) & 1 == 0
        };
        let plans = rentals(&scheduler, &booting, LONG_S, available);
        rented += plans.len();
        let planned = plans.iter().flat_map(|plan| {
            let Offer { kind, zone, spot } = &plan.offer;
            (0..plan.count).map(move |_| info("planned", kind, zone, *spot))
        });
        let new_machines: Vec<MachineInfo> = booting.iter().cloned().chain(planned).collect();
        for job in scheduler
            .jobs
            .values()
            .filter(|job| job.unplaced_tasks() > 0)
        {
            let need = Resources::of_task(&job.spec);
            let allows = |zone: &str| {
                let used = scheduler.machines.values().filter(|machine| {
                    machine
                        .attempts
                        .keys()
                        .any(|id| *id.task.job == *job.spec.id)
                });
                !job.spec.one_zone || used.into_iter().all(|machine| machine.info.zone == zone)
            };
            let may_use = |kind: &str, zone: &str, spot: bool| {
                may_run(&job.spec, &offered, kind, zone, spot) && allows(zone)
            };
            let has_new = new_machines
                .iter()
                .any(|info| may_use(&info.kind, &info.zone, info.spot));
            let has_free = scheduler.machines.values().any(|machine| {
                may_use(&machine.info.kind, &machine.info.zone, machine.info.spot)
                    && machine.free_capacity.fits(&need)
            });
            let is_offered = offered.iter().any(|kind| {
                let offers = kind.zones.iter().flat_map(|zone| {
                    [false, true].map(|spot| Offer {
                        kind: kind.name.clone(),
                        zone: zone.clone(),
                        spot,
                    })
                });
                offers
                    .into_iter()
                    .any(|offer| available(&offer) && may_use(&offer.kind, &offer.zone, offer.spot))
            });
            sold_out_jobs += usize::from(!is_offered && !has_new && !has_free);
            assert!(
                has_free || has_new || !is_offered,
                "seed {seed}: {:?} waits, and {} is rented",
                job.spec,
                as_text(&plans)
            );
        }
    }
    if !seed_range_is_given() {
        assert!(rented > 1000, "{rented} rentals");
        assert!(sold_out_jobs > 100, "{sold_out_jobs} jobs");
    }
}
