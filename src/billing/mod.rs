//! Billing records on their way to the log.

mod bill_outbox;

pub(crate) use bill_outbox::{BillOutbox, HeldBill};
