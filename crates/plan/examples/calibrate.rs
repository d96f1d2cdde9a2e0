//! Measures the calibration of plans. For each of a number of random shards under load, plans a
//! drain of some machines, simulates the drain once with other random numbers (the reference
//! run), and compares the planned probabilities with the observed results. `--drift` makes
//! tasks run longer in the reference run than the shard's error distribution says. `--arrivals`
//! adds jobs to the reference run that the plan does not know.

#[path = "../tests/support/mod.rs"]
mod support;

use clap::Parser;
use foxspur::coordination::scheduler::snapshot::{ClassError, SnapJob, SnapTask, Snapshot};
use foxspur::protocol::admin::RemainingWork;
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
    /// Machines of each shard.
    #[arg(long, default_value_t = 200)]
    machines: usize,
    /// Number of drains, each on a new random shard.
    #[arg(long, default_value_t = 100)]
    drains: u64,
    /// Machines to be drained in each shard.
    #[arg(long, default_value_t = 4)]
    hosts: usize,
    /// Proportion of the CPUs that are in use.
    #[arg(long, default_value_t = 0.8)]
    load: f64,
    /// Samples of each plan.
    #[arg(long, default_value_t = 60)]
    samples: u32,
    /// Factor by which run times in the reference run exceed the shard's error distribution.
    #[arg(long, default_value_t = 1.0)]
    drift: f64,
    /// Proportion of the CPUs that jobs arriving during the reference run request.
    #[arg(long, default_value_t = 0.0)]
    arrivals: f64,
    /// File to draw the calibration chart to (SVG).
    #[arg(long)]
    svg: Option<PathBuf>,
}

/// Simulated time, in seconds.
const HORIZON_S: f64 = 900.0;
/// CPUs of a machine.
const CPUS: f64 = 16.0;
/// Deadline of each drain, in seconds.
const DEADLINE_S: f64 = 120.0;
/// The first seed of the reference runs, far from the seeds of the plans.
const REFERENCE_SEED: u64 = 1_000_000_007;
/// Bins of planned probabilities: one for exactly 0, and ten of equal width.
const BIN_COUNT: usize = 11;

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

/// An error distribution for all classes: log-uniform ratios of run time to estimate from 0.5 to
/// 2, times `drift`.
fn error_distribution(drift: f64) -> Vec<ClassError> {
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
        errors: error_distribution(1.0),
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

/// Random jobs that arrive during the reference run.
fn arrivals(args: &Args, rng: &mut StdRng) -> Vec<(f64, JobSpec)> {
    let mut arrivals = Vec::new();
    let mut requested_cpu_s = 0.0;
    while requested_cpu_s < args.arrivals * CPUS * args.machines as f64 * HORIZON_S {
        let spec = spec(100_000 + arrivals.len(), rng);
        requested_cpu_s += spec.cpus * f64::from(spec.tasks) * spec.estimate_s;
        arrivals.push((rng.random_range(0.0..HORIZON_S), spec));
    }
    arrivals
}

/// Peak resident memory of this process according to the kernel, in MB.
fn peak_mb() -> f64 {
    let status = std::fs::read_to_string("/proc/self/status").unwrap_or_default();
    let line = status.lines().find(|l| l.starts_with("VmHWM:"));
    let kb = line.and_then(|l| l.split_whitespace().nth(1)?.parse::<f64>().ok());
    kb.unwrap_or(0.0) / 1024.0
}

/// Draws the observed proportion of late jobs over the planned probability, one circle per bin.
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
        .y_desc("as observed")
        .draw()?;
    chart.draw_series(LineSeries::new([(0.0, 0.0), (1.0, 1.0)], &BLACK.mix(0.3)))?;
    chart.draw_series(bins.iter().map(|bin| {
        let size = 2 + (bin.jobs as f64).ln().max(0.0) as i32;
        let center = (bin.planned_mean(), bin.observed_mean());
        Circle::new(center, size, BLUE.filled())
    }))?;
    area.present()?;
    Ok(())
}

/// Jobs with similar planned probabilities of being late because of the drain.
#[derive(Clone, Default)]
struct Bin {
    planned: f64,
    observed: usize,
    jobs: usize,
}

impl Bin {
    fn planned_mean(&self) -> f64 {
        self.planned / self.jobs as f64
    }

    fn observed_mean(&self) -> f64 {
        self.observed as f64 / self.jobs as f64
    }
}

