//! Small test doubles of the platform's services, for tests and trials.
//!
//! Each listens on loopback and behaves as docs/PLATFORM.md describes the platform. `POST /control` injects faults, and
//! `GET /history` returns the events so far, with timestamps of the system clock.

mod engine;
pub mod fleet;
mod history;
mod host_list;
mod log_service;
pub mod platform;
mod rating;
mod serve;
mod service;
mod tcp_proxy;
mod udp_proxy;
mod weight_store;

pub use engine::{Engine, EngineFaults, EngineSettings, answer_text};
pub use history::{Event, History, now_ms};
pub use host_list::{HostEntry, HostList};
pub use log_service::{LogFaults, LogService};
pub use rating::Rating;
pub use service::Service;
pub use tcp_proxy::{LinkFault, TcpProxy};
pub use udp_proxy::UdpProxy;
pub use weight_store::WeightStore;
