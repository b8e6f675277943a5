//! The configuration: its objects, the records that change them, and the fold of those records
//! into a state.

mod change;
mod fold;
mod matches;
mod object;
mod validate;

pub use change::{Change, ConfigRecord, StreamsOnWithdrawal, Withdrawal};
pub use fold::{
    AuditEntry, Config, ConfigFold, FOLD_RULES_VERSION, SeenIds, Snapshot, StoredObject, Verdict,
};
pub use matches::SelectorMatch;
pub use object::{
    CascadeSpec, CustomerSpec, GrantSpec, HostSelector, ModelSpec, Object, ObjectKey,
    PlacementSpec, RolloutSpec, ServiceSpec, SessionSpec, Spec, VersionSpec,
};
