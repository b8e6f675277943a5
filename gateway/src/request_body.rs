//! Bodies of callers' requests.

use http_body_util::BodyExt;
use hyper::body::{Body, Incoming};
use redwingfold_core::{CallLimits, ErrorKind, Eviction, MemoryFull, MemoryPhase};

use crate::clock::within;
use crate::request_memory::HeldMemory;
use crate::response::{RequestError, random_retry_after};
use crate::segments::{GrowingBody, WholeBody};

/// Receives the whole body of a request, each byte of which is reserved before it is kept.
///
/// The bytes are copied, as each piece that the HTTP library returns keeps the buffer that it was read into: a chunk of one
/// byte would take up as much as a buffer of several kilobytes.
pub(crate) async fn receive_body(
    body: &mut Incoming,
    limits: &CallLimits,
    memory: &HeldMemory,
) -> Result<WholeBody, RequestError> {
    let announced = body.size_hint().exact().map(|len| len as usize);
    if announced.is_some_and(|len| len > limits.body_bytes) {
        return Err(too_large(limits));
    }
    let received = async {
        let needed = announced.unwrap_or(0);
        memory.check_room(needed).map_err(|full| refuse(memory, needed, full))?;
        let slow = || RequestError::new(ErrorKind::SlowSender, "the body took too long");
        let collected = collect(body, announced, limits, memory);
        within(limits.idle_timeout, collected).await.unwrap_or_else(|| Err(slow()))
    };
    let evicted = async { Err(eviction_error(memory.wait_evicted().await)) };
    let body = smol::future::or(evicted, received).await?;
    memory.set_phase(MemoryPhase::Working);
    Ok(body)
}

async fn collect(
    body: &mut Incoming,
    announced: Option<usize>,
    limits: &CallLimits,
    memory: &HeldMemory,
) -> Result<WholeBody, RequestError> {
    let mut received = GrowingBody::new(announced);
    while let Some(frame) = body.frame().await {
        let broken = |e| RequestError::new(ErrorKind::BadRequest, format!("body: {e}"));
        // Trailers are not forwarded.
        let Ok(mut data) = frame.map_err(broken)?.into_data() else { continue };
        if received.len() + data.len() > limits.body_bytes {
            return Err(too_large(limits));
        }
        memory.record_progress(data.len());
        let reserve = |bytes| memory.resize(bytes).map_err(|full| refuse(memory, bytes, full));
        received.push(&mut data, reserve)?;
    }
    Ok(received.finish())
}

/// Discards what has already arrived of the body of a refused request. Returns whether that is all of it, so that the
/// connection can be used for another request.
pub(crate) async fn discard_received(body: &mut Incoming) -> bool {
    loop {
        match smol::future::poll_once(body.frame()).await {
            None => return body.is_end_stream(),
            Some(None) => return true,
            Some(Some(Err(_))) => return false,
            Some(Some(Ok(_))) => {}
        }
    }
}

/// Returns the error of a request for which there is no memory.
pub(crate) fn full_error(_: MemoryFull) -> RequestError {
    let why = "requests take up the memory for them";
    let failed = RequestError::new(ErrorKind::TooManyOpen, why);
    RequestError { retry_after: Some(random_retry_after()), ..failed }
}

fn refuse(memory: &HeldMemory, bytes: usize, full: MemoryFull) -> RequestError {
    memory.record_refusal(bytes);
    full_error(full)
}

fn eviction_error(why: Eviction) -> RequestError {
    let kind = match why {
        Eviction::HeavyCustomer => ErrorKind::TooManyOpen,
        Eviction::SlowBody | Eviction::UnreadResponse => ErrorKind::SlowSender,
    };
    let failed = RequestError::new(kind, format!("others need its memory: {why}"));
    RequestError { retry_after: Some(random_retry_after()), ..failed }
}

fn too_large(limits: &CallLimits) -> RequestError {
    let why = format!("at most {} bytes", limits.body_bytes);
    RequestError::new(ErrorKind::BodyTooLarge, why)
}
