//! Test double of the platform's store: an append-only log per topic, with the latest record of each key.

use std::collections::{BTreeMap, HashMap, HashSet};
use std::io::{BufReader, Write};
use std::net::{Ipv4Addr, SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use serde_json::json;

use super::http::{Head, read_body, read_head};

/// Records in a page of the latest ones; few, so that tests cover pagination.
const DEFAULT_PAGE_RECORDS: usize = 3;

/// Maximum kilobytes that a read returns if the request sets no limit.
const DEFAULT_READ_KB: u64 = 1_024;

/// Splits the target of a request into its path and its query parameters.
fn split_target(head: &Head) -> (&str, HashMap<&str, &str>) {
    let (path, query) = head.line_part(1).split_once('?').unwrap_or((head.line_part(1), ""));
    (path, query.split('&').filter_map(|pair| pair.split_once('=')).collect())
}

/// Fault that the store injects.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum StoreFault {
    /// Responds with 503 to each request and does nothing else.
    Busy,
    /// Performs appends, but closes the connection without a response; reads work.
    LosesAppends,
    /// No fault.
    #[default]
    None,
    /// Resets the connection of each request.
    Resets,
    /// Accepts requests and sends no response.
    Silent,
}

#[derive(Clone, Debug, Default)]
struct Topic {
    first: u64,
    records: Vec<Vec<u8>>,
    newest: BTreeMap<String, (Vec<u8>, u64)>,
}

#[derive(Debug, Default)]
struct State {
    topics: HashMap<String, Topic>,
    fault: StoreFault,
    /// Topics for which each request gets a 503.
    busy: HashSet<String>,
    calls: Vec<String>,
    /// Time that each append of a gateway takes; appends to a topic are handled one at a time.
    append_time: Duration,
    /// When the queued appends to each topic will be done.
    appends_done_at: HashMap<String, Instant>,
    /// Most records in a page of the latest ones.
    page_records: usize,
    /// Number of restores from a snapshot.
    era: u32,
}

/// A snapshot of all topics of a store.
#[derive(Clone, Debug)]
pub struct StoreSnapshot(HashMap<String, Topic>);

/// A store that runs in this process. Clones share its state.
#[derive(Clone, Debug)]
pub struct Store {
    /// Listening address.
    pub addr: SocketAddr,
    state: Arc<(Mutex<State>, Condvar)>,
}

type Reply = (u16, Vec<u8>);

