//! Fault injection into machines, their messages and the HTTP interface of the cloud.

use super::machine::Machine;
use super::Machines;
use foxspur_wire::worker::DirectCommands;
use rand::Rng;
use std::net::SocketAddr;
use std::time::Duration;

/// The proportion of messages that are duplicated while duplicates are injected.
const DUPLICATED_SHARE: f64 = 0.25;

/// A fault of one machine.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum MachineFault {
    /// The machine dies for good.
    Die,
    /// The machine hangs for this many seconds.
    Hang(f64),
    /// For this many seconds the machine receives nothing, while its heartbeats still arrive.
    LoseInbound(f64),
}

impl Machines {
    /// Injects a fault into a random machine that is up. Returns its name, or none if no machine
    /// is up.
    pub fn inject(&self, fault: MachineFault) -> Option<String> {
        let now = self.history.now();
        let mut pool = self.lock();
        let up = pool.machines.values_mut().filter(|m| m.is_up(now));
        let mut up: Vec<&mut Machine> = up.collect();
        let index = (!up.is_empty()).then(|| rand::rng().random_range(0..up.len()))?;
        let machine = &mut up[index];
        match fault {
            MachineFault::Die => {
                machine.dead = true;
                machine.drop_tasks(&self.history);
            }
            MachineFault::Hang(duration_s) => machine.hung_until = now + duration_s,
            MachineFault::LoseInbound(duration_s) => machine.inbound_lost_until = now + duration_s,
        }
        Some(machine.name.clone())
    }

    /// Makes the interface of the cloud answer every request with an error for a time.
    pub fn make_cloud_unavailable(&self, duration_s: f64) {
        self.lock().cloud_unavailable_until = self.history.now() + duration_s;
    }

    pub(crate) fn cloud_is_unavailable(&self) -> bool {
        self.history.now() < self.lock().cloud_unavailable_until
    }

    /// Sends delayed copies of some heartbeats for a time.
    pub fn duplicate_heartbeats(&self, duration_s: f64) {
        self.lock().duplicate_heartbeats_until = self.history.now() + duration_s;
    }

    /// Executes delayed copies of some direct calls for a time.
    pub fn duplicate_direct_calls(&self, duration_s: f64) {
        self.lock().duplicate_calls_until = self.history.now() + duration_s;
    }

    /// Decides at random whether a message is duplicated while duplicates are injected.
    pub(super) fn draw_duplicate() -> bool {
        rand::random_bool(DUPLICATED_SHARE)
    }

    /// The delay of a copy: from one second to three lease times.
    fn duplicate_delay(&self) -> Duration {
        let latest_s = 3.0 * self.site.workers.lease_s;
        Duration::from_secs_f64(rand::rng().random_range(1.0..latest_s))
    }

    /// Sends a delayed copy of a heartbeat to a random controller. The answer is ignored.
    pub(super) fn send_late_copy(&self, heartbeat: &str) {
        let delay = self.duplicate_delay();
        let controller = rand::rng().random_range(0..self.controllers.len());
        let request = self.heartbeat_request(controller, heartbeat.to_string());
        actix_web::rt::spawn(async move {
            actix_web::rt::time::sleep(delay).await;
            let _ = request.send().await;
        });
    }

    /// While duplicates are injected, decides at random whether a delayed copy of this direct call
    /// is delivered. The worker may execute or reject the copy; the result is ignored.
    pub(crate) fn maybe_duplicate_call(&self, addr: SocketAddr, direct: &DirectCommands) {
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
