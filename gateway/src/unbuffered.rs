//! Forwards a plain response for which there is no memory to buffer it.
//!
//! It is delivered, but if it breaks off it is not asked for again, as its caller has a part of it.

use std::io;

use bytes::Bytes;

use crate::attempt::{BodyRead, UpstreamResponse};
use crate::caller_channel::{CallerSender, caller_channel, own_copy};
use crate::clock::within;
use crate::request::{CALLER_GONE, InFlightRequest};
use crate::response::{GatewayResponse, forwarded_response};

/// Starts forwarding a response in a separate task, and returns the response for the caller. `begun` was received already.
pub(crate) fn start(
    mut request: InFlightRequest,
    mut response: Box<UpstreamResponse>,
    begun: Vec<Bytes>,
) -> GatewayResponse {
    request.is_answer_begun = true;
    request.drop_body();
    request.gw.memory.record_unbuffered(&request.metadata.id);
    let (tx, body) = caller_channel(&request.memory);
    let res = forwarded_response(&response, Box::pin(body));
    let gw = request.gw.clone();
    gw.spawn(async move {
        let forwarded =
            smol::future::or(forward_rest(&request, &mut response, begun, &tx), async {
                tx.closed().await;
                Err(CALLER_GONE.to_owned())
            });
        match forwarded.await {
            Ok(()) => request.record_whole_response(&mut response),
            Err(why) => {
                let error = io::Error::new(io::ErrorKind::ConnectionAborted, why.clone());
                tx.send(Err(error)).await.ok();
                request.record_outcome(why);
            }
        }
    });
    res
}

async fn forward_rest(
    request: &InFlightRequest,
    response: &mut UpstreamResponse,
    begun: Vec<Bytes>,
    tx: &CallerSender,
) -> Result<(), String> {
    let max = request.max_response_bytes();
    let mut forwarded = 0;
    let mut begun = begun.into_iter();
    loop {
        let chunk = match begun.next() {
            Some(chunk) => chunk,
            None => match within(request.time_left(), response.read_next()).await {
                None => return Err("deadline".to_owned()),
                Some(BodyRead::End) => return Ok(()),
                Some(BodyRead::Broken(why)) => return Err(why),
                Some(BodyRead::Chunk(chunk)) => chunk,
            },
        };
        forwarded += chunk.len();
        if forwarded > max {
            return Err(format!("an answer of more than {max} bytes"));
        }
        if tx.send(Ok(own_copy(&chunk))).await.is_err() {
            return Err(CALLER_GONE.to_owned());
        }
    }
}
