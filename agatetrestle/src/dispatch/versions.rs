//! Servers that may go on with a stream, which are those of the software version that began it.

use std::time::Duration;

use crate::clock::Timestamp;
use crate::dispatch::Dispatch;
use crate::dispatch::Request;
use crate::dispatch::ServerKey;

impl Dispatch {
    /// Time until a server accepts a request; `None` if it may not have it. A leaving server accepts only streams of its
    /// version.
    pub(super) fn accepts_in(&self, now: Timestamp, key: ServerKey, request: &Request) -> Option<Duration> {
        let server = &self.servers[key];
        if request.excluded.contains(&key) {
            return None;
        }
        match &request.version {
            None => server.backoff_left(now),
            Some(version) if *version != server.instance.version => None,
            Some(_) => server.backoff_left(now).or_else(|| server.backoff_left_while_leaving(now)),
        }
    }

    /// Whether a server accepts a request now.
    pub(super) fn accepts(&self, now: Timestamp, key: ServerKey, request: &Request) -> bool {
        self.accepts_in(now, key, request) == Some(Duration::ZERO)
    }

    /// All servers that may have a request with a version: those that stay, or leaving ones if none stays.
    pub(super) fn servers_of_version(&self, now: Timestamp, request: &Request) -> Vec<ServerKey> {
        let servers = self.servers_of(&request.service);
        let accepting = servers.filter(|(key, _)| self.accepts_in(now, *key, request).is_some());
        let (leaving, staying): (Vec<_>, Vec<_>) =
            accepting.partition(|(_, server)| server.backoff_left(now).is_none());
        let chosen = if staying.is_empty() { leaving } else { staying };
        chosen.into_iter().map(|(key, _)| key).collect()
    }
}
