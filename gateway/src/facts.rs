//! What requests, attempts and answers say, apart from how a deployment writes it.

use http::{HeaderMap, StatusCode};
use redwingfold_core::{
    BackendId, CustomerName, EventId, Millis, ModelName, Priority, RequestRate,
};

/// Which model a caller asks for.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub enum RequestedModel {
    /// The gateway chooses.
    Any,
    /// This one.
    Named(ModelName),
    /// The request names none.
    #[default]
    None,
}

/// Tokens of a request.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Usage {
    /// Tokens of the prompt.
    pub prompt: u64,
    /// Tokens that the answer may have.
    pub max_output: u64,
}

/// A part of a prompt; requests share parts.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct PromptPart {
    /// Its id; equal parts have equal ids.
    pub id: u64,
    /// Its tokens.
    pub tokens: u64,
}

/// What a request says of itself.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct RequestMetadata {
    /// Id of this attempt of the caller.
    pub id: String,
    /// How long the caller waits.
    pub timeout: Option<Millis>,
    /// The customer's key.
    pub key: Option<String>,
    /// Requests of one session follow each other and keep their version.
    pub session: Option<String>,
    /// The model.
    pub model: RequestedModel,
    /// Tokens.
    pub usage: Usage,
    /// Parts of the prompt, in order; the last one is the request's own.
    pub prompt: Vec<PromptPart>,
    /// The last event that the caller has, if it goes on with a broken stream.
    pub resume_after: Option<EventId>,
}

impl RequestMetadata {
    /// Returns the parts of the prompt that other requests share; the last one is its own.
    pub(crate) fn shared_parts(&self) -> &[PromptPart] {
        &self.prompt[..self.prompt.len().saturating_sub(1)]
    }
}

/// What an attempt tells a backend server beside the caller's request.
#[derive(Clone, Debug, PartialEq)]
pub struct AttemptMetadata {
    /// The server for which it is meant; any other must refuse it.
    pub server: BackendId,
    /// Time left for the answer.
    pub time_left: Millis,
    /// The customer, as its key tells.
    pub customer: Option<CustomerName>,
    /// The model that the gateway chose, if the caller left it the choice.
    pub model: Option<ModelName>,
    /// Rank among the server's requests.
    pub priority: Priority,
    /// The last event that the caller has.
    pub resume_after: Option<EventId>,
}

/// Load that an answer reports.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct ReportedLoad {
    /// Requests that run.
    pub running: u32,
    /// Requests that wait.
    pub waiting: u32,
    /// Requests that can run at once.
    pub slots: u32,
}

/// What the head of an answer says.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ResponseMetadata {
    /// Id of the attempt that it answers, if it says so.
    pub id: Option<String>,
    /// Whether the server says that it did not run the request, and will not.
    pub is_not_run: bool,
    /// Whether the address now belongs to another server.
    pub is_other_server: bool,
    /// Whether the server signed it.
    pub is_signed: bool,
    /// Load of the server.
    pub load: Option<ReportedLoad>,
    /// How much longer the server is cold, if it says so.
    pub cold_remaining: Option<Millis>,
    /// Requests per second that the server accepts from all gateways combined, if limited.
    pub rate_limit: Option<RequestRate>,
    /// Whether the server announces that it is leaving.
    pub is_leaving: bool,
    /// How long the server asks this gateway to send no requests, if it refused this one and says so.
    pub retry_after: Option<Millis>,
    /// The model's opinion of its answer, 0 to 100.
    pub confidence: Option<u8>,
}

/// How a deployment writes facts into heads. Header names appear nowhere else.
#[derive(Clone, Copy, Debug)]
pub struct HeaderCodec {
    /// Reads a request's head; the error says what is wrong with it.
    pub decode_request: fn(&HeaderMap) -> Result<RequestMetadata, String>,
    /// Turns the head of a caller's request into that of an attempt.
    pub encode_attempt: fn(&mut HeaderMap, &AttemptMetadata),
    /// Reads the head of an answer.
    pub decode_response: fn(StatusCode, &HeaderMap) -> ResponseMetadata,
}
