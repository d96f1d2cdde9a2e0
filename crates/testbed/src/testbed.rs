//! Everything together: stand-ins, real controllers, faults on a schedule.

use crate::balancer::{self, Trouble};
use crate::close_looks::CloseLooks;
use crate::cloud::{self, CameTo};
use crate::controllers::{Controller, Place};
use crate::history::{Event, History};
use crate::links::Links;
use crate::machines::Machines;
use crate::site::Site;
use crate::state::{self, StateService};
use actix_web::{web, App, HttpServer};
use std::net::{Ipv4Addr, SocketAddr, TcpListener};
use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicU8, Ordering};
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::Mutex;

/// Where controllers keep whose share it is.
const SHARE: &str = "fx/a/share/0";

/// A fault: `kill`, `kill-all`, `pause:S`, `refuse:S` (one controller by the state
/// service), `refuse-owner:S` (the one that owns the share), `state:S` and `cloud:S` (away), `die`, `hang:S` (a machine),
/// `cut:N` (of a thousand answers), `reset:N` (the next answer after byte N),
/// `delay:MS`, `deaf:S` (a machine whose reports arrive while it hears nothing),
/// `late-reports:S`, `late-commands:S` (copies of reports or of direct commands follow, up
/// to three leases later), `lost-answers:S` (of one transaction in four), `close-looks:S`
/// (users ask every controller as soon as one was told anything), `island:S` (a controller loses the state service and the others, not its workers), `blink` (a
/// controller ends and is back at once).
#[derive(Debug, Clone, PartialEq)]
pub struct Fault {
    pub what: String,
    pub amount: f64,
    /// When, in seconds from the start, and again after as many.
    pub at_s: f64,
    pub every_s: Option<f64>,
}

impl std::str::FromStr for Fault {
    type Err = String;
    /// `WHAT[:AMOUNT]@AT[/EVERY]`, such as `pause:3@10/20`.
    fn from_str(text: &str) -> Result<Fault, String> {
        let bad = || format!("fault {text}: not of the form WHAT[:AMOUNT]@AT[/EVERY]");
        let (what, when) = text.split_once('@').ok_or_else(bad)?;
        let (what, amount) = what.split_once(':').unwrap_or((what, "0"));
        let (at, every) = match when.split_once('/') {
            Some((at, every)) => (at, Some(every)),
            None => (when, None),
        };
        let number = |t: &str| t.parse::<f64>().ok().filter(|n| n.is_finite() && *n >= 0.0);
        let known = [
            "kill",
            "kill-all",
            "pause",
            "refuse",
            "refuse-owner",
            "state",
            "cloud",
            "die",
            "hang",
            "cut",
            "reset",
            "delay",
            "deaf",
            "late-reports",
            "late-commands",
            "lost-answers",
            "close-looks",
            "island",
            "blink",
        ];
        if !known.contains(&what) {
            return Err(format!(
                "fault {text}: {what} is none of {}",
                known.join(", ")
            ));
        }
        let every_s = match every {
            Some(every) => Some(number(every).filter(|s| *s >= 0.1).ok_or_else(bad)?),
            None => None,
        };
        Ok(Fault {
            what: what.into(),
            amount: number(amount).ok_or_else(bad)?,
            at_s: number(at).ok_or_else(bad)?,
            every_s,
        })
    }
}

/// A testbed that is up.
#[derive(Clone)]
pub struct Testbed {
    pub site: Arc<Site>,
    pub history: History,
    pub machines: Machines,
    pub state: StateService,
    pub trouble: Trouble,
    links: Links,
    close_looks: CloseLooks,
    /// Where descriptions are uploaded and the history is read.
    pub control: SocketAddr,
    /// The load balancer's address, and the controllers' own.
    pub front: SocketAddr,
    pub fronts: Vec<SocketAddr>,
    /// Where the controllers answer operators.
    pub admins: Vec<SocketAddr>,
    controllers: Arc<Mutex<Vec<Controller>>>,
}

/// Most jobs asked about in one round.
const ASKED: usize = 40;

/// Asks about jobs that were accepted as their users do, every 5 s over a connection of its
/// own, and notes which were answered: the checker holds it against the rule that no known
/// job stays without an answer.
async fn ask_on(history: History, front: SocketAddr) {
    let builder = reqwest::Client::builder().no_proxy();
    let Ok(client) = builder.pool_max_idle_per_host(0).build() else {
        return;
    };
    loop {
        tokio::time::sleep(Duration::from_secs(5)).await;
        let mut jobs = history.accepted();
        while jobs.len() > ASKED {
            jobs.swap_remove(rand::random_range(0..jobs.len()));
        }
        for job in jobs {
            let (history, client) = (history.clone(), client.clone());
            actix_web::rt::spawn(async move {
                let request = client.get(format!("http://{front}/work/{job}"));
                let asked = request.timeout(Duration::from_secs(2)).send().await;
                let answered = asked.is_ok_and(|r| r.status() == 200);
                history.add(Event::Asked { job, answered });
            });
        }
    }
}

