//! What the store says, passed on from one gateway to another.
//!
//! Whoever reads the store tells the others how far. One that knows less asks it for the operator's newest
//! records, and gets what differs from those that it has: some hundred bytes for a change in a configuration of
//! a megabyte. So a slow link, or a store that turns a host away, no longer decides how old its configuration is.
//! The list of backend servers is fetched whole, by a gateway that cannot read it or has missed more than a message
//! tells. The store stays the source: a gateway that hears nothing, or gets no answer, reads it.

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
