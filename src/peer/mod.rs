//! QUIC connections between the processes of a fleet, with failure detection on a control stream.

mod connect;
mod control;
mod serve;
#[cfg(test)]
mod tests;

pub(crate) use connect::{Connected, call, connect, dial};
pub(crate) use control::{CallGuard, Link, LinkEvents, run_control};
pub(crate) use serve::{bind, serve};
