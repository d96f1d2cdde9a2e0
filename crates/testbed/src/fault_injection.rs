//! Injection of faults into the running test cluster, at once or by a schedule.

use crate::fault::{Fault, FaultKind};
use crate::history::Event;
use crate::machines::MachineFault;
use crate::testbed::{controller_index, Testbed};
use std::ops::Range;
use std::time::Duration;

/// The key of the first shard's leader.
const LEADER_KEY: &str = "fx/a/share/0";
/// The field of that key's value that names the leader.
const LEADER_FIELD: &str = "owner";
/// Seconds between the kill and the start of a quick restart.
const QUICK_RESTART_S: f64 = 0.1;

impl Testbed {
    /// Injects a fault now and records it in the history. The fault ends after its duration.
    pub async fn inject(&self, fault: &Fault) {
        let controller = rand::random_range(0..self.controller_count());
        let mut what = fault.to_string();
        match self.machine_fault(fault) {
            Some(machine_fault) => {
                let machine = self.machines.inject(machine_fault);
                what += &format!(" {machine:?}");
            }
            None => self.inject_cluster_fault(fault, controller).await,
        }
        tracing::info!(%what, controller, "fault");
        self.history.add(Event::Fault { what });
    }

    /// Injects faults at their times, until `until_s` seconds after the history began.
    pub fn schedule(&self, faults: &[Fault], until_s: f64) {
        for fault in faults {
            let (testbed, fault) = (self.clone(), fault.clone());
            actix_web::rt::spawn(async move { testbed.repeat(&fault, until_s).await });
        }
    }

    async fn repeat(&self, fault: &Fault, until_s: f64) {
        let mut at_s = fault.at_s;
        while at_s < until_s {
            let wait_s = (at_s - self.history.now()).max(0.0);
            tokio::time::sleep(Duration::from_secs_f64(wait_s)).await;
            self.inject(fault).await;
            let Some(every_s) = fault.every_s else {
                return;
            };
            at_s += every_s;
        }
    }

    fn machine_fault(&self, fault: &Fault) -> Option<MachineFault> {
        match fault.kind {
            FaultKind::MachineDeath => Some(MachineFault::Die),
            FaultKind::MachineHang => Some(MachineFault::Hang(fault.amount)),
            FaultKind::MachineInboundLoss => Some(MachineFault::LoseInbound(fault.amount)),
            _ => None,
        }
    }

    /// Injects a fault into controllers, services or connections. `target` is the index of the
    /// controller for faults that affect one controller.
    async fn inject_cluster_fault(&self, fault: &Fault, target: usize) {
        let amount = fault.amount;
        let restart_s = self.site.restart_s;
        match fault.kind {
            FaultKind::Kill => self.restart(target..target + 1, restart_s).await,
            FaultKind::KillAll => self.restart(0..self.controller_count(), restart_s).await,
            FaultKind::QuickRestart => self.restart(target..target + 1, QUICK_RESTART_S).await,
            FaultKind::Pause => self.pause(target, amount).await,
            FaultKind::Isolate => {
                self.state.refuse(target, amount);
                self.links.cut(target, amount);
            }
            FaultKind::Refuse => self.state.refuse(target, amount),
            FaultKind::RefuseLeader => self.state.refuse(self.leader().unwrap_or(target), amount),
            FaultKind::StateOutage => self.state.make_unavailable(amount),
            FaultKind::LostAnswers => self.state.lose_answers(amount),
            FaultKind::CloudOutage => self.machines.make_cloud_unavailable(amount),
            FaultKind::DuplicateHeartbeats => self.machines.duplicate_heartbeats(amount),
            FaultKind::DuplicateDirectCalls => self.machines.duplicate_direct_calls(amount),
            FaultKind::ConsistencyProbe => {
                let until_s = self.history.now() + amount;
                self.consistency_probe.enable_until(until_s);
            }
            FaultKind::CutAnswers => self.connection_faults.set(amount as u64, 0),
            FaultKind::DelayAnswers => self.connection_faults.set(0, amount as u64),
            FaultKind::ResetAnswer => self.connection_faults.reset_after(amount as usize),
            // Handled in `machine_fault`.
            FaultKind::MachineDeath | FaultKind::MachineHang | FaultKind::MachineInboundLoss => {}
        }
    }

    /// The index of the controller that leads the first shard according to the state service.
    fn leader(&self) -> Option<usize> {
        let name = self.state.string_field(LEADER_KEY, LEADER_FIELD)?;
        controller_index(&name)
    }

    async fn pause(&self, controller: usize, duration_s: f64) {
        self.controllers.lock().await[controller].pause().await;
        let testbed = self.clone();
        actix_web::rt::spawn(async move {
            tokio::time::sleep(Duration::from_secs_f64(duration_s)).await;
            testbed.controllers.lock().await[controller].resume().await;
        });
    }

    async fn restart(&self, indices: Range<usize>, delay_s: f64) {
        let mut controllers = self.controllers.lock().await;
        for controller in &mut controllers[indices.clone()] {
            controller.kill().await;
        }
        drop(controllers);
        let testbed = self.clone();
        actix_web::rt::spawn(async move {
            tokio::time::sleep(Duration::from_secs_f64(delay_s)).await;
            for controller in &mut testbed.controllers.lock().await[indices] {
                if !controller.is_running() {
                    let _ = controller.start();
                }
            }
        });
    }
}
