//! Loads and faults of the simulated fleet.

/// Where a deadly part stands in the prompt.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Place {
    First,
    /// Between the first part and the subject.
    Middle,
    /// Behind the subject.
    Last,
}

/// Requests with prompts of a first part, a subject and an own part, and requests that have a deadly part as well.
#[derive(Clone, Debug)]
pub struct PromptLoad {
    /// Interval between sound requests, and how many arrive at once, at random gateways.
    pub sound_every: u64,
    pub sound_at_once: usize,
    /// Number of first parts, and of subjects; a subject has one first part.
    pub first_parts: u64,
    pub subjects: u64,
    /// Number of deadly parts. Each has a subject, and its requests have that one or, if `is_mixed`, a random one.
    pub deadly_parts: usize,
    pub is_mixed: bool,
    /// Interval between requests with a deadly part, how many arrive at once, and until when they arrive.
    pub deadly_every: u64,
    pub deadly_at_once: usize,
    pub deadly_until: u64,
    /// Time from which on the part is deadly. Before, requests with it are answered.
    pub deadly_from: u64,
    pub place: Place,
    /// Maximum number of servers to which a request is sent.
    pub max_sends: u32,
    /// Longest duration of a sound request.
    pub max_duration: u64,
}

impl Default for PromptLoad {
    fn default() -> Self {
        Self {
            sound_every: 40,
            sound_at_once: 1,
            first_parts: 8,
            subjects: 200,
            deadly_parts: 1,
            is_mixed: true,
            deadly_every: 500,
            deadly_at_once: 1,
            deadly_until: u64::MAX,
            deadly_from: 0,
            place: Place::Middle,
            max_sends: super::MAX_SENDS,
            max_duration: 3_000,
        }
    }
}

/// The load and the faults of a simulation.
#[derive(Clone, Debug)]
pub struct Load {
    pub gateways: usize,
    pub servers: usize,
    /// Interval between arrivals of the poison request, and how many arrive at once, at random gateways.
    pub poison_every: u64,
    pub poison_at_once: usize,
    /// Interval between popular requests, and between requests that are sent once.
    pub popular_every: u64,
    pub single_every: u64,
    /// Share of the messages between gateways that are lost.
    pub message_loss: f64,
    /// Interval between restarts of a random gateway, and of all.
    pub restart_every: u64,
    pub restart_all_every: u64,
    /// Outages of the store: start and end.
    pub store_outages: Vec<(u64, u64)>,
    /// Times of restores of the store, and the age of the copies.
    pub restores: Vec<(u64, u64)>,
    /// Interval between unrelated ends of servers, and the share of the servers that end.
    pub unrelated_ends: Option<(u64, f64)>,
    /// Requests with prompts of several parts, if any.
    pub prompts: Option<PromptLoad>,
    pub until: u64,
}
