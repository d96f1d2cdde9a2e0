//! Calibration of plans: makes random shards under load, plans a drain of some of their
//! machines, then simulates what really happens with other random numbers, and compares what
//! was planned with what came. `--drift` makes tasks run longer than the shard had learnt,
//! `--arrivals` lets jobs arrive that no plan knew of.

#[path = "../tests/support/mod.rs"]
mod support;

use clap::Parser;
use foxspur::coordination::scheduler::snapshot::{ClassError, SnapJob, SnapTask, Snapshot};
use foxspur::protocol::admin::Rest;
use foxspur::protocol::cloud::MachineType;
use foxspur::protocol::job::{JobSpec, Shape, Urgency};
use foxspur_plan::samples::late_jobs;
use foxspur_plan::scenario::Scenario;
use foxspur_plan::simulation::run;
use foxspur_plan::{plan, Options, Order, Plan, PlanError};
use plotters::prelude::*;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use std::path::{Path, PathBuf};
use std::time::Instant;

#[derive(Parser)]
struct Args {
    #[arg(long, default_value_t = 200)]
    machines: usize,
    /// Drains, each of another shard.
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
/// CPUs of a machine.
const CPUS: f64 = 16.0;
/// Seconds within which each drain should be over.
const DEADLINE_S: f64 = 120.0;
/// Seeds of what really happens begin here, far from those of plans.
const REAL_SEED: u64 = 1_000_000_007;
/// Classes of planned probability: none, and ten of equal width.
const BINS: usize = 11;

/// A random job.
fn spec(number: usize, rng: &mut StdRng) -> JobSpec {
    let estimate_s = rng.random_range(30.0..400.0);
    let shape = match rng.random_bool(0.03) {
        true => Shape::Service,
        false => Shape::Sweep,
    };
    let urgency = match rng.random_bool(0.3) {
        true => Urgency::High,
        false => Urgency::Standard,
    };
    let tasks = rng.random_range(1..24);
    let cpus = [1.0, 2.0, 4.0][rng.random_range(0..3)];
    let checkpoint_s = if rng.random_bool(0.3) { 30.0 } else { 0.0 };
    let has_deadline = rng.random_bool(0.7);
    let deadline_s = has_deadline.then(|| estimate_s * rng.random_range(1.1..3.0));
    let class = format!("class-{}", number % 3);
    JobSpec {
        shape,
        urgency,
        cpus,
        image: format!("img-{}", number % 5),
        image_gb: 2.0,
        checkpoint_s,
        save_s: 3.0,
        deadline_s,
        ..support::spec(number, &class, tasks, estimate_s)
    }
}

/// What the shard has learnt of its classes: off by up to two either way.
fn ratios(drift: f64) -> Vec<ClassError> {
    let points = (0..32).map(|i| drift * 2f64.powf(2.0 * (f64::from(i) + 0.5) / 32.0 - 1.0));
    vec![ClassError {
        class: String::new(),
        tasks: 500,
        ratios: points.collect(),
    }]
}

/// A random shard under load.
fn shard(args: &Args, rng: &mut StdRng) -> Snapshot {
    let zones = ["a", "b", "c"];
    let machines = (0..args.machines)
        .map(|n| support::machine(format!("m-{n:06}"), "plain", zones[n % zones.len()]));
    let plain = MachineType {
        cache_gb: 100.0,
        boot_s: 40.0,
        zones: zones.map(String::from).to_vec(),
        ..support::machine_type("plain", CPUS)
    };
    let mut shard = Snapshot {
        term: 1,
        revision: 1,
        at_ms: 0,
        report_s: 5.0,
        lease_s: 30.0,
        cancel_s: 60.0,
        errors: ratios(1.0),
        ..support::snapshot(vec![plain], machines.collect(), Vec::new())
    };
    place_jobs(&mut shard, args, rng);
    shard
}

/// Adds random jobs, with tasks on random machines, until the load is reached.
fn place_jobs(shard: &mut Snapshot, args: &Args, rng: &mut StdRng) {
    let mut free_cpus = vec![CPUS; args.machines];
    let (mut used_cpus, mut attempt) = (0.0, 0);
    while used_cpus < args.load * CPUS * args.machines as f64 {
        let spec = spec(shard.jobs.len(), rng);
        let age_s = rng.random_range(0.0..spec.estimate_s);
        for index in 0..spec.tasks {
            let machine = rng.random_range(0..args.machines);
            if free_cpus[machine] >= spec.cpus {
                free_cpus[machine] -= spec.cpus;
                used_cpus += spec.cpus;
                attempt += 1;
                shard.machines[machine].tasks.push(SnapTask {
                    job: spec.id.clone(),
                    index,
                    attempt,
                    ran_s: Some(age_s * rng.random_range(0.5..1.0)),
                });
            }
        }
        shard.jobs.push(SnapJob {
            age_s,
            ..support::job(spec)
        });
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

/// Draws the bins: planned probability against what came.
fn draw(path: &Path, bins: &[Bin]) -> Result<(), Box<dyn std::error::Error>> {
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
    chart.draw_series(bins.iter().map(|bin| {
        let size = 2 + (bin.jobs as f64).ln().max(0.0) as i32;
        let place = (bin.planned_mean(), bin.came_mean());
        Circle::new(place, size, BLUE.filled())
    }))?;
    area.present()?;
    Ok(())
}

/// Jobs with similar planned probabilities of being late because of the drain.
#[derive(Clone, Default)]
struct Bin {
    planned: f64,
    came: usize,
    jobs: usize,
}

impl Bin {
    fn planned_mean(&self) -> f64 {
        self.planned / self.jobs as f64
    }

    fn came_mean(&self) -> f64 {
        self.came as f64 / self.jobs as f64
    }
}

/// Sums over all drains.
#[derive(Default)]
struct Sums {
    bins: Vec<Bin>,
    /// Jobs that were late because of the drain, and those of them that no plan named.
    late: usize,
    late_unnamed: usize,
    /// Jobs that plans named, their planned lateness, and all jobs.
    named: usize,
    planned_late: f64,
    jobs: usize,
    /// Machines that were not drained in time, planned and as it came, and all.
    planned_overdue: f64,
    overdue: usize,
    hosts: usize,
    /// Seconds that each plan took.
    took_s: Vec<f64>,
}

impl Sums {
    fn add_host(&mut self, planned_overdue: f64, drained_s: Option<f64>) {
        self.planned_overdue += planned_overdue;
        self.overdue += usize::from(drained_s.is_none_or(|t| t > DEADLINE_S));
        self.hosts += 1;
    }

    fn add_job(&mut self, planned_late: f64, came: bool) {
        let bin = match planned_late == 0.0 {
            true => 0,
            false => 1 + ((planned_late * 10.0) as usize).min(BINS - 2),
        };
        let bin = &mut self.bins[bin];
        bin.planned += planned_late;
        bin.came += usize::from(came);
        bin.jobs += 1;
        self.jobs += 1;
        self.planned_late += planned_late;
        self.named += usize::from(planned_late > 0.0);
        self.late += usize::from(came);
        self.late_unnamed += usize::from(came && planned_late == 0.0);
    }

    fn print(&mut self, args: &Args) {
        println!(
            "{} drains of {} of {} machines, {} jobs on average; simulated",
            args.drains,
            args.hosts,
            args.machines,
            self.jobs / args.drains as usize
        );
        println!(
            "deadlines missed because of the drain: {}, planned {:.1}, by {} named jobs",
            self.late, self.planned_late, self.named
        );
        let unnamed = self.jobs - self.named;
        println!(
            "of them not named: {} of {unnamed} jobs that were not ({:.4}%; stated: below {:.1}% each)",
            self.late_unnamed,
            100.0 * self.late_unnamed as f64 / unnamed.max(1) as f64,
            300.0 / f64::from(args.samples)
        );
        println!(
            "machines not drained in time: {} of {}, planned {:.1}",
            self.overdue, self.hosts, self.planned_overdue
        );
        self.took_s.sort_by(f64::total_cmp);
        let quantile = |q: f64| self.took_s[((self.took_s.len() - 1) as f64 * q) as usize];
        println!(
            "a plan of {} pairs of runs: p50 {:.2} s, max {:.2} s; peak {:.0} MB",
            args.samples,
            quantile(0.5),
            quantile(1.0),
            peak_mb()
        );
    }
}

/// Plans a drain of the shard's first machines.
fn plan_drain(args: &Args, shard: &Snapshot, seed: u64) -> Result<Plan, PlanError> {
    let hosts = shard.machines[..args.hosts].iter();
    let order = Order {
        hosts: hosts.map(|machine| machine.info.id.clone()).collect(),
        deadline_s: Some(DEADLINE_S),
        rest: Rest::Stop,
        start_s: 0.0,
    };
    let options = Options {
        seed,
        samples: args.samples,
        horizon_s: HORIZON_S,
        failures: false,
        ..Options::default()
    };
    plan(shard, &order, &options)
}

/// Simulates what really happens, with other random numbers and perhaps another distribution,
/// and adds up how it compares with the plan.
fn compare(args: &Args, shard: &Snapshot, plan: &Plan, rng: &mut StdRng, sums: &mut Sums) {
    let mut real = shard.clone();
    real.errors = ratios(args.drift);
    let mut scenario = Scenario {
        horizon_s: HORIZON_S,
        arrivals: arrivals(args, rng),
        ..Scenario::default()
    };
    let seed = REAL_SEED + plan.options.seed;
    let without = late_jobs(&real, &run(&real, &scenario, seed), HORIZON_S);
    let drain = |host: &String| (0.0, support::drain(host, Some(DEADLINE_S), Rest::Stop));
    scenario.drains = plan.order.hosts.iter().map(drain).collect();
    let outcome = run(&real, &scenario, seed);
    let with = late_jobs(&real, &outcome, HORIZON_S);
    for host in &plan.hosts {
        let drained_s = outcome.drained_s.get(&host.host).copied();
        sums.add_host(host.overdue, drained_s);
    }
    for job in &shard.jobs {
        let id = &job.spec.id;
        let planned = plan.jobs.iter().find(|planned| planned.id == *id);
        let planned_late = planned.map_or(0.0, |planned| planned.late_because);
        sums.add_job(planned_late, with.contains(id) && !without.contains(id));
    }
}

fn main() -> Result<(), Box<dyn std::error::Error>> {
    let args = Args::parse();
    let mut sums = Sums {
        bins: vec![Bin::default(); BINS],
        ..Sums::default()
    };
    for seed in 0..args.drains {
        let mut rng = StdRng::seed_from_u64(seed);
        let shard = shard(&args, &mut rng);
        let began = Instant::now();
        let plan = plan_drain(&args, &shard, seed)?;
        sums.took_s.push(began.elapsed().as_secs_f64());
        compare(&args, &shard, &plan, &mut rng, &mut sums);
    }
    sums.print(&args);
    sums.bins.retain(|bin| bin.jobs > 0);
    for bin in &sums.bins {
        let (planned, came) = (bin.planned_mean(), bin.came_mean());
        println!("planned {planned:.3}  came {came:.3}  jobs {}", bin.jobs);
    }
    if let Some(path) = &args.svg {
        draw(path, &sums.bins)?;
    }
    Ok(())
}