impl Store {
    /// Starts a store.
    ///
    /// # Panics
    ///
    /// If no port can be bound.
    pub fn start() -> Self {
        let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).expect("a free port");
        let addr = listener.local_addr().expect("an address");
        let store = Self { addr, state: Arc::default() };
        store.set_page_records(DEFAULT_PAGE_RECORDS);
        let serving = store.clone();
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = serving.clone();
                std::thread::spawn(move || store.serve(stream));
            }
        });
        store
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Sets the fault for all later requests.
    pub fn set_fault(&self, fault: StoreFault) {
        self.lock().fault = fault;
        self.state.1.notify_all();
    }

    /// Sets whether requests for a topic get a 503 and have no effect.
    pub fn set_busy(&self, topic: &str, is_busy: bool) {
        let mut state = self.lock();
        match is_busy {
            true => state.busy.insert(topic.to_owned()),
            false => state.busy.remove(topic),
        };
    }

    /// Sets the number of records in a page of the latest ones.
    pub fn set_page_records(&self, records: usize) {
        self.lock().page_records = records;
    }

    /// Sets the time that each append of a gateway takes.
    pub fn set_append_time(&self, time: Duration) {
        self.lock().append_time = time;
    }

    /// Appends a record as the operator or an engine would; without a value it deletes the key.
    pub fn put(&self, topic: &str, key: &str, value: Option<&str>) {
        self.lock().append(topic, vec![encode_record(key, value.unwrap_or_default())]);
        self.state.1.notify_all();
    }

    /// Appends records of one key atomically, so that a read returns all of them even on a loaded machine.
    pub fn put_all(&self, topic: &str, key: &str, values: &[String]) {
        let records = values.iter().map(|value| encode_record(key, value)).collect();
        self.lock().append(topic, records);
        self.state.1.notify_all();
    }

    /// Returns the latest value of a key.
    pub fn newest(&self, topic: &str, key: &str) -> Option<String> {
        let state = self.lock();
        let (value, _) = state.topics.get(topic)?.newest.get(key)?;
        Some(String::from_utf8_lossy(value).into_owned())
    }

    /// Returns the values of all records of a key, oldest first.
    pub fn values(&self, topic: &str, key: &str) -> Vec<String> {
        let state = self.lock();
        let records = state.topics.get(topic).map(|t| t.records.as_slice()).unwrap_or_default();
        let of_key = records.iter().filter_map(|r| split_record(r)).filter(|(k, _)| *k == key);
        of_key.map(|(_, value)| String::from_utf8_lossy(value).into_owned()).collect()
    }

    /// Removes the records of a topic from its log; the latest value of each key stays.
    pub fn drop_records(&self, topic: &str) {
        let mut state = self.lock();
        let topic = state.topics.entry(topic.to_owned()).or_default();
        topic.first += topic.records.len() as u64;
        topic.records.clear();
    }

    /// Returns a snapshot of all topics.
    pub fn snapshot(&self) -> StoreSnapshot {
        StoreSnapshot(self.lock().topics.clone())
    }

    /// Restores a snapshot: later records are lost, and their offsets are assigned again.
    pub fn restore(&self, snapshot: &StoreSnapshot) {
        let mut state = self.lock();
        state.topics = snapshot.0.clone();
        state.era += 1;
        drop(state);
        self.state.1.notify_all();
    }

    /// Returns the keys of a topic that have a value.
    pub fn keys(&self, topic: &str) -> Vec<String> {
        let state = self.lock();
        state.topics.get(topic).map(|t| t.newest.keys().cloned().collect()).unwrap_or_default()
    }

    /// Returns all requests so far, each as its method and target.
    pub fn calls(&self) -> Vec<String> {
        self.lock().calls.clone()
    }

    fn serve(&self, stream: TcpStream) {
        let Ok(mut out) = stream.try_clone() else { return };
        let mut stream = BufReader::new(stream);
        while let Ok(Some(head)) = read_head(&mut stream) {
            let Ok(body) = read_body(&mut stream, &head, false) else { return };
            let (fault, era) = {
                let mut state = self.lock();
                state.calls.push(format!("{} {}", head.line_part(0), head.line_part(1)));
                let is_busy = split_target(&head)
                    .1
                    .get("topic")
                    .is_some_and(|topic| state.busy.contains(*topic));
                (if is_busy { StoreFault::Busy } else { state.fault }, state.era)
            };
            let reply = match fault {
                StoreFault::Silent => {
                    self.wait_for_change(fault);
                    return;
                }
                StoreFault::Resets => return reset(&out),
                StoreFault::Busy => (503, Vec::new()),
                StoreFault::LosesAppends if head.line_part(0) == "POST" => {
                    self.respond(&head, &body);
                    return;
                }
                StoreFault::LosesAppends | StoreFault::None => self.respond(&head, &body),
            };
            let text = format!(
                "HTTP/1.1 {} Any\r\nStore-Era: {era}\r\nContent-Length: {}\r\n\r\n",
                reply.0,
                reply.1.len()
            );
            if out.write_all(text.as_bytes()).and_then(|()| out.write_all(&reply.1)).is_err() {
                return;
            }
        }
    }

    fn wait_for_change(&self, from: StoreFault) {
        let mut state = self.lock();
        while state.fault == from {
            state = self.state.1.wait(state).unwrap_or_else(PoisonError::into_inner);
        }
    }

    fn respond(&self, head: &Head, body: &[u8]) -> Reply {
        let (path, query) = split_target(head);
        let topic = query.get("topic").copied().unwrap_or_default();
        let number = |name: &str| query.get(name).and_then(|n| n.parse::<u64>().ok());
        match path {
            "/log-append" => {
                let done_at = self.lock().enqueue_append(topic);
                std::thread::sleep(done_at.saturating_duration_since(Instant::now()));
                let reply = self.lock().checked_append(topic, number("at"), body);
                self.state.1.notify_all();
                reply
            }
            "/log-read" => {
                let from = number("from").unwrap_or(0);
                let max = number("max_kb").unwrap_or(DEFAULT_READ_KB) * 1024;
                self.read(topic, from, max as usize, number("wait_ms").unwrap_or(0))
            }
            "/log-newest" => {
                let after = query.get("after").map(|after| percent_decoded(after));
                self.lock().page(topic, after.as_deref())
            }
            _ => (404, Vec::new()),
        }
    }

    fn read(&self, topic: &str, from: u64, max: usize, wait_ms: u64) -> Reply {
        let until = Instant::now() + Duration::from_millis(wait_ms);
        let mut state = self.lock();
        loop {
            let found = state.read(topic, from, max);
            let time_left = until.saturating_duration_since(Instant::now());
            match found {
                Some(reply) => return reply,
                None if time_left.is_zero() => return state.read_empty(topic),
                None => {
                    let waited = self.state.1.wait_timeout(state, time_left);
                    state = waited.unwrap_or_else(PoisonError::into_inner).0;
                }
            }
        }
    }
}

impl State {
    fn append(&mut self, topic: &str, records: Vec<Vec<u8>>) -> Reply {
        let topic = self.topics.entry(topic.to_owned()).or_default();
        let offset = topic.end();
        for record in records {
            let at = topic.end();
            match split_record(&record) {
                Some((key, [])) => {
                    topic.newest.remove(key);
                }
                Some((key, value)) => {
                    topic.newest.insert(key.to_owned(), (value.to_vec(), at));
                }
                None => {}
            }
            topic.records.push(record);
        }
        (200, json!({"offset": offset, "end": topic.end()}).to_string().into_bytes())
    }

