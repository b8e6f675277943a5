//! The configuration in force in this process, kept up to date from the log and from peers.

mod store;
mod stream_reader;
#[cfg(test)]
mod tests;

pub(crate) use store::{Catchup, ConfigStore};
pub(crate) use stream_reader::{follow_stream, read_all, write_snapshots};
