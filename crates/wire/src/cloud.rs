//! The cloud's interface: machine types, launching (renting) and listing machines.

use serde::{Deserialize, Serialize};

/// A machine type.
#[derive(Serialize, Deserialize, Clone, Debug, PartialEq)]
pub struct MachineType {
    /// Its name.
    pub name: String,
    /// CPUs.
    pub cpus: f64,
    /// GPUs.
    #[serde(rename = "cards", default)]
    pub gpus: f64,
    /// Memory in gigabytes.
    pub memory_gb: f64,
    /// Local disk for images, in gigabytes.
    #[serde(rename = "local_gb", default)]
    pub cache_gb: f64,
    /// How fast images are fetched, in gigabytes a second.
    #[serde(default)]
    pub fetch_gb_per_s: f64,
    /// Price of a machine on demand; all prices are in one unit.
    #[serde(rename = "rate", default)]
    pub price: f64,
    /// Price of a spot machine.
    #[serde(rename = "low_price", default)]
    pub spot_price: f64,
    /// Seconds from the launch until the worker runs.
    #[serde(default)]
    pub boot_s: f64,
    /// Zones in which there are such machines.
    #[serde(rename = "sites")]
    pub zones: Vec<String>,
}

/// The list of machine types; also kept in the state service, so that a
/// controller restarted in a cloud outage can still judge jobs.
#[derive(Serialize, Deserialize, Clone, Debug, PartialEq)]
pub struct TypeList {
    /// All types.
    #[serde(rename = "flavors")]
    pub types: Vec<MachineType>,
}

/// A request to launch machines.
#[derive(Serialize, Deserialize, Clone, Debug)]
pub struct Rental {
    /// A fresh name for the request: repeated with the same name it is one.
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

/// Machines by name: what a launch gave, or what is to be terminated.
#[derive(Serialize, Deserialize, Clone, Debug)]
pub struct Names {
    /// The machines' names.
    #[serde(rename = "hosts")]
    pub machines: Vec<String>,
}

/// State of a machine in the list.
#[derive(Serialize, Deserialize, Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListedState {
    /// Its worker does not run yet.
    #[serde(rename = "starting")]
    Booting,
    /// It runs.
    #[serde(rename = "running")]
    Running,
    /// It is dead.
    #[serde(rename = "failed")]
    Failed,
}

/// A machine in the list.
#[derive(Serialize, Deserialize, Clone, Debug)]
pub struct Listed {
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
    /// How it is.
    #[serde(rename = "status")]
    pub state: ListedState,
    /// Seconds since its launch.
    #[serde(rename = "held_s", default)]
    pub age_s: f64,
}

/// A page of the list.
#[derive(Serialize, Deserialize, Clone, Debug)]
pub struct Page {
    /// Machines in the order of their names.
    #[serde(rename = "hosts")]
    pub machines: Vec<Listed>,
    /// Whether there are more after these.
    #[serde(default)]
    pub more: bool,
}