/// Sums over all drains.
#[derive(Default)]
struct Sums {
    bins: Vec<Bin>,
    /// Jobs that were late because of the drain.
    late: usize,
    /// Those of them whose planned probability was 0.
    late_unlisted: usize,
    /// Jobs with a planned probability above 0 of being late because of the drain.
    listed: usize,
    /// The sum of these probabilities: the expected number of late jobs.
    planned_late: f64,
    /// All jobs.
    jobs: usize,
    /// The expected number of machines that are not drained in time.
    planned_overdue: f64,
    /// Machines that were not drained in time.
    overdue: usize,
    /// All drained machines.
    hosts: usize,
    /// Wall-clock time that each plan took, in seconds.
    plan_durations_s: Vec<f64>,
}

impl Sums {
    fn add_host(&mut self, planned_overdue: f64, drained_s: Option<f64>) {
        self.planned_overdue += planned_overdue;
        self.overdue += usize::from(drained_s.is_none_or(|drained_s| drained_s > DEADLINE_S));
        self.hosts += 1;
    }

    fn add_job(&mut self, planned_late: f64, observed: bool) {
        let index = match planned_late == 0.0 {
            true => 0,
            false => 1 + ((planned_late * 10.0) as usize).min(BIN_COUNT - 2),
        };
        let bin = &mut self.bins[index];
        bin.planned += planned_late;
        bin.observed += usize::from(observed);
        bin.jobs += 1;
        self.jobs += 1;
        self.planned_late += planned_late;
        self.listed += usize::from(planned_late > 0.0);
        self.late += usize::from(observed);
        self.late_unlisted += usize::from(observed && planned_late == 0.0);
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
            "deadlines missed because of the drain: {}, planned {:.1}, for {} listed jobs",
            self.late, self.planned_late, self.listed
        );
        let unlisted = self.jobs - self.listed;
        println!(
            "of these, not listed in the plan: {} of {unlisted} unlisted jobs ({:.4}%; planned: below {:.1}% each)",
            self.late_unlisted,
            100.0 * self.late_unlisted as f64 / unlisted.max(1) as f64,
            300.0 / f64::from(args.samples)
        );
        println!(
            "machines not drained in time: {} of {}, planned {:.1}",
            self.overdue, self.hosts, self.planned_overdue
        );
        self.plan_durations_s.sort_by(f64::total_cmp);
        let quantile =
            |q: f64| self.plan_durations_s[((self.plan_durations_s.len() - 1) as f64 * q) as usize];
        println!(
            "time for a plan of {} pairs of runs: p50 {:.2} s, max {:.2} s; peak {:.0} MB",
            args.samples,
            quantile(0.5),
            quantile(1.0),
            peak_mb()
        );
    }
}

/// Plans a drain of the shard's first `args.hosts` machines.
fn plan_drain(args: &Args, shard: &Snapshot, seed: u64) -> Result<Plan, PlanError> {
    let hosts = shard.machines[..args.hosts].iter();
    let order = Order {
        hosts: hosts.map(|machine| machine.info.id.clone()).collect(),
        deadline_s: Some(DEADLINE_S),
        rest: RemainingWork::Stop,
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

/// Runs the reference simulation, with other random numbers and `args.drift` applied to the
/// error distribution, and adds its results and the plan's to the sums.
fn compare(args: &Args, shard: &Snapshot, plan: &Plan, rng: &mut StdRng, sums: &mut Sums) {
    let mut reference = shard.clone();
    reference.errors = error_distribution(args.drift);
    let mut scenario = Scenario {
        horizon_s: HORIZON_S,
        arrivals: arrivals(args, rng),
        ..Scenario::default()
    };
    let seed = REFERENCE_SEED + plan.options.seed;
    let without = late_jobs(&reference, &run(&reference, &scenario, seed), HORIZON_S);
    let drain = |host: &String| {
        (
            0.0,
            support::drain(host, Some(DEADLINE_S), RemainingWork::Stop),
        )
    };
    scenario.drains = plan.order.hosts.iter().map(drain).collect();
    let outcome = run(&reference, &scenario, seed);
    let with = late_jobs(&reference, &outcome, HORIZON_S);
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
        bins: vec![Bin::default(); BIN_COUNT],
        ..Sums::default()
    };
    for seed in 0..args.drains {
        let mut rng = StdRng::seed_from_u64(seed);
        let shard = shard(&args, &mut rng);
        let began = Instant::now();
        let plan = plan_drain(&args, &shard, seed)?;
        sums.plan_durations_s.push(began.elapsed().as_secs_f64());
        compare(&args, &shard, &plan, &mut rng, &mut sums);
    }
    sums.print(&args);
    sums.bins.retain(|bin| bin.jobs > 0);
    for bin in &sums.bins {
        let (planned, observed) = (bin.planned_mean(), bin.observed_mean());
        println!(
            "planned {planned:.3}  observed {observed:.3}  jobs {}",
            bin.jobs
        );
    }
    if let Some(path) = &args.svg {
        draw(path, &sums.bins)?;
    }
    Ok(())
}
