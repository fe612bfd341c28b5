//! Starts the real programs on the loopback address as a cluster for a test.

use std::net::{SocketAddr, TcpListener};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::{Mutex, PoisonError};
use std::time::{Duration, Instant};

use nix::sys::signal::{Signal, kill};
use nix::unistd::Pid;
use radishstair_core::config::change::{self, Op, Section};
use radishstair_core::config::{Document, check};
use radishstair_core::kernel::Status;
use radishstair_ctl::commit::commit;
use radishstair_load::deploy::{Addresses, Plan, Process, Runners, expand};
use radishstair_load::http::{Caller, Response};
use radishstair_wire::platform::Client;
use serde_json::{Value, json};
use sha2::{Digest, Sha256};

/// Token shared by the entry hosts of every cluster.
pub const PEER_TOKEN: &str = "token-of-the-suite";
/// Longest wait for a condition that must become true.
const WAIT_TIMEOUT: Duration = Duration::from_secs(30);
/// Number of ports reserved for one cluster.
const PORTS_PER_CLUSTER: u16 = 60;

/// A running cluster; dropping it kills all its processes.
pub struct Cluster {
    /// Addresses of all processes.
    pub addresses: Addresses,
    entries: Vec<Child>,
    others: Vec<Child>,
    processes: Vec<Process>,
    folder: PathBuf,
}

/// Describes a cluster before it is started.
pub struct Builder {
    plan: Plan,
    configuration: Value,
    connections: Option<usize>,
    absent: Vec<&'static str>,
}

/// A cluster of two zones, each with two entry hosts, an engine and a ledger service.
pub fn cluster() -> Builder {
    let configuration = json!({
        "settings": { "usage_window": "2s", "usage_grace": "1s" },
        "tiers": [
            { "name": "posting", "priority": 0, "target": "500ms", "patience": "3s", "protected": true, "floor": 10 },
            { "name": "chat", "priority": 2, "target": "1s", "patience": "20s", "floor": 10 }
        ],
        "classes": [
            { "name": "posting", "mode": "once", "path": "/ledger/postings" },
            { "name": "balance", "mode": "repeatable", "path": "/ledger/balances" },
            { "name": "chat", "mode": "generate" }
        ],
        "customers": [{ "name": "coop" }, { "name": "other" }],
        "keys": [key("coop-key", "coop", "rsk-coop"), key("other-key", "other", "rsk-other")],
        "pools": [
            { "name": "ledger", "labels": { "kind": "ledger" } },
            { "name": "engines", "labels": { "kind": "engine" }, "models": ["m"], "least": 1, "most": 4 }
        ],
        "selectors": [
            { "name": "postings", "rank": 1, "match": { "class": "posting" }, "tier": "posting", "pools": { "kind": "ledger" } },
            { "name": "balances", "rank": 2, "match": { "class": "balance" }, "tier": "posting", "pools": { "kind": "ledger" } },
            { "name": "chats", "rank": 3, "match": { "class": "chat" }, "tier": "chat", "pools": { "kind": "engine" } }
        ]
    });
    let runners = |pool: &str, slots| Runners {
        pool: pool.into(),
        each: 1,
        slots,
    };
    let plan = Plan {
        name: "suite".into(),
        base_port: 0,
        zones: vec!["zone-a".into(), "zone-b".into()],
        entries: 2,
        engines: vec![runners("engines", 8)],
        plain: vec![runners("ledger", 32)],
        fenced: Vec::new(),
    };
    Builder {
        plan,
        configuration,
        connections: None,
        absent: Vec::new(),
    }
}

/// The configuration of a caller's key, which contains only its hash.
pub fn key(name: &str, customer: &str, secret: &str) -> Value {
    let hash = hex::encode(Sha256::digest(secret.as_bytes()));
    json!({ "name": name, "customer": customer, "hash": hash })
}

