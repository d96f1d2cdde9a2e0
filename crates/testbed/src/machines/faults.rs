//! Fault injection into machines, their messages and the cloud's interface.

use super::machine::Machine;
use super::Machines;
use foxspur_wire::worker::Direct;
use rand::Rng;
use std::net::SocketAddr;
use std::time::Duration;

/// The share of messages that are duplicated while duplicates are injected.
const DUPLICATED_SHARE: f64 = 0.25;

/// What happens to a machine.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum MachineFault {
    /// It dies and stays dead.
    Die,
    /// It stands still for so many seconds.
    Hang(f64),
    /// For so many seconds its heartbeats arrive while it receives nothing.
    Deaf(f64),
}

impl Machines {
    /// Injects a fault into a machine that is up, drawn at random; its name, if there is one.
    pub fn inject(&self, fault: MachineFault) -> Option<String> {
        let now = self.history.now();
        let mut pool = self.lock();
        let up = pool.machines.values_mut().filter(|m| m.is_up(now));
        let mut up: Vec<&mut Machine> = up.collect();
        let drawn = (!up.is_empty()).then(|| rand::rng().random_range(0..up.len()))?;
        let machine = &mut up[drawn];
        match fault {
            MachineFault::Die => {
                machine.dead = true;
                machine.drop_tasks(&self.history);
            }
            MachineFault::Hang(s) => machine.hung_until = now + s,
            MachineFault::Deaf(s) => machine.deaf_until = now + s,
        }
        Some(machine.name.clone())
    }

    /// The cloud's interface answers nothing but errors for so many seconds.
    pub fn make_cloud_unavailable(&self, s: f64) {
        self.lock().cloud_away_until = self.history.now() + s;
    }

    pub(crate) fn cloud_is_unavailable(&self) -> bool {
        self.history.now() < self.lock().cloud_away_until
    }

    /// For so many seconds late copies of some heartbeats are sent.
    pub fn duplicate_heartbeats(&self, s: f64) {
        self.lock().duplicate_heartbeats_until = self.history.now() + s;
    }

    /// For so many seconds late copies of some direct calls are carried out.
    pub fn duplicate_direct_calls(&self, s: f64) {
        self.lock().duplicate_calls_until = self.history.now() + s;
    }

    /// Whether a message is duplicated, while duplicates are injected.
    pub(super) fn draw_duplicate() -> bool {
        rand::random_bool(DUPLICATED_SHARE)
    }

    /// How late a copy arrives: after a second to three leases.
    fn duplicate_delay(&self) -> Duration {
        let latest_s = 3.0 * self.site.workers.lease_s;
        Duration::from_secs_f64(rand::rng().random_range(1.0..latest_s))
    }

    /// Sends a late copy of a heartbeat to some controller; its answer is ignored.
    pub(super) fn send_late_copy(&self, heartbeat: &str) {
        let delay = self.duplicate_delay();
        let controller = rand::rng().random_range(0..self.controllers.len());
        let request = self.heartbeat_request(controller, heartbeat.to_string());
        actix_web::rt::spawn(async move {
            actix_web::rt::time::sleep(delay).await;
            let _ = request.send().await;
        });
    }

    /// A copy of a direct call may arrive late, carried out or not; its answer is ignored.
    pub(crate) fn maybe_duplicate_call(&self, addr: SocketAddr, direct: &Direct) {
        let now = self.history.now();
        if now >= self.lock().duplicate_calls_until || !Self::draw_duplicate() {
            return;
        }
        let (machines, direct, delay) = (self.clone(), direct.clone(), self.duplicate_delay());
        actix_web::rt::spawn(async move {
            actix_web::rt::time::sleep(delay).await;
            machines.direct_call(addr, &direct);
        });
    }
}
