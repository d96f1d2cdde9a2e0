//! The cloud's interface: machine types, launching (renting) and listing machines.

use serde::{Deserialize, Serialize};

/// A machine type.
#[derive(Serialize, Deserialize, Clone, Debug, PartialEq)]
pub struct MachineType {
    /// Its name.
    pub name: String,
    /// CPUs per machine.
    pub cpus: f64,
    /// GPUs per machine.
    #[serde(rename = "cards", default)]
    pub gpus: f64,
    /// Memory per machine, in gigabytes.
    pub memory_gb: f64,
    /// Local disk space for the image cache, in gigabytes.
    #[serde(rename = "local_gb", default)]
    pub cache_gb: f64,
    /// Rate at which a machine fetches images, in gigabytes per second.
    #[serde(default)]
    pub fetch_gb_per_s: f64,
    /// Price of an on-demand machine. All prices have the same unit.
    #[serde(rename = "rate", default)]
    pub price: f64,
    /// Price of a spot machine.
    #[serde(rename = "low_price", default)]
    pub spot_price: f64,
    /// Seconds from launch until the worker runs.
    #[serde(default)]
    pub boot_s: f64,
    /// Zones that offer this type.
    #[serde(rename = "sites")]
    pub zones: Vec<String>,
}

/// The list of machine types. Controllers also store it in the state service, so that a controller
/// that restarts during a cloud outage can still check jobs against it.
#[derive(Serialize, Deserialize, Clone, Debug, PartialEq)]
pub struct TypeList {
    /// All types.
    #[serde(rename = "flavors")]
    pub types: Vec<MachineType>,
}

/// A request to launch machines.
#[derive(Serialize, Deserialize, Clone, Debug)]
pub struct LaunchRequest {
    /// An idempotency key: a request repeated with the same key launches nothing more.
    #[serde(rename = "booking")]
    pub request: String,
    /// Name of the machine type.
    #[serde(rename = "flavor")]
    pub kind: String,
    /// The zone.
    #[serde(rename = "site")]
    pub zone: String,
    /// Whether spot machines are wanted.
    #[serde(rename = "standby")]
    pub spot: bool,
    /// How many machines.
    #[serde(rename = "how_many")]
    pub count: u32,
}

/// Names of machines: those that a launch created, or those to terminate.
#[derive(Serialize, Deserialize, Clone, Debug)]
pub struct MachineNames {
    /// The machines' names.
    #[serde(rename = "hosts")]
    pub machines: Vec<String>,
}

/// State of a machine in the cloud's list.
#[derive(Serialize, Deserialize, Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListedState {
    /// It is booting; its worker does not run yet.
    #[serde(rename = "starting")]
    Booting,
    /// Its worker runs.
    #[serde(rename = "running")]
    Running,
    /// The machine has failed.
    #[serde(rename = "failed")]
    Failed,
}

/// A machine in the cloud's list.
#[derive(Serialize, Deserialize, Clone, Debug)]
pub struct ListedMachine {
    /// The machine's name.
    #[serde(rename = "name_id")]
    pub id: String,
    /// Name of its type.
    #[serde(rename = "flavor")]
    pub kind: String,
    /// Its zone.
    #[serde(rename = "site")]
    pub zone: String,
    /// Whether it is a spot machine.
    #[serde(rename = "standby")]
    pub spot: bool,
    /// Its state.
    #[serde(rename = "status")]
    pub state: ListedState,
    /// Seconds since its launch.
    #[serde(rename = "held_s", default)]
    pub age_s: f64,
}

/// A page of the cloud's list of machines.
#[derive(Serialize, Deserialize, Clone, Debug)]
pub struct ListPage {
    /// Machines, sorted by name.
    #[serde(rename = "hosts")]
    pub machines: Vec<ListedMachine>,
    /// Whether more machines follow.
    #[serde(default)]
    pub more: bool,
}
