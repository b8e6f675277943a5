//! Limits on idle connections, and the time that a server keeps them open.

use crate::ids::Millis;

/// Limits on the idle connections that a gateway keeps.
#[derive(Clone, Copy, Debug)]
pub struct ConnectionReusePolicy {
    /// Whether connections are kept at all.
    pub is_enabled: bool,
    /// Maximum number of idle connections to all servers.
    pub max_idle: usize,
    /// Maximum number of idle connections to one server.
    pub max_idle_per_server: usize,
    /// Maximum time for which a connection is kept idle.
    pub max_idle_time: Millis,
    /// Time before the end of a server's keep-alive time at which a connection is closed. A request that is sent later may
    /// reach the server after it has closed the connection.
    pub keep_alive_margin: Millis,
}

impl Default for ConnectionReusePolicy {
    /// Off. Common servers close idle connections after 5 s; with the margin of 1 s this leaves 4 s.
    fn default() -> Self {
        Self {
            is_enabled: false,
            max_idle: 64,
            max_idle_per_server: 1,
            max_idle_time: Millis(4_000),
            keep_alive_margin: Millis(1_000),
        }
    }
}

impl ConnectionReusePolicy {
    /// Returns how long a connection may be kept idle; zero if it must be closed at once.
    ///
    /// ```
    /// use redwingfold_core::{ConnectionReusePolicy, KeepAlive, Millis};
    /// let policy = ConnectionReusePolicy::default();
    /// assert_eq!(policy.idle_time(KeepAlive::parse("timeout=3")), Millis(2_000));
    /// assert_eq!(policy.idle_time(KeepAlive::parse("timeout=60")), Millis(4_000));
    /// assert_eq!(policy.idle_time(KeepAlive::default()), Millis(4_000));
    /// ```
    pub fn idle_time(&self, keep_alive: KeepAlive) -> Millis {
        match keep_alive.timeout {
            _ if keep_alive.is_exhausted => Millis(0),
            Some(timeout) => timeout.since(self.keep_alive_margin).min(self.max_idle_time),
            None => self.max_idle_time,
        }
    }
}

/// The parameters of a `Keep-Alive` header.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct KeepAlive {
    /// Time after which the server closes an idle connection.
    pub timeout: Option<Millis>,
    /// Whether the server accepts no further request on the connection.
    pub is_exhausted: bool,
}

impl KeepAlive {
    /// Parses the value of a `Keep-Alive` header. Unknown and invalid parameters are ignored; of several timeouts the
    /// shortest applies.
    ///
    /// ```
    /// use redwingfold_core::{KeepAlive, Millis};
    /// let parsed = KeepAlive::parse("timeout=5, max=100");
    /// assert_eq!(parsed, KeepAlive { timeout: Some(Millis(5_000)), is_exhausted: false });
    /// assert!(KeepAlive::parse("max=0").is_exhausted);
    /// assert_eq!(KeepAlive::parse("timeout=soon"), KeepAlive::default());
    /// ```
    pub fn parse(text: &str) -> Self {
        let values = |name: &'static str| {
            let parameters = text.split(',').filter_map(|parameter| parameter.split_once('='));
            parameters
                .filter(move |(key, _)| key.trim().eq_ignore_ascii_case(name))
                .filter_map(|(_, value)| value.trim().trim_matches('"').parse::<u64>().ok())
        };
        let timeout = values("timeout").min().map(|s| Millis(s.saturating_mul(1_000)));
        Self { timeout, is_exhausted: values("max").any(|left| left == 0) }
    }
}
