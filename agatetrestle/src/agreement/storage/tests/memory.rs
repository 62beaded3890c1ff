//! An in-memory disk that loses unsynced data in a simulated crash.

use std::collections::BTreeMap;
use std::io;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;

use crate::agreement::storage::disk::Disk;

/// Content of a file, independent of its name.
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
    /// Operations that succeed before all others fail.
    operations_left: usize,
}

/// Handle to a disk; clones share the disk.
#[derive(Clone, Debug)]
pub(crate) struct MemoryDisk(Arc<Mutex<State>>);

impl Default for MemoryDisk {
    fn default() -> Self {
        let (nodes, names) = (Vec::new(), BTreeMap::new());
        let state = State {
            nodes,
            synced_names: names.clone(),
            names,
            limit: usize::MAX,
            syncs: 0,
            operations_left: usize::MAX,
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

    pub(crate) fn syncs(&self) -> usize {
        self.state().syncs
    }

    pub(super) fn used(&self) -> usize {
        self.state().used()
    }

    pub(super) fn names(&self) -> Vec<String> {
        self.state().names.keys().cloned().collect()
    }

    pub(super) fn set_limit(&self, bytes: usize) {
        self.state().limit = bytes;
    }

    /// Makes all operations fail after the given number of them.
    pub(super) fn fail_after(&self, operations: usize) {
        self.state().operations_left = operations;
    }

    pub(super) fn clear_failure(&self) {
        self.state().operations_left = usize::MAX;
    }

    pub(super) fn flip(&self, name: &str, offset: usize) {
        self.modify(name, |bytes| bytes[offset] ^= 0x55);
    }

    pub(super) fn truncate_file(&self, name: &str, length: usize) {
        self.modify(name, |bytes| bytes.truncate(length));
    }

    pub(super) fn delete(&self, name: &str) {
        self.state().names.remove(name);
    }

    fn modify(&self, name: &str, modify: impl FnOnce(&mut Vec<u8>)) {
        let mut state = self.state();
        let node = state.names[name];
        modify(&mut state.nodes[node].current);
    }

    /// Simulates a power loss; the seed decides which unsynced names and bytes are lost.
    pub(super) fn crash(&self, seed: u64) {
        let mut random = seed;
        let mut random_below = move |bound: usize| {
            random = random.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1_442_695_040_888_963_407);
            usize::try_from(random >> 33).unwrap() % bound.max(1)
        };
        let mut state = self.state();
        state.operations_left = usize::MAX;
        let names: Vec<String> = state.names.keys().chain(state.synced_names.keys()).cloned().collect();
        for name in names {
            let (live, synced) = (state.names.get(&name).copied(), state.synced_names.get(&name).copied());
            let kept = if random_below(2) == 0 { live } else { synced };
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
                let kept = random_below(node.current.len() - synced + 1);
                node.current.truncate(synced + kept);
                if kept > 0 && random_below(2) == 0 {
                    let hole = synced + random_below(kept);
                    node.current[hole..].fill(0);
                }
            } else if random_below(2) == 0 {
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

    fn count_operation(&mut self) -> io::Result<()> {
        let left = self.operations_left.checked_sub(1).ok_or(io::ErrorKind::Other)?;
        self.operations_left = if self.operations_left == usize::MAX { usize::MAX } else { left };
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
        state.count_operation()?;
        state.nodes.push(Node::default());
        let node = state.nodes.len() - 1;
        state.names.insert(name.to_owned(), node);
        Ok(())
    }

    fn append(&mut self, name: &str, bytes: &[u8]) -> io::Result<()> {
        let mut state = self.state();
        state.count_operation()?;
        let free = state.limit.saturating_sub(state.used());
        let written = bytes.len().min(free);
        state.node(name)?.current.extend_from_slice(&bytes[..written]);
        if written < bytes.len() { Err(io::ErrorKind::StorageFull.into()) } else { Ok(()) }
    }

    fn sync(&mut self, name: &str) -> io::Result<()> {
        let mut state = self.state();
        state.count_operation()?;
        state.syncs += 1;
        let node = state.node(name)?;
        node.synced.clone_from(&node.current);
        Ok(())
    }

    fn truncate(&mut self, name: &str, length: u64) -> io::Result<()> {
        let mut state = self.state();
        state.count_operation()?;
        state.node(name)?.current.truncate(usize::try_from(length).unwrap());
        Ok(())
    }

    fn rename(&mut self, from: &str, to: &str) -> io::Result<()> {
        let mut state = self.state();
        state.count_operation()?;
        let node = state.names.remove(from).ok_or(io::ErrorKind::NotFound)?;
        state.names.insert(to.to_owned(), node);
        Ok(())
    }

    fn remove(&mut self, name: &str) -> io::Result<()> {
        let mut state = self.state();
        state.count_operation()?;
        state.names.remove(name).map(|_| ()).ok_or_else(|| io::ErrorKind::NotFound.into())
    }

    fn sync_folder(&mut self) -> io::Result<()> {
        let mut state = self.state();
        state.count_operation()?;
        state.synced_names = state.names.clone();
        Ok(())
    }
}
