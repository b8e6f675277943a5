//! Exchange of the store's feeds between gateways.
//!
//! A gateway that reads the store announces its position to the others. One that is behind requests the operator's
//! newest records from it, and gets a delta to the records that it has: some hundred bytes for a change in a
//! configuration of a megabyte. So a host with a slow link, or one that the store refuses to serve, still gets a fresh
//! configuration. The list of backend servers is fetched whole, by a gateway that can't read the store or has missed
//! more changes than a message carries. The store remains the source of truth: a gateway that receives no messages or
//! replies reads it.

mod age;
mod delta;
mod fetch;
mod page;
mod progress;
mod servers;
mod snapshot;

pub use age::watch_orders_age;
pub use fetch::{FetchedOrders, fetch_newer_orders, fetch_newer_servers};
pub use page::feed_pages;
pub(crate) use snapshot::OrderSnapshots;
pub use snapshot::Record;

pub(crate) use servers::EncodedServerList as EncodedServers;

#[cfg(test)]
mod tests;
