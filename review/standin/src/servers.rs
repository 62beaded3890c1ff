//! Stand-ins of the platform's list of servers and of the servers.

use std::collections::HashMap;
use std::io::BufReader;
use std::io::Write;
use std::net::SocketAddr;
use std::net::SocketAddrV4;
use std::net::TcpListener;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use crate::http;
use crate::http::Head;
use crate::wire;

/// Slots that every server tells.
const SLOTS: usize = 16;
const FAILURE_DOMAIN: &str = "zone-1";

/// A request that a server began to work on.
#[derive(Clone, Debug)]
pub struct Run {
    pub attempt: String,
    pub server: String,
    pub at: Duration,
    pub body: Vec<u8>,
}

/// What the servers did, for all of them.
pub struct Log {
    pub started: Instant,
    runs: Mutex<Vec<Run>>,
}

impl Log {
    pub fn new() -> Arc<Self> {
        Arc::new(Self { started: Instant::now(), runs: Mutex::default() })
    }

    pub fn runs(&self) -> Vec<Run> {
        self.runs.lock().expect("no thread panics").clone()
    }

    /// Number of runs by attempt.
    pub fn counts(&self) -> HashMap<String, usize> {
        let mut counts = HashMap::new();
        for run in self.runs() {
            *counts.entry(run.attempt).or_default() += 1;
        }
        counts
    }
}

/// A server of HTTP/1.1.
pub struct Server {
    pub id: String,
    pub service: &'static str,
    pub address: SocketAddrV4,
    log: Arc<Log>,
    /// Time for a request that is no stream, and between two events of a stream.
    work: Duration,
    /// Time by which work takes longer at the moment, as a factor.
    slowness: AtomicUsize,
    /// One in this many answers is followed by an extra one, which arrives late; 0 for none.
    extra_every: AtomicUsize,
    answers: AtomicUsize,
    pub extras: AtomicUsize,
    running: AtomicUsize,
    stopped: AtomicBool,
    connections: Mutex<Vec<TcpStream>>,
}

impl Server {
    pub fn start(id: &str, service: &'static str, work: Duration, log: &Arc<Log>) -> Arc<Self> {
        let (listener, address) = listen();
        let server = Arc::new(Self {
            id: id.into(),
            service,
            address,
            log: log.clone(),
            work,
            slowness: AtomicUsize::new(1),
            extra_every: AtomicUsize::new(0),
            answers: AtomicUsize::new(0),
            extras: AtomicUsize::new(0),
            running: AtomicUsize::new(0),
            stopped: AtomicBool::new(false),
            connections: Mutex::default(),
        });
        let accepting = server.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                if accepting.stopped.load(Ordering::SeqCst) {
                    return;
                }
                if let Ok(copy) = stream.try_clone() {
                    accepting.connections.lock().expect("no thread panics").push(copy);
                }
                let serving = accepting.clone();
                thread::spawn(move || serving.serve(stream));
            }
        });
        server
    }

    pub fn set_slowness(&self, factor: usize) {
        self.slowness.store(factor, Ordering::SeqCst);
    }

    pub fn set_extra_every(&self, every: usize) {
        self.extra_every.store(every, Ordering::SeqCst);
    }

    /// Ends the server with all its connections.
    pub fn stop(&self) {
        self.stopped.store(true, Ordering::SeqCst);
        for connection in self.connections.lock().expect("no thread panics").drain(..) {
            // It may be closed already.
            let _ = connection.shutdown(std::net::Shutdown::Both);
        }
        // Wakes the thread that accepts.
        let _ = TcpStream::connect(SocketAddr::V4(self.address));
    }

    fn serve(&self, stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let Ok(mut writer) = stream.try_clone() else {
            return;
        };
        let mut reader = BufReader::new(stream);
        let mut late_extra = None;
        while let Some(head) = http::read_head(&mut reader) {
            let (body, complete) = http::read_body(&mut reader, &head);
            if !complete || self.stopped.load(Ordering::SeqCst) {
                return;
            }
            if self.answer(&mut writer, &head, body, &mut late_extra).is_err() {
                return;
            }
        }
    }

    /// Answers a request. `late_extra` is the attempt whose extra answer arrives where the next one is expected.
    fn answer(
        &self,
        writer: &mut TcpStream,
        head: &Head,
        body: Vec<u8>,
        late_extra: &mut Option<String>,
    ) -> std::io::Result<()> {
        let attempt = head.get(wire::header("ATTEMPT_ID")).unwrap_or_default().to_owned();
        if head.get(wire::header("EXPECTED_INSTANCE")).is_some_and(|expected| expected != self.id) {
            return writer.write_all(self.refusal(&attempt, "421 Misdirected Request").as_bytes());
        }
        let at = self.log.started.elapsed();
        let run = Run { attempt: attempt.clone(), server: self.id.clone(), at, body };
        self.log.runs.lock().expect("no thread panics").push(run);
        if let Some(earlier) = late_extra.take() {
            self.extras.fetch_add(1, Ordering::SeqCst);
            // The request has been taken in, and its own answer follows.
            let _ = writer.write_all(self.refusal(&earlier, "503 Service Unavailable").as_bytes());
        }
        self.running.fetch_add(1, Ordering::SeqCst);
        let outcome = match events_of(head) {
            Some(events) => self.stream(writer, &attempt, events),
            None => {
                thread::sleep(self.work);
                let text = format!("done {attempt}");
                let head = self.head(&attempt, "200 OK");
                writer.write_all(format!("{head}content-length: {}\r\n\r\n{text}", text.len()).as_bytes())
            }
        };
        self.running.fetch_sub(1, Ordering::SeqCst);
        let number = self.answers.fetch_add(1, Ordering::SeqCst) + 1;
        let every = self.extra_every.load(Ordering::SeqCst);
        if every > 0 && number.is_multiple_of(every) {
            *late_extra = Some(attempt);
        }
        outcome
    }

    fn stream(&self, writer: &mut TcpStream, attempt: &str, events: usize) -> std::io::Result<()> {
        let head = self.head(attempt, "200 OK");
        writer.write_all(
            format!("{head}content-type: text/event-stream\r\ntransfer-encoding: chunked\r\n\r\n").as_bytes(),
        )?;
        for number in 1..=events {
            // The factor may change in the middle of an event.
            let mut done = Duration::ZERO;
            let step = Duration::from_millis(5);
            while done < self.work {
                thread::sleep(step);
                let slowness = self.slowness.load(Ordering::SeqCst).max(1);
                done += step / u32::try_from(slowness).unwrap_or(1);
            }
            let event = format!("id: {number}\ndata: {}\n\n", event(attempt, number));
            writer.write_all(format!("{:x}\r\n{event}\r\n", event.len()).as_bytes())?;
        }
        writer.write_all(b"0\r\n\r\n")
    }

    fn head(&self, attempt: &str, status: &str) -> String {
        let (id, load) = (wire::header("ATTEMPT_ID"), wire::header("SERVER_LOAD"));
        let signature = wire::header("SERVER_SIGNATURE");
        let running = self.running.load(Ordering::SeqCst);
        format!("HTTP/1.1 {status}\r\n{id}: {attempt}\r\n{signature}: s\r\n{load}: {running},0,{SLOTS}\r\n")
    }

    /// An answer that says that the server did not run a request.
    fn refusal(&self, attempt: &str, status: &str) -> String {
        let not_run = wire::header("NOT_EXECUTED");
        format!("{}{not_run}: 1\r\ncontent-length: 0\r\n\r\n", self.head(attempt, status))
    }
}