impl Builder {
    /// Changes the deployment plan, such as the number of hosts.
    pub fn plan(mut self, change: impl FnOnce(&mut Plan)) -> Self {
        change(&mut self.plan);
        self
    }

    /// Limits the connections of each entry host.
    pub fn limit_connections(mut self, max_connections: usize) -> Self {
        self.connections = Some(max_connections);
        self
    }

    /// Leaves programs of this name out, so that a test can listen at their addresses.
    pub fn without(mut self, program: &'static str) -> Self {
        self.absent.push(program);
        self
    }

    /// Changes the initial configuration.
    pub fn configuration(mut self, change: impl FnOnce(&mut Value)) -> Self {
        change(&mut self.configuration);
        self
    }

    /// Starts all processes and waits until every entry host is ready.
    pub fn start(mut self) -> Cluster {
        self.plan.base_port = free_ports();
        let (mut processes, addresses) = expand(&self.plan, PEER_TOKEN);
        if let Some(max_connections) = self.connections {
            let entries = processes
                .iter_mut()
                .filter(|process| process.program == "radishstair-entry");
            entries.for_each(|process| process.settings["connections"] = max_connections.into());
        }
        let folder = std::env::temp_dir().join(format!(
            "radishstair-{}-{}",
            std::process::id(),
            self.plan.base_port
        ));
        std::fs::create_dir_all(&folder).expect("a folder for settings");
        let mut cluster = Cluster {
            addresses,
            entries: Vec::new(),
            others: Vec::new(),
            processes,
            folder,
        };
        for index in 0..cluster.processes.len() {
            if self.absent.contains(&cluster.processes[index].program.as_str()) {
                continue;
            }
            let child = cluster.spawn(index);
            match cluster.processes[index].program.as_str() {
                "radishstair-entry" => cluster.entries.push(child),
                _ => cluster.others.push(child),
            }
        }
        cluster.apply_configuration(&self.configuration);
        cluster.wait_until("every host serves", |cluster| {
            (0..cluster.entries.len()).all(|index| cluster.is_ready(index))
        });
        cluster
    }
}

/// First of a block of ports that are free and not reserved by another test.
///
/// The last port of a block stays bound until the process ends, so that another run of the suite
/// does not take the ports of a cluster whose processes have not bound them yet.
fn free_ports() -> u16 {
    static NEXT: Mutex<u16> = Mutex::new(11_000);
    static RESERVED: Mutex<Vec<TcpListener>> = Mutex::new(Vec::new());
    let mut next = NEXT.lock().unwrap_or_else(|poisoned| poisoned.into_inner());
    loop {
        let base = *next;
        *next += PORTS_PER_CLUSTER;
        assert!(base < 32_000, "no free ports");
        let last = base + PORTS_PER_CLUSTER - 1;
        let Ok(reservation) = TcpListener::bind(("127.0.0.1", last)) else {
            continue;
        };
        if (base..last).all(|port| TcpListener::bind(("127.0.0.1", port)).is_ok()) {
            let mut reserved = RESERVED.lock().unwrap_or_else(PoisonError::into_inner);
            reserved.push(reservation);
            return base;
        }
    }
}

fn program(name: &str) -> &'static str {
    match name {
        "radishstair-entry" => env!("CARGO_BIN_EXE_radishstair-entry"),
        "standin-engine" => env!("CARGO_BIN_EXE_standin-engine"),
        "standin-plain" => env!("CARGO_BIN_EXE_standin-plain"),
        _ => env!("CARGO_BIN_EXE_standin-platform"),
    }
}

impl Cluster {
    fn spawn(&self, index: usize) -> Child {
        let process = &self.processes[index];
        let path = self.folder.join(format!("{}.json", process.name));
        std::fs::write(&path, process.settings.to_string()).expect("settings are written");
        let log = std::fs::File::options()
            .create(true)
            .append(true)
            .open(self.folder.join(format!("{}.log", process.name)))
            .expect("a log file");
        Command::new(program(&process.program))
            .arg(path)
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(log)
            .spawn()
            .expect("the program starts")
    }

