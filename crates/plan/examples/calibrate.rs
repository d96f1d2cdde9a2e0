//! How honest plans are: draws shares under load, plans a drain of some of their
//! machines, then plays what really happens with other draws, and compares what
//! was named with what came. `--drift` makes tasks run longer than what the share
//! had learnt, `--arrivals` lets jobs come that no plan knew of.

use clap::Parser;
use foxspur::coordination::scheduler::snapshot::{
    ClassError, SnapJob, SnapMachine, SnapTask, Snapshot,
};
use foxspur::protocol::admin::{Drain, Rest};
use foxspur::protocol::cloud::MachineType;
use foxspur::protocol::job::{JobSpec, Shape, Urgency};
use foxspur::protocol::policy::Policy;
use foxspur::protocol::settings::Team;
use foxspur::storage::records::MachineInfo;
use foxspur_plan::samples::late_jobs;
use foxspur_plan::scenario::Scenario;
use foxspur_plan::simulation::run;
use foxspur_plan::{plan, Options, Order};
use plotters::prelude::*;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use std::path::PathBuf;
use std::time::Instant;

#[derive(Parser)]
struct Args {
    #[arg(long, default_value_t = 200)]
    machines: usize,
    /// Drains, each of another share.
    #[arg(long, default_value_t = 100)]
    drains: u64,
    /// Machines of each drain.
    #[arg(long, default_value_t = 4)]
    hosts: usize,
    /// Share of the CPUs that run something.
    #[arg(long, default_value_t = 0.8)]
    load: f64,
    #[arg(long, default_value_t = 60)]
    samples: u32,
    /// By how much tasks run longer than was learnt.
    #[arg(long, default_value_t = 1.0)]
    drift: f64,
    /// Share of the CPUs that jobs arriving meanwhile ask for.
    #[arg(long, default_value_t = 0.0)]
    arrivals: f64,
    /// Where to draw the calibration (SVG).
    #[arg(long)]
    svg: Option<PathBuf>,
}

const HORIZON_S: f64 = 900.0;
const CPUS: f64 = 16.0;

fn spec(n: usize, rng: &mut StdRng) -> JobSpec {
    let estimate_s = rng.random_range(30.0..400.0);
    JobSpec {
        id: format!("run-{n}"),
        class: format!("class-{}", n % 3),
        team: "t".into(),
        shape: if rng.random_bool(0.03) {
            Shape::Service
        } else {
            Shape::Sweep
        },
        urgency: if rng.random_bool(0.3) {
            Urgency::High
        } else {
            Urgency::Standard
        },
        tasks: rng.random_range(1..24),
        cpus: [1.0, 2.0, 4.0][rng.random_range(0..3)],
        gpus: 0.0,
        memory_gb: 1.0,
        image: format!("img-{}", n % 5),
        image_gb: 2.0,
        types: None,
        zone: None,
        one_zone: false,
        spread: false,
        spot: true,
        estimate_s,
        checkpoint_s: if rng.random_bool(0.3) { 30.0 } else { 0.0 },
        save_s: 3.0,
        deadline_s: rng
            .random_bool(0.7)
            .then(|| estimate_s * rng.random_range(1.1..3.0)),
    }
}

/// What the share has learnt of its classes: off by up to two either way.
fn ratios(drift: f64) -> Vec<ClassError> {
    let points = (0..32).map(|i| drift * 2f64.powf(2.0 * (f64::from(i) + 0.5) / 32.0 - 1.0));
    vec![ClassError {
        class: String::new(),
        tasks: 500,
        ratios: points.collect(),
    }]
}