/// Loopback address of this testbed alone, where the system has more than one: testbeds that
/// run beside each other must not be given the port of a controller that was just killed.
/// (Two tests shared a port, and controllers of one wrote to the state service of the other.)
fn own_address() -> Ipv4Addr {
    static TESTBEDS: AtomicU8 = AtomicU8::new(1);
    let testbed = TESTBEDS.fetch_add(1, Ordering::Relaxed);
    let [_, _, high, low] = std::process::id().to_be_bytes();
    let own = Ipv4Addr::new(127, high | 1, low, testbed.max(1));
    match TcpListener::bind((own, 0)) {
        Ok(_) => own,
        Err(_) => Ipv4Addr::LOCALHOST,
    }
}

/// A listener on any port of the address.
fn listen_on(address: Ipv4Addr) -> std::io::Result<TcpListener> {
    let listener = TcpListener::bind((address, 0))?;
    listener.set_nonblocking(true)?;
    Ok(listener)
}

/// Starts a server on this thread's runtime, stopped with it.
macro_rules! serve {
    ($data:expr, $routes:path, $listeners:expr) => {{
        let data = web::Data::new($data);
        let mut server =
            HttpServer::new(move || App::new().app_data(data.clone()).configure($routes))
                .workers(1)
                .disable_signals()
                .on_connect(|connection, data| {
                    let stream = connection.downcast_ref::<actix_web::rt::net::TcpStream>();
                    if let Some(addr) = stream.and_then(|s| s.local_addr().ok()) {
                        data.insert(CameTo(addr));
                    }
                });
        for listener in $listeners {
            server = server.listen(listener)?;
        }
        actix_web::rt::spawn(server.run());
    }};
}

impl Testbed {
    /// Brings everything up; files go into `dir`. Runs in an actix runtime.
    pub async fn up(site: Site, program: &Path, dir: &Path) -> std::io::Result<Testbed> {
        let site = Arc::new(site);
        let history = History::default();
        for team in &site.teams {
            history.add(Event::Rules {
                team: team.name.clone(),
                cpus_max: team.cpus_max,
                cancel_s: site.workers.cancel_s,
            });
        }
        let state = StateService::new(site.state.rps, site.state.write_rps);
        let address = own_address();
        let free = || listen_on(address);
        let (rental, mut places) = (free()?, Vec::new());
        // The controllers' own ports, held until all others are taken.
        let mut reserved = Vec::new();
        for n in 0..site.controllers {
            let listener = free()?;
            let mut reserve = || {
                let held = free()?;
                let port = held.local_addr();
                reserved.push(held);
                port
            };
            let (front, mesh, admin) = (reserve()?, reserve()?, reserve()?);
            places.push(Place {
                name: format!("berth-{n}"),
                zone: site.zones[n % site.zones.len()].clone(),
                front,
                mesh,
                links: Vec::new(),
                admin,
                state: listener.local_addr()?,
            });
            serve!(state.face(n), state::routes, [listener]);
        }
        let links = Links::new(site.controllers);
        for from in 0..places.len() {
            for to in 0..places.len() {
                let listener = free()?;
                places[from].links.push(listener.local_addr()?);
                let listener = tokio::net::TcpListener::from_std(listener)?;
                links.carry(listener, (from, to), places[to].mesh);
            }
        }
        let kinds = 2 * site.types.len() * site.zones.len();
        let listeners = (0..kinds * site.capacity as usize).map(|_| free());
        let listeners = listeners.collect::<std::io::Result<Vec<_>>>()?;
        let addrs = listeners
            .iter()
            .map(|l| l.local_addr())
            .collect::<Result<_, _>>()?;
        let fronts = places
            .iter()
            .map(|p| (p.name.clone(), format!("http://{}", p.front)));
        let machines = Machines::new(site.clone(), history.clone(), fronts.collect(), addrs);
        let cloud_addr = rental.local_addr()?;
        serve!(machines.clone(), cloud::cloud_routes, [rental]);
        serve!(machines.clone(), cloud::worker_routes, listeners);
        let control = free()?;
        let control_addr = control.local_addr()?;
        serve!(machines.clone(), cloud::control_routes, [control]);
        let balancer = tokio::net::TcpListener::from_std(free()?)?;
        drop(reserved);
        let mut controllers = Vec::new();
        for n in 0..places.len() {
            let mut controller = Controller::new(program, dir, &site, &places, n, cloud_addr)?;
            controller.start()?;
            controllers.push(controller);
        }
        let trouble = Trouble::default();
        let front = balancer.local_addr()?;
        let fronts: Vec<SocketAddr> = places.iter().map(|p| p.front).collect();
        balancer::run(balancer, fronts.clone(), trouble.clone());
        actix_web::rt::spawn(ask_on(history.clone(), front));
        let close_looks = CloseLooks::default();
        let looking = close_looks.clone();
        actix_web::rt::spawn(looking.run(history.clone(), fronts.clone()));
        let testbed = Testbed {
            site,
            history,
            machines,
            state,
            trouble,
            links,
            close_looks,
            control: control_addr,
            front,
            fronts,
            admins: places.iter().map(|p| p.admin).collect(),
            controllers: Arc::new(Mutex::new(controllers)),
        };
        Ok(testbed)
    }