    /// Changes the stored configuration to equal a document.
    pub fn apply_configuration(&self, document: &Value) {
        let wanted = check::parse(&document.to_string()).expect("the configuration is valid");
        self.change_configuration(|current| change::diff(current, &wanted));
    }

    /// Commits a change as an operator would; returns its version.
    pub fn change_configuration(&self, make: impl Fn(&Document) -> Vec<Op>) -> u64 {
        let client = Client::new(&self.addresses.platform[0].to_string());
        let entry = commit(&client, "suite", "test", true, |document| Ok(make(document)));
        entry
            .expect("the change is accepted")
            .expect("the change is not empty")
            .version
    }

    /// Withdraws a caller's key; returns the version of the change.
    pub fn withdraw_key(&self, name: &str) -> u64 {
        self.change_configuration(|document| {
            let mut key = document.keys.get(name).expect("the key exists").clone();
            key.withdrawn = true;
            vec![Op {
                section: Section::Keys,
                name: name.into(),
                value: serde_json::to_value(key).ok(),
            }]
        })
    }

    /// A client with the key of customer `coop`.
    pub fn caller(&self) -> Caller {
        Caller::new("rsk-coop")
    }

    /// Address of an entry host for callers.
    pub fn entry_address(&self, index: usize) -> SocketAddr {
        self.addresses.entries[index]
    }

    /// Body of a posting, identified by its number.
    pub fn posting_body(&self, number: u64) -> Value {
        json!({ "account": "3.1.01-7", "cents": 4_129, "number": number })
    }

    /// Sends a posting to an entry host under an idempotency key.
    pub fn send_posting(
        &self,
        caller: &Caller,
        entry: usize,
        number: u64,
        idempotency_key: &str,
    ) -> Response {
        caller.call(
            self.entry_address(entry),
            "/ledger/postings",
            &self.posting_body(number),
            Some(idempotency_key),
        )
    }

    /// Body of a chat completion with an answer of a fixed number of tokens.
    pub fn chat_body(&self, prompt: &str, tokens: u32) -> Value {
        json!({ "model": "m", "stream": true, "messages": [{ "role": "user", "content": format!("{prompt} len={tokens}") }] })
    }

    /// Number of times that the ledger services ran a posting.
    pub fn run_count(&self, number: u64) -> usize {
        self.ledger_runs()
            .iter()
            .filter(|run| run["body"]["number"] == number)
            .count()
    }

    /// All calls that the ledger services ran.
    pub fn ledger_runs(&self) -> Vec<Value> {
        let logs = self
            .addresses
            .plain
            .iter()
            .map(|address| get(*address, "/control/log"));
        logs.flat_map(|log| log["runs"].as_array().cloned().unwrap_or_default())
            .collect()
    }

    /// Configures a fault at the stand-ins with these addresses.
    pub fn inject_fault(&self, addresses: &[SocketAddr], fault: &Value) {
        for address in addresses {
            post(*address, "/control/fault", fault);
        }
    }

    /// Configures a fault at the platform stand-in.
    pub fn inject_platform_fault(&self, fault: &Value) {
        self.inject_fault(&self.addresses.platform[..1], fault);
    }

    /// Log of the calls that the platform stand-in received.
    pub fn platform_log(&self) -> Value {
        post(self.addresses.platform[0], "/control/log", &json!({}))
    }

    /// Status of an entry host, if it answers.
    pub fn status(&self, index: usize) -> Option<Status> {
        radishstair_ctl::host::fetch_status(self.addresses.admin[index])
    }

    /// Value of an entry host's metric that has no labels.
    pub fn metric(&self, index: usize, name: &str) -> Option<f64> {
        let mut answer = ureq::get(format!("http://{}/metrics", self.addresses.admin[index]))
            .call()
            .ok()?;
        let text = answer.body_mut().read_to_string().ok()?;
        let line = text
            .lines()
            .find_map(|line| line.strip_prefix(name)?.strip_prefix(' '))?;
        line.parse().ok()
    }

