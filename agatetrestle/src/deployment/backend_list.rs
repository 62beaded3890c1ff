//! Polls the platform's list of backend servers, on the control leader only, since requests for it are limited and billed.

use std::net::SocketAddrV4;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use agatetrestle_config::deployment::BackendList;
use bytes::Bytes;
use http::HeaderValue;
use http::Request;
use http::StatusCode;
use http::header::HOST;
use http_body_util::Full;
use log::info;
use log::warn;
use smol::LocalExecutor;
use smol::Timer;
use snafu::Snafu;

use crate::backends::Instance;
use crate::clock::Clock;
use crate::cluster::registry::ClusterRegistry;
use crate::control::state::ControlState;
use crate::gateway::wire::WireFormat;
use crate::node::group::Group;
use crate::node::peer_link::with_deadline;
use crate::ports::Recorder;
use crate::transport::body_end::BodyReader;
use crate::transport::client::HttpClient;
use crate::transport::client::ReusePolicy;

/// Polling interval. A server may get requests for 3 s after it is listed as leaving, and the list itself lags.
const LIST_POLL_INTERVAL: Duration = Duration::from_millis(500);
/// How often a follower checks whether it leads; a new leader reads the list at once.
const LEADERSHIP_POLL_INTERVAL: Duration = Duration::from_millis(50);
/// Fraction of the permitted request rate that one leader uses; the rest is left for its successor.
const MAX_RATE_FRACTION: f64 = 0.5;
const PAGE_TIMEOUT: Duration = Duration::from_millis(800);
const MAX_PAGE_BYTES: usize = 4 << 20;
/// Guards against page links that form a cycle.
const MAX_PAGES: usize = 1_000;

/// Why the list can't be read.
#[derive(Debug, Snafu)]
enum ListError {
    #[snafu(display("no answer within {PAGE_TIMEOUT:?}"))]
    Timeout,
    #[snafu(display("{reason}"))]
    Failed { reason: String },
    #[snafu(display("unexpected status {status}"))]
    Status { status: StatusCode },
}

/// The list, joined from all pages.
#[derive(Default)]
struct InstanceList {
    instances: Vec<Instance>,
    malformed: usize,
    pages: usize,
}

pub(super) struct BackendListPoller {
    pub(super) wire: Rc<dyn WireFormat>,
    pub(super) settings: BackendList,
    pub(super) group: Rc<Group<ControlState>>,
    pub(super) registry: Rc<ClusterRegistry>,
    pub(super) clock: Clock,
    pub(super) recorder: Rc<dyn Recorder>,
    pub(super) executor: Rc<LocalExecutor<'static>>,
}

impl BackendListPoller {
    /// Polls the list while this replica leads, until the task is dropped.
    pub(super) async fn run(self) {
        let client = HttpClient::new(&self.executor, self.clock);
        let mut available = None;
        let mut pages = 1;
        let mut malformed = 0;
        // A starting replica reads the list once before there is a leader. So after a restart of all control replicas, the
        // first leader has the list at once.
        let mut initial_list = None;
        let mut initial_read_done = false;
        loop {
            if !self.group.leads() {
                // A follower receives the list from the leader.
                initial_read_done |= self.group.leader().is_some();
                if std::mem::replace(&mut initial_read_done, true) {
                    Timer::after(LEADERSHIP_POLL_INTERVAL).await;
                    continue;
                }
            } else if let Some(instances) = initial_list.take()
                && !self.registry.has_instances()
            {
                self.registry.set_instances(instances);
            }
            match self.read(&client).await {
                Ok(list) => {
                    pages = list.pages;
                    if self.group.leads() {
                        self.registry.set_instances(list.instances);
                    } else {
                        initial_list = Some(list.instances);
                    }
                    self.record_malformed(&mut malformed, list.malformed);
                    if available.replace(true) != Some(true) {
                        info!("The list of backend servers is read.");
                    }
                }
                Err(error) => {
                    if available.replace(false) != Some(false) {
                        warn!("Failed to read the list of backend servers: {error}.");
                    }
                }
            }
            if self.group.leads() {
                Timer::after(self.interval(pages)).await;
            }
        }
    }

    fn interval(&self, pages: usize) -> Duration {
        let pages = u32::try_from(pages).unwrap_or(u32::MAX);
        let min_interval = f64::from(pages) / (self.settings.calls_per_second * MAX_RATE_FRACTION);
        LIST_POLL_INTERVAL.max(Duration::from_secs_f64(min_interval))
    }

    /// Counts malformed entries, and logs their number when it changes.
    fn record_malformed(&self, previous: &mut usize, now: usize) {
        if now > 0 {
            self.recorder.record_malformed(u64::try_from(now).unwrap_or(u64::MAX));
        }
        if std::mem::replace(previous, now) != now {
            warn!("Ignoring {now} malformed entries in the list of backend servers.");
        }
    }

    async fn read(&self, client: &HttpClient) -> Result<InstanceList, ListError> {
        let mut list = InstanceList::default();
        let mut page: Option<Arc<str>> = None;
        for pages in 1..=MAX_PAGES {
            let path = self.wire.instances_path(page.as_deref());
            let response = with_deadline(PAGE_TIMEOUT, get(client, self.settings.address, &path)).await;
            let body = response.ok_or(ListError::Timeout)??;
            let page_content = self.wire.read_instances(&body);
            let page_content =
                page_content.map_err(|error| ListError::Failed { reason: error.to_string() })?;
            list.instances.extend(page_content.instances);
            list.malformed += page_content.malformed;
            match page_content.next_page {
                Some(next) => page = Some(next),
                None => return Ok(InstanceList { pages, ..list }),
            }
        }
        Err(ListError::Failed { reason: format!("more than {MAX_PAGES} pages") })
    }
}

async fn get(client: &HttpClient, address: SocketAddrV4, path: &str) -> Result<Bytes, ListError> {
    let failed = |error: &dyn std::fmt::Display| ListError::Failed { reason: error.to_string() };
    let mut connection = client.acquire(address, ReusePolicy::Any).await.map_err(|error| failed(&error))?;
    let mut request = Request::new(Full::new(Bytes::new()));
    *request.uri_mut() = path.parse().map_err(|error| failed(&error))?;
    let host = HeaderValue::from_str(&address.to_string()).map_err(|error| failed(&error))?;
    request.headers_mut().insert(HOST, host);
    let response = connection.send(request).await.map_err(|error| failed(&error))?;
    let (parts, body) = response.into_parts();
    let reader = BodyReader::new(body, &parts.headers);
    let (body, end) = reader.read_to_end(MAX_PAGE_BYTES).await.map_err(|error| failed(&error))?;
    client.release(connection, &parts.headers, end);
    if parts.status != StatusCode::OK {
        return Err(ListError::Status { status: parts.status });
    }
    Ok(body)
}
