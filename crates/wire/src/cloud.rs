//! The cloud's interface.

use serde::{Deserialize, Serialize};

/// A machine type.
#[derive(Serialize, Deserialize, Clone, Debug, PartialEq)]
pub struct MachineType {
    pub name: String,
    pub cpus: f64,
    #[serde(rename = "cards", default)]
    pub gpus: f64,
    pub memory_gb: f64,
    #[serde(rename = "local_gb", default)]
    pub cache_gb: f64,
    #[serde(default)]
    pub fetch_gb_per_s: f64,
    #[serde(rename = "rate", default)]
    pub price: f64,
    #[serde(rename = "low_price", default)]
    pub spot_price: f64,
    #[serde(default)]
    pub boot_s: f64,
    #[serde(rename = "sites")]
    pub zones: Vec<String>,
}

/// The list of machine types; also kept in the state service, so that a
/// controller restarted in a cloud outage can still judge jobs.
#[derive(Serialize, Deserialize, Clone, Debug, PartialEq)]
pub struct TypeList {
    #[serde(rename = "flavors")]
    pub types: Vec<MachineType>,
}

/// A rental request; `request` is never used again.
#[derive(Serialize, Deserialize, Clone, Debug)]
pub struct Rental {
    #[serde(rename = "booking")]
    pub request: String,
    #[serde(rename = "flavor")]
    pub kind: String,
    #[serde(rename = "site")]
    pub zone: String,
    #[serde(rename = "standby")]
    pub spot: bool,
    #[serde(rename = "how_many")]
    pub count: u32,
}

/// Machines by name: what a rental gave, or what is to be returned.
#[derive(Serialize, Deserialize, Clone, Debug)]
pub struct Names {
    #[serde(rename = "hosts")]
    pub machines: Vec<String>,
}

/// State of a machine in the list.
#[derive(Serialize, Deserialize, Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListedState {
    #[serde(rename = "starting")]
    Booting,
    #[serde(rename = "running")]
    Running,
    #[serde(rename = "failed")]
    Failed,
}

/// A machine in the list.
#[derive(Serialize, Deserialize, Clone, Debug)]
pub struct Listed {
    #[serde(rename = "name_id")]
    pub id: String,
    #[serde(rename = "flavor")]
    pub kind: String,
    #[serde(rename = "site")]
    pub zone: String,
    #[serde(rename = "standby")]
    pub spot: bool,
    #[serde(rename = "status")]
    pub state: ListedState,
    #[serde(rename = "held_s", default)]
    pub age_s: f64,
}

/// A page of the list.
#[derive(Serialize, Deserialize, Clone, Debug)]
pub struct Page {
    #[serde(rename = "hosts")]
    pub machines: Vec<Listed>,
    #[serde(default)]
    pub more: bool,
}
