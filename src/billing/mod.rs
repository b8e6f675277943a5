//! Billing records on their way to the log.

mod shipper;

pub(crate) use shipper::{BillBox, Held};
