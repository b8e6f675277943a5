//! The configuration in force in this process, and how it stays up to date.

mod store;
mod stream_reader;
#[cfg(test)]
mod tests;

pub(crate) use store::{Catchup, ConfigStore};
pub(crate) use stream_reader::{follow_stream, read_all, write_snapshots};
