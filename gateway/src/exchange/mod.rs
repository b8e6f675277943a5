//! Exchange of the store's feeds between gateways.
//!
//! A gateway that reads the store announces its position to the others. One that is behind requests the operator's
//! newest records from it, and gets a delta to the records that it has: some hundred bytes for a change in a
//! configuration of a megabyte. So a host with a slow link, or one that the store refuses to serve, still gets a fresh
//! configuration. The list of backend servers is fetched whole, by a gateway that can't read the store or has missed
//! more changes than a message carries; so are the marks of the quarantine. Gateways that start together also send each
//! other the versions in service. The store remains the source of truth: a gateway that receives no messages or
//! replies reads it.

mod age;
mod delta;
mod fetch;
mod marks;
mod page;
mod progress;
mod servers;
mod snapshot;
mod versions;

pub use age::watch_orders_age;
pub(crate) use fetch::fetch_addresses;
pub use fetch::{
    FetchedOrders, fetch_newer_marks, fetch_newer_orders, fetch_newer_servers, fetch_versions,
};
pub use marks::FetchedMarks;
pub use page::feed_pages;
pub(crate) use snapshot::OrderSnapshots;
pub use snapshot::Record;

pub(crate) use servers::EncodedServerList as EncodedServers;
pub(crate) use versions::StoredVersions;
pub use versions::VersionsInService;

#[cfg(test)]
mod tests;