    /// Returns when an append that arrives now is done.
    fn enqueue_append(&mut self, topic: &str) -> Instant {
        let queued = self.appends_done_at.entry(topic.to_owned()).or_insert_with(Instant::now);
        *queued = (*queued).max(Instant::now()) + self.append_time;
        *queued
    }

    fn checked_append(&mut self, topic: &str, at: Option<u64>, body: &[u8]) -> Reply {
        let end = self.topics.get(topic).map_or(0, Topic::end);
        if at.is_some_and(|at| at != end) {
            return (412, json!({"end": end}).to_string().into_bytes());
        }
        let mut records = Vec::new();
        let mut rest = body;
        while let Some((len, after)) = rest.split_first_chunk::<4>() {
            let len = u32::from_be_bytes(*len) as usize;
            let Some(record) = after.get(..len) else { return (400, Vec::new()) };
            records.push(record.to_vec());
            rest = &after[len..];
        }
        self.append(topic, records)
    }

    /// Returns records of up to `max` bytes in total, but at least one; `None` if there are none from this offset.
    fn read(&self, name: &str, from: u64, max: usize) -> Option<Reply> {
        let topic = self.topics.get(name)?;
        if from < topic.first || from > topic.end() {
            return Some((410, json!({"first": topic.first}).to_string().into_bytes()));
        }
        let records = topic.records.get((from - topic.first) as usize..)?;
        if records.is_empty() {
            return None;
        }
        let mut body = topic.bounds();
        for (i, record) in records.iter().enumerate() {
            if i > 0 && body.len() + record.len() > max {
                break;
            }
            body.extend_from_slice(&(record.len() as u32).to_be_bytes());
            body.extend_from_slice(record);
        }
        Some((200, body))
    }

    fn read_empty(&self, name: &str) -> Reply {
        (200, self.topics.get(name).map_or_else(|| vec![0; 16], Topic::bounds))
    }

    fn page(&self, name: &str, after: Option<&str>) -> Reply {
        let empty = Topic::default();
        let topic = self.topics.get(name).unwrap_or(&empty);
        let later = |key: &str| after.is_none_or(|after| key > after);
        let rest: Vec<_> = topic.newest.iter().filter(|(key, _)| later(key)).collect();
        let items: Vec<_> = rest
            .iter()
            .take(self.page_records)
            .map(|(key, (value, offset))| json!({"key": key, "value": base64(value), "offset": offset}))
            .collect();
        let page =
            json!({"items": items, "has_more": rest.len() > self.page_records, "end": topic.end()});
        (200, page.to_string().into_bytes())
    }
}

impl Topic {
    fn end(&self) -> u64 {
        self.first + self.records.len() as u64
    }

    fn bounds(&self) -> Vec<u8> {
        [self.end().to_be_bytes(), self.first.to_be_bytes()].concat()
    }
}

/// Decodes percent-encoding in a query parameter.
fn percent_decoded(text: &str) -> String {
    let mut bytes = Vec::new();
    let mut rest = text.as_bytes();
    while let Some((first, after)) = rest.split_first() {
        let hex = after.get(..2).and_then(|hex| std::str::from_utf8(hex).ok());
        let byte = hex.and_then(|hex| u8::from_str_radix(hex, 16).ok());
        (rest, _) = match (first, byte) {
            (b'%', Some(byte)) => (&after[2..], bytes.push(byte)),
            _ => (after, bytes.push(*first)),
        };
    }
    String::from_utf8_lossy(&bytes).into_owned()
}

fn encode_record(key: &str, value: &str) -> Vec<u8> {
    let mut record = vec![key.len() as u8];
    record.extend_from_slice(key.as_bytes());
    record.extend_from_slice(value.as_bytes());
    record
}

fn split_record(record: &[u8]) -> Option<(&str, &[u8])> {
    let (len, rest) = record.split_first()?;
    let (key, value) = rest.split_at_checked(usize::from(*len))?;
    Some((std::str::from_utf8(key).ok()?, value))
}

fn base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for group in bytes.chunks(3) {
        let mut buf = [0; 3];
        buf[..group.len()].copy_from_slice(group);
        let n = u32::from_be_bytes([0, buf[0], buf[1], buf[2]]);
        for i in 0..4 {
            let digit = DIGITS[(n >> (18 - 6 * i)) as usize & 63] as char;
            text.push(if i <= group.len() { digit } else { '=' });
        }
    }
    text
}

/// Sets a connection to end with a TCP reset when it is dropped.
fn reset(stream: &TcpStream) {
    super::engine::reset_on_close(stream);
}
