//! The configuration in force in this process, and how it stays up to date.

mod feed;
mod store;
#[cfg(test)]
mod tests;

pub(crate) use feed::{feed, read_all, write_snapshots};
pub(crate) use store::{Catchup, ConfigStore};
