//! Metadata of requests, attempts and responses, independent of the headers that a deployment uses for it.

use http::{HeaderMap, StatusCode};
use redwingfold_core::{
    BackendId, CustomerName, EventId, Millis, ModelName, Priority, RequestRate,
};

/// The model that a caller requests.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub enum RequestedModel {
    /// The gateway chooses the model.
    Any,
    /// The named model.
    Named(ModelName),
    /// The request does not name a model.
    #[default]
    None,
}

/// Token counts of a request.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Usage {
    /// Tokens of the prompt.
    pub prompt: u64,
    /// Maximum number of tokens of the response.
    pub max_output: u64,
}

/// A part of a prompt, which may be shared with other requests.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct PromptPart {
    /// Id; equal parts have equal ids.
    pub id: u64,
    /// Number of tokens.
    pub tokens: u64,
}

/// Metadata in the head of a caller's request.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct RequestMetadata {
    /// Id of the request; a retry by the caller has a new one.
    pub id: String,
    /// Time that the caller waits for the response.
    pub timeout: Option<Millis>,
    /// The customer's API key.
    pub key: Option<String>,
    /// Id of the session. Requests of one session are sequential and stay on the same version.
    pub session: Option<String>,
    /// The requested model.
    pub model: RequestedModel,
    /// Token counts.
    pub usage: Usage,
    /// Parts of the prompt, in order; the last one is not shared with other requests.
    pub prompt: Vec<PromptPart>,
    /// The last event that the caller received, if it resumes a broken stream.
    pub resume_after: Option<EventId>,
}

impl RequestMetadata {
    /// Returns the parts of the prompt that may be shared with other requests: all but the last.
    pub(crate) fn shared_parts(&self) -> &[PromptPart] {
        &self.prompt[..self.prompt.len().saturating_sub(1)]
    }

    /// Returns the ids of the shared parts in hexadecimal, separated by commas, for log lines.
    pub(crate) fn shared_part_ids(&self) -> String {
        let ids: Vec<_> = self.shared_parts().iter().map(|p| format!("{:x}", p.id)).collect();
        ids.join(",")
    }
}

/// Metadata that an attempt adds to the caller's request.
#[derive(Clone, Debug, PartialEq)]
pub struct AttemptMetadata {
    /// The server that the attempt is meant for; any other server must refuse it.
    pub server: BackendId,
    /// Time left for the response.
    pub time_left: Millis,
    /// The customer that the key belongs to.
    pub customer: Option<CustomerName>,
    /// The model that the gateway chose, if the caller left the choice to it.
    pub model: Option<ModelName>,
    /// Priority in the server's queue.
    pub priority: Priority,
    /// The last event that the caller received, if the attempt resumes a stream.
    pub resume_after: Option<EventId>,
}

/// Load that a server reports in a response.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct ReportedLoad {
    /// Number of running requests.
    pub running: u32,
    /// Number of waiting requests.
    pub waiting: u32,
    /// Number of requests that can run concurrently.
    pub slots: u32,
    /// How long work takes on the server's host at the moment, in percent of the usual time; `None` if the server does not
    /// share its host.
    pub work_time_percent: Option<u32>,
}

/// Metadata in the head of a response.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ResponseMetadata {
    /// Id of the request that it responds to, if present.
    pub id: Option<String>,
    /// Whether the server reports that it did not and will not run the request.
    pub is_not_run: bool,
    /// Whether the address now belongs to a different server.
    pub is_other_server: bool,
    /// Whether the response carries the server's signature.
    pub is_signed: bool,
    /// Load of the server.
    pub load: Option<ReportedLoad>,
    /// Remaining time for which the server is cold, if reported.
    pub cold_remaining: Option<Millis>,
    /// Requests per second that the server accepts from all gateways combined, if limited.
    pub rate_limit: Option<RequestRate>,
    /// Whether the server announces that it is leaving.
    pub is_leaving: bool,
    /// Time until the next request may be sent, from the server's refusal of one.
    pub retry_after: Option<Millis>,
    /// The model's confidence in its answer, from 0 to 100.
    pub confidence: Option<u8>,
}

/// Conversion between metadata and a deployment's HTTP headers. The gateway uses no deployment-specific header elsewhere.
#[derive(Clone, Copy, Debug)]
pub struct HeaderCodec {
    /// Decodes a request's headers; the error describes the invalid header.
    pub decode_request: fn(&HeaderMap) -> Result<RequestMetadata, String>,
    /// Turns the headers of a caller's request into those of an attempt.
    pub encode_attempt: fn(&mut HeaderMap, &AttemptMetadata),
    /// Decodes the status and headers of a response.
    pub decode_response: fn(StatusCode, &HeaderMap) -> ResponseMetadata,
}
