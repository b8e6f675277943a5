//! Which suspects are quarantined.

use std::collections::{HashMap, HashSet};

use super::QuarantinePolicy;
use super::suspect::Suspect;
use crate::serving::catalog::BackendId;
use crate::serving::fingerprint::Fingerprint;

/// Returns the suspects that are quarantined: those under which enough servers ended.
///
/// The ends under a quarantined request do not count for the parts of its prompt, unless more servers have ended under the
/// part than under the request. Otherwise one request that is sent again and again would keep all requests from servers
/// that have a part of its prompt.
pub(super) fn quarantined(
    suspects: &HashMap<Fingerprint, Suspect>,
    policy: &QuarantinePolicy,
) -> HashSet<Fingerprint> {
    let has_enough_ends =
        |(key, suspect): &(&Fingerprint, &Suspect)| suspect.ends() >= policy.min_ends_of(**key);
    let (parts, requests): (Vec<_>, Vec<_>) =
        suspects.iter().filter(has_enough_ends).partition(|(key, _)| key.is_prompt_part());
    // For each server, the number of ends under the request with the most ends among those that it ended under.
    let mut accounted_for: HashMap<&BackendId, usize> = HashMap::new();
    for (_, request) in &requests {
        for server in request.servers() {
            let most = accounted_for.entry(server).or_default();
            *most = request.ends().max(*most);
        }
    }
    let is_to_blame = |part: &Suspect| {
        let counts = |server: &&BackendId| {
            accounted_for.get(server).is_none_or(|request_ends| *request_ends < part.ends())
        };
        part.servers().filter(counts).count() >= policy.min_part_ends
    };
    let to_blame = parts.iter().filter(|(_, part)| is_to_blame(part));
    requests.iter().chain(to_blame).map(|(key, _)| **key).collect()
}
