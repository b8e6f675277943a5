//! Billing records that are not yet confirmed by the log.

mod bill_outbox;

pub(crate) use bill_outbox::{BillOutbox, HeldBill};
