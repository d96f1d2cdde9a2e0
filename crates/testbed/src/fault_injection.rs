//! Fault injection: carries out faults against the running test cluster, and their schedule.

use crate::fault::{Fault, FaultKind};
use crate::history::Event;
use crate::machines::MachineFault;
use crate::testbed::{controller_index, Testbed};
use std::ops::Range;
use std::time::Duration;

/// The key of the first shard's leader.
const LEADER_KEY: &str = "fx/a/share/0";
/// The field of its value that names the leader.
const LEADER_FIELD: &str = "owner";
/// After how many seconds a quick restart is over.
const QUICK_RESTART_S: f64 = 0.1;

impl Testbed {
    /// Injects a fault now, and ends it in its time. The history records it.
    pub async fn inject(&self, fault: &Fault) {
        let controller = rand::random_range(0..self.controller_count());
        let mut what = fault.to_string();
        match self.machine_fault(fault) {
            Some(machine_fault) => {
                let machine = self.machines.inject(machine_fault);
                what += &format!(" {machine:?}");
            }
            None => self.inject_elsewhere(fault, controller).await,
        }
        tracing::info!(%what, controller, "fault");
        self.history.add(Event::Fault { what });
    }

    /// Injects these faults at their times, until `until_s` seconds from the start.
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
            FaultKind::MachineDeaf => Some(MachineFault::Deaf(fault.amount)),
            _ => None,
        }
    }

    /// Injects a fault into controllers, services or connections. `one` is the controller
    /// that faults of one controller hit.
    async fn inject_elsewhere(&self, fault: &Fault, one: usize) {
        let s = fault.amount;
        let restart_s = self.site.restart_s;
        match fault.kind {
            FaultKind::Kill => self.restart(one..one + 1, restart_s).await,
            FaultKind::KillAll => self.restart(0..self.controller_count(), restart_s).await,
            FaultKind::QuickRestart => self.restart(one..one + 1, QUICK_RESTART_S).await,
            FaultKind::Pause => self.pause(one, s).await,
            FaultKind::Isolate => {
                self.state.refuse(one, s);
                self.links.cut(one, s);
            }
            FaultKind::Refuse => self.state.refuse(one, s),
            FaultKind::RefuseLeader => self.state.refuse(self.leader().unwrap_or(one), s),
            FaultKind::StateOutage => self.state.make_unavailable(s),
            FaultKind::LostAnswers => self.state.lose_answers(s),
            FaultKind::CloudOutage => self.machines.make_cloud_unavailable(s),
            FaultKind::DuplicateHeartbeats => self.machines.duplicate_heartbeats(s),
            FaultKind::DuplicateDirectCalls => self.machines.duplicate_direct_calls(s),
            FaultKind::ConsistencyProbe => {
                let until_s = self.history.now() + s;
                self.consistency_probe.run_until(until_s);
            }
            FaultKind::CutAnswers => self.connection_faults.set(s as u64, 0),
            FaultKind::DelayAnswers => self.connection_faults.set(0, s as u64),
            FaultKind::ResetAnswer => self.connection_faults.reset_after(s as usize),
            // Injected into machines.
            FaultKind::MachineDeath | FaultKind::MachineHang | FaultKind::MachineDeaf => {}
        }
    }

    /// The index of the controller that leads the first shard, as the state service has it.
    fn leader(&self) -> Option<usize> {
        let name = self.state.text(LEADER_KEY, LEADER_FIELD)?;
        controller_index(&name)
    }

    async fn pause(&self, controller: usize, s: f64) {
        self.controllers.lock().await[controller].pause().await;
        let testbed = self.clone();
        actix_web::rt::spawn(async move {
            tokio::time::sleep(Duration::from_secs_f64(s)).await;
            testbed.controllers.lock().await[controller].resume().await;
        });
    }

    async fn restart(&self, range: Range<usize>, after_s: f64) {
        let mut controllers = self.controllers.lock().await;
        for controller in &mut controllers[range.clone()] {
            controller.kill().await;
        }
        drop(controllers);
        let testbed = self.clone();
        actix_web::rt::spawn(async move {
            tokio::time::sleep(Duration::from_secs_f64(after_s)).await;
            for controller in &mut testbed.controllers.lock().await[range] {
                if !controller.is_running() {
                    let _ = controller.start();
                }
            }
        });
    }
}