fn share(args: &Args, rng: &mut StdRng) -> Snapshot {
    let machines = (0..args.machines).map(|n| SnapMachine {
        info: MachineInfo {
            id: format!("m-{n:06}"),
            addr: "127.0.0.1:1".into(),
            kind: "plain".into(),
            zone: ["a", "b", "c"][n % 3].into(),
            spot: false,
        },
        alive: true,
        session: 1,
        tasks: Vec::new(),
    });
    let mut machines: Vec<SnapMachine> = machines.collect();
    let mut free = vec![CPUS; args.machines];
    let mut jobs = Vec::new();
    let (mut used, mut attempt) = (0.0, 0);
    while used < args.load * CPUS * args.machines as f64 {
        let spec = spec(jobs.len(), rng);
        let age_s = rng.random_range(0.0..spec.estimate_s);
        for index in 0..spec.tasks {
            let at = rng.random_range(0..args.machines);
            if free[at] >= spec.cpus {
                free[at] -= spec.cpus;
                used += spec.cpus;
                attempt += 1;
                machines[at].tasks.push(SnapTask {
                    job: spec.id.clone(),
                    index,
                    attempt,
                    ran_s: Some(age_s * rng.random_range(0.5..1.0)),
                });
            }
        }
        jobs.push(SnapJob {
            spec,
            age_s,
            done: String::new(),
        });
    }
    Snapshot {
        term: 1,
        revision: 1,
        at_ms: 0,
        report_s: 5.0,
        lease_s: 30.0,
        cancel_s: 60.0,
        teams: vec![Team {
            name: "t".into(),
            cpus: 0.0,
            cpus_max: 0.0,
            gpus: 0.0,
            gpus_max: 0.0,
        }],
        objectives: Vec::new(),
        policy: Policy::default(),
        types: vec![MachineType {
            name: "plain".into(),
            cpus: CPUS,
            gpus: 0.0,
            memory_gb: 64.0,
            cache_gb: 100.0,
            fetch_gb_per_s: 1.0,
            price: 1.0,
            spot_price: 0.3,
            boot_s: 40.0,
            zones: vec!["a".into(), "b".into(), "c".into()],
        }],
        machines,
        jobs,
        errors: ratios(1.0),
        drains: Vec::new(),
    }
}

/// Jobs that arrive in the real run.
fn arrivals(args: &Args, rng: &mut StdRng) -> Vec<(f64, JobSpec)> {
    let mut arrivals = Vec::new();
    let mut asked = 0.0;
    while asked < args.arrivals * CPUS * args.machines as f64 * HORIZON_S {
        let spec = spec(100_000 + arrivals.len(), rng);
        asked += spec.cpus * f64::from(spec.tasks) * spec.estimate_s;
        arrivals.push((rng.random_range(0.0..HORIZON_S), spec));
    }
    arrivals
}

/// The most that this process has held, in MB, as the kernel counts it.
fn peak_mb() -> f64 {
    let status = std::fs::read_to_string("/proc/self/status").unwrap_or_default();
    let line = status.lines().find(|l| l.starts_with("VmHWM:"));
    let kb = line.and_then(|l| l.split_whitespace().nth(1)?.parse::<f64>().ok());
    kb.unwrap_or(0.0) / 1024.0
}

fn picture(path: &PathBuf, bins: &[(f64, f64, usize)]) -> Result<(), Box<dyn std::error::Error>> {
    let area = SVGBackend::new(path, (600, 500)).into_drawing_area();
    area.fill(&WHITE)?;
    let mut chart = ChartBuilder::on(&area)
        .margin(10)
        .x_label_area_size(35)
        .y_label_area_size(45)
        .build_cartesian_2d(0.0..1.0, 0.0..1.0)?;
    let mesh = &mut chart.configure_mesh();
    mesh.x_desc("late because of the drain: as planned")
        .y_desc("as it came")
        .draw()?;
    chart.draw_series(LineSeries::new([(0.0, 0.0), (1.0, 1.0)], &BLACK.mix(0.3)))?;
    chart.draw_series(bins.iter().map(|(x, y, n)| {
        let size = 2 + (*n as f64).ln().max(0.0) as i32;
        Circle::new((*x, *y), size, BLUE.filled())
    }))?;
    area.present()?;
    Ok(())
}

