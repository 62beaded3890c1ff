//! A fake of the platform's list of live and leaving VMs.
//!
//! `GET` on any path answers `{"vms":[{"name":"vm-1","state":"live"}]}`; the other state is `leaving`.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;

use http_types::StatusCode;
use serde::Serialize;
use smol::LocalExecutor;

use crate::server;
use crate::server::HttpServer;

/// State of a VM in the list.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum VmState {
    /// The VM is running.
    Live,
    /// The VM is about to be removed.
    Leaving,
}

#[derive(Serialize)]
struct VmEntry<'a> {
    name: &'a str,
    state: VmState,
}

#[derive(Serialize)]
struct VmsBody<'a> {
    vms: Vec<VmEntry<'a>>,
}

type Vms = Rc<RefCell<BTreeMap<String, VmState>>>;

/// A running fake of the VM list.
#[derive(Debug)]
pub struct VmList {
    /// Listening address.
    pub address: SocketAddr,
    vms: Vms,
    _server: HttpServer,
}

impl VmList {
    /// Starts with an empty list.
    ///
    /// # Errors
    ///
    /// Fails if no port can be bound.
    pub async fn start(executor: &Rc<LocalExecutor<'static>>) -> io::Result<Self> {
        let vms = Vms::default();
        let shared = Rc::clone(&vms);
        let answer = move |_| {
            let response = listing(&shared.borrow());
            async move { Ok(response) }
        };
        let server = server::serve(executor, 0, answer).await?;
        Ok(Self { address: server.address, vms, _server: server })
    }

    /// Closes the listener and all connections.
    pub fn stop(self) {
        drop(self);
    }

    /// Sets the state of a VM, or removes it from the list.
    pub fn set(&self, name: &str, state: Option<VmState>) {
        match state {
            Some(state) => self.vms.borrow_mut().insert(name.to_owned(), state),
            None => self.vms.borrow_mut().remove(name),
        };
    }
}

fn listing(vms: &BTreeMap<String, VmState>) -> http_types::Response {
    let vms = vms.iter().map(|(name, state)| VmEntry { name, state: *state }).collect();
    server::json(StatusCode::Ok, &VmsBody { vms })
}