    /// Whether an entry host trusts its configuration, has runners and sees all hosts.
    pub fn is_ready(&self, index: usize) -> bool {
        let peers = self.addresses.entries.len();
        let is_complete = |status: &Status| status.trusted && status.runners.0 > 0 && status.hosts == peers;
        self.status(index).as_ref().is_some_and(is_complete)
    }

    /// Waits until a condition is true.
    pub fn wait_until(&self, what: &str, condition: impl Fn(&Self) -> bool) {
        let deadline = Instant::now() + WAIT_TIMEOUT;
        while !condition(self) {
            assert!(
                Instant::now() < deadline,
                "timed out waiting until {what}; logs in {}",
                self.folder.display()
            );
            std::thread::sleep(Duration::from_millis(50));
        }
    }

    /// The logs of all processes.
    pub fn logs(&self) -> String {
        let read_log =
            |process: &Process| std::fs::read_to_string(self.folder.join(format!("{}.log", process.name)));
        self.processes
            .iter()
            .filter_map(|process| read_log(process).ok())
            .collect()
    }

    /// Address of an entry host for its peers.
    pub fn peer_address(&self, index: usize) -> String {
        let first_entry = self.processes.len() - self.entries.len();
        let settings = &self.processes[first_entry + index].settings;
        settings["peer_listen"].as_str().expect("an address").to_string()
    }

    /// Sends a signal to an entry host.
    pub fn send_signal(&self, index: usize, signal: Signal) {
        let pid = Pid::from_raw(self.entries[index].id() as i32);
        kill(pid, signal).expect("the process exists");
    }

    /// Suspends an entry host with SIGSTOP and waits until all its threads have stopped. While
    /// one of them waits for a processor, the others keep running.
    pub fn freeze(&self, index: usize) {
        self.send_signal(index, Signal::SIGSTOP);
        let tasks = format!("/proc/{}/task", self.entries[index].id());
        self.wait_until("all threads have stopped", |_| {
            let tasks = std::fs::read_dir(&tasks).expect("the process exists").flatten();
            let states = tasks.map(|task| std::fs::read_to_string(task.path().join("stat")));
            states.flatten().all(|stat| stat.contains(") T "))
        });
    }

    /// Kills an entry host and starts it again, without its former state.
    pub fn restart(&mut self, index: usize) {
        let _ = self.entries[index].kill();
        let _ = self.entries[index].wait();
        let first_entry = self.processes.len() - self.entries.len();
        self.entries[index] = self.spawn(first_entry + index);
    }

    /// Waits until an entry host exits; returns its exit code.
    pub fn exit_code(&mut self, index: usize) -> Option<i32> {
        self.entries[index].wait().expect("the process ends").code()
    }
}

impl Drop for Cluster {
    fn drop(&mut self) {
        for child in self.entries.iter_mut().chain(&mut self.others) {
            let _ = child.kill();
            let _ = child.wait();
        }
        if !std::thread::panicking() {
            let _ = std::fs::remove_dir_all(&self.folder);
        }
    }
}

/// Reads JSON from a stand-in.
pub fn get(address: SocketAddr, path: &str) -> Value {
    let answer = ureq::get(format!("http://{address}{path}")).call();
    let body = answer.expect("the stand-in answers").body_mut().read_to_vec();
    serde_json::from_slice(&body.expect("a body")).expect("JSON")
}

/// Sends JSON to a stand-in.
pub fn post(address: SocketAddr, path: &str, body: &Value) -> Value {
    let answer = ureq::post(format!("http://{address}{path}")).send(body.to_string());
    let body = answer.expect("the stand-in answers").body_mut().read_to_vec();
    serde_json::from_slice(&body.expect("a body")).expect("JSON")
}