fn main() -> Result<(), Box<dyn std::error::Error>> {
    let args = Args::parse();
    let mut bins = vec![(0.0, 0.0, 0usize); 11];
    let (mut missed, mut unnamed, mut named, mut jobs) = (0, 0, 0, 0);
    let (mut sum, mut overdue, mut all_hosts) = (0.0, (0.0, 0), 0);
    let mut took = Vec::new();
    for n in 0..args.drains {
        let mut rng = StdRng::seed_from_u64(n);
        let share = share(&args, &mut rng);
        let order = Order {
            hosts: (0..args.hosts)
                .map(|h| share.machines[h].info.id.clone())
                .collect(),
            deadline_s: Some(120.0),
            rest: Rest::Stop,
            start_s: 0.0,
        };
        let options = Options {
            seed: n,
            samples: args.samples,
            horizon_s: HORIZON_S,
            failures: false,
            ..Options::default()
        };
        let began = Instant::now();
        let made = plan(&share, &order, &options)?;
        took.push(began.elapsed().as_secs_f64());
        // What really happens: other draws, perhaps of another distribution.
        let mut real = share.clone();
        real.errors = ratios(args.drift);
        let mut scenario = Scenario {
            horizon_s: HORIZON_S,
            arrivals: arrivals(&args, &mut rng),
            ..Scenario::default()
        };
        let seed = 1_000_000_007 + n;
        let without = late_jobs(&real, &run(&real, &scenario, seed), HORIZON_S);
        scenario.drains = order
            .hosts
            .iter()
            .map(|host| {
                let drain = Drain {
                    host: host.clone(),
                    order: "o".into(),
                    by: "o".into(),
                    why: "o".into(),
                    at_ms: 0,
                    deadline_ms: Some(120_000),
                    rest: Rest::Stop,
                    drained: None,
                    roll: None,
                };
                (0.0, drain)
            })
            .collect();
        let outcome = run(&real, &scenario, seed);
        let with = late_jobs(&real, &outcome, HORIZON_S);
        for host in &made.hosts {
            overdue.0 += host.overdue;
            let late = outcome.drained_s.get(&host.host).is_none_or(|t| *t > 120.0);
            overdue.1 += usize::from(late);
            all_hosts += 1;
        }
        for job in &share.jobs {
            let p = made
                .jobs
                .iter()
                .find(|j| j.id == job.spec.id)
                .map_or(0.0, |j| j.late_because);
            let came = with.contains(&job.spec.id) && !without.contains(&job.spec.id);
            let bin = &mut bins[if p == 0.0 {
                0
            } else {
                1 + ((p * 10.0) as usize).min(9)
            }];
            bin.0 += p;
            bin.1 += f64::from(u8::from(came));
            bin.2 += 1;
            jobs += 1;
            sum += p;
            named += usize::from(p > 0.0);
            missed += usize::from(came);
            unnamed += usize::from(came && p == 0.0);
        }
    }
    took.sort_by(f64::total_cmp);
    let at = |q: f64| took[((took.len() - 1) as f64 * q) as usize];
    println!(
        "{} drains of {} of {} machines, {} jobs on average; simulated",
        args.drains,
        args.hosts,
        args.machines,
        jobs / args.drains as usize
    );
    println!(
        "deadlines missed because of the drain: {missed}, planned {sum:.1}, by {named} named jobs"
    );
    println!(
        "of them not named: {unnamed} of {} jobs that were not ({:.4}%; stated: below {:.1}% each)",
        jobs - named,
        100.0 * unnamed as f64 / (jobs - named).max(1) as f64,
        300.0 / f64::from(args.samples)
    );
    println!(
        "machines not drained in time: {} of {all_hosts}, planned {:.1}",
        overdue.1, overdue.0
    );
    println!(
        "a plan of {} pairs of runs: p50 {:.2} s, max {:.2} s; peak {:.0} MB",
        args.samples,
        at(0.5),
        at(1.0),
        peak_mb()
    );
    let bins: Vec<(f64, f64, usize)> = bins
        .into_iter()
        .filter(|b| b.2 > 0)
        .map(|(p, came, n)| (p / n as f64, came / n as f64, n))
        .collect();
    for (p, came, n) in &bins {
        println!("planned {p:.3}  came {came:.3}  jobs {n}");
    }
    if let Some(path) = &args.svg {
        picture(path, &bins)?;
    }
    Ok(())
}