/// The data of an event of a stream.
pub fn event(attempt: &str, number: usize) -> String {
    format!("{attempt}/{number}")
}

/// Events of a stream, one for each ten of the tokens that its caller allows; `None` if the request asks for no stream.
fn events_of(head: &Head) -> Option<usize> {
    let usage = head.get(wire::header("TOKEN_USAGE"))?;
    usage.split(',').nth(1)?.trim().parse::<usize>().ok().map(|tokens| tokens / 10)
}

fn listen() -> (TcpListener, SocketAddrV4) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("loopback can be bound");
    let Ok(SocketAddr::V4(address)) = listener.local_addr() else {
        unreachable!("an IPv4 address was bound")
    };
    (listener, address)
}

/// The platform's list of servers.
pub struct List {
    pub address: SocketAddrV4,
    entries: Mutex<Vec<(Arc<Server>, &'static str)>>,
    /// An entry of another writer, as its bytes.
    foreign: Mutex<Option<Vec<u8>>>,
    pub reads: AtomicUsize,
}

impl List {
    pub fn start(servers: &[Arc<Server>]) -> Arc<Self> {
        let (listener, address) = listen();
        let entries = servers.iter().map(|server| (server.clone(), "ready")).collect();
        let list = Arc::new(Self {
            address,
            entries: Mutex::new(entries),
            foreign: Mutex::default(),
            reads: AtomicUsize::new(0),
        });
        let serving = list.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let list = serving.clone();
                thread::spawn(move || list.serve(stream));
            }
        });
        list
    }

    pub fn set_state(&self, id: &str, state: &'static str) {
        for (server, known) in self.entries.lock().expect("no thread panics").iter_mut() {
            if server.id == id {
                *known = state;
            }
        }
    }

    pub fn remove(&self, id: &str) {
        self.entries.lock().expect("no thread panics").retain(|(server, _)| server.id != id);
    }

    pub fn set_foreign(&self, entry: Option<Vec<u8>>) {
        *self.foreign.lock().expect("no thread panics") = entry;
    }

    fn serve(&self, stream: TcpStream) {
        let Ok(mut writer) = stream.try_clone() else {
            return;
        };
        let mut reader = BufReader::new(stream);
        while http::read_head(&mut reader).is_some() {
            self.reads.fetch_add(1, Ordering::SeqCst);
            let body = self.page();
            let head = format!(
                "HTTP/1.1 200 OK\r\ncontent-type: application/json\r\ncontent-length: {}\r\n\r\n",
                body.len()
            );
            if writer.write_all(&[head.as_bytes(), &body].concat()).is_err() {
                return;
            }
        }
    }

    fn page(&self) -> Vec<u8> {
        let names = wire::fields();
        let entries = self.entries.lock().expect("no thread panics");
        let mut rows: Vec<Vec<u8>> = entries
            .iter()
            .map(|(server, state)| {
                format!(
                    r#"{{"service":"{}","address":"{}","zone":"{FAILURE_DOMAIN}","version":"v1","slots":{SLOTS},"state":"{state}","{}":0,"id":"{}"}}"#,
                    server.service, server.address, names.cold, server.id
                )
                .into_bytes()
            })
            .collect();
        rows.extend(self.foreign.lock().expect("no thread panics").clone());
        let mut page = br#"{"instances":["#.to_vec();
        page.extend(rows.join(&b','));
        page.extend(format!(r#"],"{}":null}}"#, names.next).into_bytes());
        page
    }
}
