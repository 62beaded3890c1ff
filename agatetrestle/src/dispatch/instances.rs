//! Updates of the known backend servers from the list that control distributes.

use crate::backends::BackendChange;
use crate::clock::Timestamp;
use crate::dispatch::Decision;
use crate::dispatch::Dispatch;
use crate::dispatch::Instance;
use crate::dispatch::ServerKey;
use crate::dispatch::server::Server;

impl Dispatch {
    /// Updates the servers from a list. Servers that are missing from it get no more requests, and neither do servers
    /// once known to be leaving: the list may be stale, so it can't revoke that.
    pub fn replace_instances(&mut self, now: Timestamp, instances: &[Instance]) -> Vec<Decision> {
        let known: Vec<ServerKey> = self.servers.keys().collect();
        for key in known {
            self.unlist(key);
        }
        for instance in instances {
            self.update_instance(now, instance);
        }
        self.finish_update(now)
    }

    /// Updates the servers from a change of the list, at the cost of the change.
    pub fn apply_change(&mut self, now: Timestamp, change: &BackendChange) -> Vec<Decision> {
        match change {
            BackendChange::Whole(instances) => self.replace_instances(now, instances),
            BackendChange::Since { gone, put, .. } => {
                for id in gone.iter().chain(put.iter().map(|instance| &instance.id)) {
                    if let Some(key) = self.by_id.get(id) {
                        self.unlist(*key);
                    }
                }
                for instance in put {
                    self.update_instance(now, instance);
                }
                self.finish_update(now)
            }
        }
    }

    fn finish_update(&mut self, now: Timestamp) -> Vec<Decision> {
        let mut decisions = self.remove_unlisted();
        decisions.extend(self.dispatch_all(now));
        decisions
    }

    fn unlist(&mut self, key: ServerKey) {
        self.update_server(key, |server| server.listed = false);
        self.unlisted.insert(key);
    }

    /// Changes what the pool of a server depends on.
    pub(super) fn update_server(&mut self, key: ServerKey, update: impl FnOnce(&mut Server)) {
        let Some(server) = self.servers.get_mut(key) else {
            return;
        };
        let used = self.pools.get_mut(&server.instance.service).is_some_and(|pool| pool.remove(key, server));
        update(server);
        let pool = self.pools.entry(server.instance.service.clone()).or_default();
        pool.insert(key, server, server.instance.zone == self.zone);
        if used {
            pool.mark_in_use(key);
        }
    }

    /// Adds or updates a listed server. A newer instance under a known id is added as another server, which takes over
    /// nothing from the earlier one.
    fn update_instance(&mut self, now: Timestamp, instance: &Instance) {
        let known = self.by_id.get(&instance.id).copied();
        if let Some(key) = known.filter(|key| !instance.is_newer_than(&self.servers[*key].instance)) {
            self.update_server(key, |server| server.update(now, instance));
            self.unlisted.remove(&key);
            return;
        }
        let key = self.servers.insert(Server::new(instance));
        self.by_id.insert(instance.id.clone(), key);
        let pool = self.pools.entry(instance.service.clone()).or_default();
        pool.insert(key, &self.servers[key], instance.zone == self.zone);
    }

    /// Reports unlisted servers once, and removes them when none of this node's requests is in flight there.
    fn remove_unlisted(&mut self) -> Vec<Decision> {
        let mut decisions = Vec::new();
        for key in std::mem::take(&mut self.unlisted) {
            let server = &mut self.servers[key];
            if !std::mem::replace(&mut server.removal_reported, true) {
                decisions.push(Decision::DropConnections { address: server.instance.address });
            }
            if server.in_flight > 0 {
                self.unlisted.insert(key);
            } else {
                self.remove_server(key);
            }
        }
        decisions
    }

    fn remove_server(&mut self, key: ServerKey) {
        let Some(server) = self.servers.remove(key) else {
            return;
        };
        if self.by_id.get(&server.instance.id) == Some(&key) {
            self.by_id.remove(&server.instance.id);
        }
        if let Some(pool) = self.pools.get_mut(&server.instance.service) {
            pool.remove(key, &server);
            if pool.len() == 0 {
                self.pools.remove(&server.instance.service);
            }
        }
    }
}
