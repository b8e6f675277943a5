//! The memory that callers' connections and requests share.

use crate::ids::ByteCount;

/// How connections and requests share their memory.
///
/// Load pattern: a few connections upload large bodies, or many connections send small requests. With a fixed part for
/// each, one is refused while the memory of the other is free. Here each gets what the other leaves, and connections
/// always have a minimum, so that uploads do not keep new callers out.
///
/// ```
/// use redwingfold_core::{ByteCount, MemoryBudget};
/// let budget = MemoryBudget {
///     total: ByteCount(1_000),
///     per_connection: ByteCount(10),
///     min_connections: 20,
///     max_connections: 50,
/// };
/// assert_eq!(budget.for_requests(3), ByteCount(800));
/// assert_eq!(budget.for_requests(40), ByteCount(600));
/// assert_eq!(budget.connections(ByteCount(0)), 50);
/// assert_eq!(budget.connections(ByteCount(700)), 30);
/// assert_eq!(budget.connections(ByteCount(1_000)), 20);
/// ```
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct MemoryBudget {
    /// Memory of connections and requests together.
    pub total: ByteCount,
    /// Most memory that a connection takes.
    pub per_connection: ByteCount,
    /// Number of connections whose memory requests never get.
    pub min_connections: usize,
    /// Maximum number of connections.
    pub max_connections: usize,
}

impl MemoryBudget {
    /// Returns the memory for requests beside a number of connections.
    pub fn for_requests(&self, connections: usize) -> ByteCount {
        let taken = connections.max(self.min_connections) * self.per_connection.0;
        ByteCount(self.total.0.saturating_sub(taken))
    }

    /// Returns the number of connections for which there is memory beside that of requests.
    pub fn connections(&self, requests: ByteCount) -> usize {
        let free = self.total.0.saturating_sub(requests.0) / self.per_connection.0;
        free.clamp(self.min_connections, self.max_connections.max(self.min_connections))
    }
}