    /// Controllers that are not running though nobody killed them, and what they
    /// said last. Call it with no fault under way.
    pub async fn ended(&self) -> Vec<String> {
        let mut controllers = self.controllers.lock().await;
        let ended = controllers
            .iter_mut()
            .filter_map(|c| (!c.runs()).then(|| c.last_words()));
        ended.collect()
    }

    /// Makes a fault now, and undoes it in its time.
    pub async fn strike(&self, fault: &Fault) {
        let (s, count) = (fault.amount, self.fronts.len());
        let n = rand::random_range(0..count);
        let mut what = format!("{} {s}", fault.what);
        match fault.what.as_str() {
            "kill" => self.restart(n, n + 1, self.site.restart_s).await,
            "kill-all" => self.restart(0, count, self.site.restart_s).await,
            "blink" => self.restart(n, n + 1, 0.1).await,
            "island" => {
                self.state.refuse(n, s);
                self.links.cut(n, s);
            }
            "deaf" => what += &format!(" {:?}", self.machines.deafen(s)),
            "lost-answers" => self.state.lose_answers(s),
            "close-looks" => self.close_looks.until(self.history.now() + s),
            "late-commands" => self.machines.repeat_commands(s),
            "late-reports" => self.machines.copy_reports(s),
            "pause" => {
                let testbed = self.clone();
                self.controllers.lock().await[n].pause(true).await;
                actix_web::rt::spawn(async move {
                    tokio::time::sleep(Duration::from_secs_f64(s)).await;
                    testbed.controllers.lock().await[n].pause(false).await;
                });
            }
            "refuse" => self.state.refuse(n, s),
            "refuse-owner" => {
                let owner = self.state.text(SHARE, "owner").unwrap_or_default();
                let owner = owner.strip_prefix("berth-").and_then(|n| n.parse().ok());
                self.state.refuse(owner.unwrap_or(n), s);
            }
            "state" => self.state.away(s),
            "cloud" => self.machines.away(s),
            "die" => what += &format!(" {:?}", self.machines.strike(None)),
            "hang" => what += &format!(" {:?}", self.machines.strike(Some(s))),
            "cut" => self.trouble.set(s as u64, 0),
            "reset" => self.trouble.reset_at(s as usize),
            _ => self.trouble.set(0, s as u64),
        }
        tracing::info!(%what, controller = n, "fault");
        self.history.add(Event::Fault { what });
    }

    async fn restart(&self, from: usize, to: usize, after_s: f64) {
        let mut controllers = self.controllers.lock().await;
        for controller in &mut controllers[from..to] {
            controller.kill().await;
        }
        drop(controllers);
        let testbed = self.clone();
        actix_web::rt::spawn(async move {
            tokio::time::sleep(Duration::from_secs_f64(after_s)).await;
            for controller in &mut testbed.controllers.lock().await[from..to] {
                if !controller.runs() {
                    let _ = controller.start();
                }
            }
        });
    }

    /// Makes these faults at their times until `until_s`.
    pub fn schedule(&self, faults: &[Fault], until_s: f64) {
        for fault in faults.iter().cloned() {
            let testbed = self.clone();
            actix_web::rt::spawn(async move {
                let mut at = fault.at_s;
                while at < until_s {
                    let wait = (at - testbed.history.now()).max(0.0);
                    tokio::time::sleep(Duration::from_secs_f64(wait)).await;
                    testbed.strike(&fault).await;
                    match fault.every_s {
                        Some(every) => at += every,
                        None => return,
                    }
                }
            });
        }
    }

    /// Ends all controllers.
    pub async fn down(&self) {
        for controller in self.controllers.lock().await.iter_mut() {
            controller.pause(false).await;
            controller.kill().await;
        }
    }
}

/// The controller's program: beside ours, as cargo puts it.
pub fn program_beside_us() -> Option<PathBuf> {
    let ours = std::env::current_exe().ok()?;
    let path = ours.parent()?.join("foxspur");
    path.exists().then_some(path)
}
