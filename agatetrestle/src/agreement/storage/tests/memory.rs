//! A disk in memory that forgets what was not synced.

use std::collections::BTreeMap;
use std::io;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;

use crate::agreement::storage::disk::Disk;

/// Content of a file, whatever its names.
#[derive(Clone, Debug, Default)]
struct Node {
    current: Vec<u8>,
    synced: Vec<u8>,
}

#[derive(Clone, Debug)]
struct State {
    nodes: Vec<Node>,
    names: BTreeMap<String, usize>,
    synced_names: BTreeMap<String, usize>,
    limit: usize,
    syncs: usize,
    /// Operations that still work.
    alive_for: usize,
}

/// Handles to one disk; a clone is the same disk.
#[derive(Clone, Debug)]
pub(super) struct MemoryDisk(Arc<Mutex<State>>);

impl Default for MemoryDisk {
    fn default() -> Self {
        let (nodes, names) = (Vec::new(), BTreeMap::new());
        let state = State {
            nodes,
            synced_names: names.clone(),
            names,
            limit: usize::MAX,
            syncs: 0,
            alive_for: usize::MAX,
        };
        Self(Arc::new(Mutex::new(state)))
    }
}

impl MemoryDisk {
    fn state(&self) -> MutexGuard<'_, State> {
        self.0.lock().unwrap()
    }

    pub(super) fn deep_clone(&self) -> Self {
        Self(Arc::new(Mutex::new(self.state().clone())))
    }

    pub(super) fn syncs(&self) -> usize {
        self.state().syncs
    }

    pub(super) fn used(&self) -> usize {
        self.state().used()
    }

    pub(super) fn names(&self) -> Vec<String> {
        self.state().names.keys().cloned().collect()
    }

    pub(super) fn limit(&self, bytes: usize) {
        self.state().limit = bytes;
    }

    /// Lets so many more operations work and no other after them.
    pub(super) fn die_after(&self, operations: usize) {
        self.state().alive_for = operations;
    }

    pub(super) fn revive(&self) {
        self.state().alive_for = usize::MAX;
    }

    pub(super) fn flip(&self, name: &str, offset: usize) {
        self.change(name, |bytes| bytes[offset] ^= 0x55);
    }

    pub(super) fn cut(&self, name: &str, length: usize) {
        self.change(name, |bytes| bytes.truncate(length));
    }

    pub(super) fn delete(&self, name: &str) {
        self.state().names.remove(name);
    }

    fn change(&self, name: &str, change: impl FnOnce(&mut Vec<u8>)) {
        let mut state = self.state();
        let node = state.names[name];
        change(&mut state.nodes[node].current);
    }

    /// Loses power: each name and each unsynced byte may be lost or not, as the seed has it.
    pub(super) fn crash(&self, seed: u64) {
        let mut random = seed;
        let mut below = move |bound: usize| {
            random = random.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1_442_695_040_888_963_407);
            usize::try_from(random >> 33).unwrap() % bound.max(1)
        };
        let mut state = self.state();
        state.alive_for = usize::MAX;
        let names: Vec<String> = state.names.keys().chain(state.synced_names.keys()).cloned().collect();
        for name in names {
            let (live, synced) = (state.names.get(&name).copied(), state.synced_names.get(&name).copied());
            let kept = if below(2) == 0 { live } else { synced };
            match kept {
                Some(node) => state.names.insert(name.clone(), node),
                None => state.names.remove(&name),
            };
            match kept {
                Some(node) => state.synced_names.insert(name, node),
                None => state.synced_names.remove(&name),
            };
        }
        for node in &mut state.nodes {
            let synced = node.synced.len();
            if node.current.starts_with(&node.synced) {
                let kept = below(node.current.len() - synced + 1);
                node.current.truncate(synced + kept);
                if kept > 0 && below(2) == 0 {
                    let hole = synced + below(kept);
                    node.current[hole..].fill(0);
                }
            } else if below(2) == 0 {
                node.current.clone_from(&node.synced);
            }
            node.synced.clone_from(&node.current);
        }
    }
}

impl State {
    fn used(&self) -> usize {
        self.names.values().map(|node| self.nodes[*node].current.len()).sum()
    }

    fn operate(&mut self) -> io::Result<()> {
        let left = self.alive_for.checked_sub(1).ok_or(io::ErrorKind::Other)?;
        self.alive_for = if self.alive_for == usize::MAX { usize::MAX } else { left };
        Ok(())
    }

    fn node(&mut self, name: &str) -> io::Result<&mut Node> {
        let node = *self.names.get(name).ok_or(io::ErrorKind::NotFound)?;
        Ok(&mut self.nodes[node])
    }
}

impl Disk for MemoryDisk {
    fn list(&self) -> io::Result<Vec<String>> {
        Ok(self.names())
    }

    fn read(&self, name: &str) -> io::Result<Vec<u8>> {
        Ok(self.state().node(name)?.current.clone())
    }

    fn create(&mut self, name: &str) -> io::Result<()> {
        let mut state = self.state();
        state.operate()?;
        state.nodes.push(Node::default());
        let node = state.nodes.len() - 1;
        state.names.insert(name.to_owned(), node);
        Ok(())
    }

    fn append(&mut self, name: &str, bytes: &[u8]) -> io::Result<()> {
        let mut state = self.state();
        state.operate()?;
        let room = state.limit.saturating_sub(state.used());
        let taken = bytes.len().min(room);
        state.node(name)?.current.extend_from_slice(&bytes[..taken]);
        if taken < bytes.len() { Err(io::ErrorKind::StorageFull.into()) } else { Ok(()) }
    }

    fn sync(&mut self, name: &str) -> io::Result<()> {
        let mut state = self.state();
        state.operate()?;
        state.syncs += 1;
        let node = state.node(name)?;
        node.synced.clone_from(&node.current);
        Ok(())
    }

    fn truncate(&mut self, name: &str, length: u64) -> io::Result<()> {
        let mut state = self.state();
        state.operate()?;
        state.node(name)?.current.truncate(usize::try_from(length).unwrap());
        Ok(())
    }

    fn rename(&mut self, from: &str, to: &str) -> io::Result<()> {
        let mut state = self.state();
        state.operate()?;
        let node = state.names.remove(from).ok_or(io::ErrorKind::NotFound)?;
        state.names.insert(to.to_owned(), node);
        Ok(())
    }

    fn remove(&mut self, name: &str) -> io::Result<()> {
        let mut state = self.state();
        state.operate()?;
        state.names.remove(name).map(|_| ()).ok_or_else(|| io::ErrorKind::NotFound.into())
    }

    fn sync_folder(&mut self) -> io::Result<()> {
        let mut state = self.state();
        state.operate()?;
        state.synced_names = state.names.clone();
        Ok(())
    }
}
