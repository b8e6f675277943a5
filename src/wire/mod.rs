//! Messages between processes, and their framing.

mod frame;
mod message;
#[cfg(test)]
mod tests;

pub(crate) use frame::{FrameReader, FrameWriter, MAX_FRAME, WireError};
pub(crate) use message::{
    Beat, Call, Closed, ConfigMark, Control, Hello, Load, LoadChange, Outcome, PROTOCOL, Reply,
    Role, RunCall, RunEnd, RunFailed, RunFrame, RunHead, RunId, Usage, new_claim_id,
};
