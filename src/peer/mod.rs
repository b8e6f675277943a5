//! Connections between the system's processes.

mod connect;
mod control;
mod serve;
#[cfg(test)]
mod tests;

pub(crate) use connect::{Connected, call, connect, dial};
pub(crate) use control::{CallGuard, Link, LinkEvents, run_control};
pub(crate) use serve::{bind, serve};
