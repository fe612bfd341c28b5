//! The real programs on the loopback address, built up in a few lines.

use std::net::{SocketAddr, TcpListener};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::Mutex;
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

/// Shared by the entry hosts of every site.
pub const TOKEN: &str = "token-of-the-suite";
/// Longest wait for something that must come.
const PATIENCE: Duration = Duration::from_secs(30);
/// Ports of one site.
const BLOCK: u16 = 60;

/// A started deployment; everything is killed when it goes out of scope.
pub struct Site {
    /// Where everything is.
    pub addresses: Addresses,
    entries: Vec<Child>,
    others: Vec<Child>,
    processes: Vec<Process>,
    folder: PathBuf,
}

/// Describes a site in a few lines.
pub struct Builder {
    plan: Plan,
    configuration: Value,
    connections: Option<usize>,
}

/// Two zones of two entry hosts, an engine and a ledger service each.
pub fn site() -> Builder {
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
    }
}

/// A key's record; only its hash is in the configuration.
pub fn key(name: &str, customer: &str, secret: &str) -> Value {
    let hash = hex::encode(Sha256::digest(secret.as_bytes()));
    json!({ "name": name, "customer": customer, "hash": hash })
}

impl Builder {
    /// Other numbers of hosts.
    pub fn plan(mut self, change: impl FnOnce(&mut Plan)) -> Self {
        change(&mut self.plan);
        self
    }

    /// Another bound on the connections of each entry host.
    pub fn limit_connections(mut self, bound: usize) -> Self {
        self.connections = Some(bound);
        self
    }

    /// Another configuration.
    pub fn configuration(mut self, change: impl FnOnce(&mut Value)) -> Self {
        change(&mut self.configuration);
        self
    }

    /// Starts everything and waits until it serves.
    pub fn start(mut self) -> Site {
        self.plan.base_port = free_ports();
        let (mut processes, addresses) = expand(&self.plan, TOKEN);
        if let Some(bound) = self.connections {
            let entries = processes
                .iter_mut()
                .filter(|process| process.program == "radishstair-entry");
            entries.for_each(|process| process.settings["connections"] = bound.into());
        }
        let folder = std::env::temp_dir().join(format!(
            "radishstair-{}-{}",
            std::process::id(),
            self.plan.base_port
        ));
        std::fs::create_dir_all(&folder).expect("a folder for settings");
        let mut site = Site {
            addresses,
            entries: Vec::new(),
            others: Vec::new(),
            processes,
            folder,
        };
        for at in 0..site.processes.len() {
            let child = site.spawn(at);
            match site.processes[at].program.as_str() {
                "radishstair-entry" => site.entries.push(child),
                _ => site.others.push(child),
            }
        }
        site.apply(&self.configuration);
        site.wait("every host serves", |site| {
            (0..site.entries.len()).all(|at| site.serves(at))
        });
        site
    }
}

/// A block of ports that nobody uses now and no other test has taken.
fn free_ports() -> u16 {
    static NEXT: Mutex<u16> = Mutex::new(11_000);
    let mut next = NEXT.lock().unwrap_or_else(|poisoned| poisoned.into_inner());
    loop {
        let base = *next;
        *next += BLOCK;
        assert!(base < 32_000, "no free ports");
        if (base..base + BLOCK).all(|port| TcpListener::bind(("127.0.0.1", port)).is_ok()) {
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

impl Site {
    fn spawn(&self, at: usize) -> Child {
        let process = &self.processes[at];
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

    /// Makes the stored configuration like a document.
    pub fn apply(&self, document: &Value) {
        let wanted = check::parse(&document.to_string()).expect("the configuration is right");
        self.change(|current| change::diff(current, &wanted));
    }

    /// Makes a change as an operator does; gives back its version.
    pub fn change(&self, make: impl Fn(&Document) -> Vec<Op>) -> u64 {
        let client = Client::new(&self.addresses.platform[0].to_string());
        let entry = commit(&client, "suite", "test", true, |document| Ok(make(document)));
        entry
            .expect("the change is accepted")
            .expect("something changes")
            .version
    }

    /// Withdraws a key.
    pub fn withdraw(&self, name: &str) -> u64 {
        self.change(|document| {
            let mut key = document.keys.get(name).expect("the key is there").clone();
            key.withdrawn = true;
            vec![Op {
                section: Section::Keys,
                name: name.into(),
                value: serde_json::to_value(key).ok(),
            }]
        })
    }

    /// A caller of customer `coop`.
    pub fn caller(&self) -> Caller {
        Caller::new("rsk-coop")
    }

    /// An entry host's address for callers.
    pub fn entry(&self, at: usize) -> SocketAddr {
        self.addresses.entries[at]
    }

    /// A posting that can be told from others.
    pub fn posting(&self, number: u64) -> Value {
        json!({ "account": "3.1.01-7", "cents": 4_129, "number": number })
    }

    /// Sends a posting.
    pub fn post(&self, caller: &Caller, entry: usize, number: u64, once: &str) -> Response {
        caller.call(
            self.entry(entry),
            "/ledger/postings",
            &self.posting(number),
            Some(once),
        )
    }

    /// A chat with a fixed answer length.
    pub fn chat(&self, words: &str, tokens: u32) -> Value {
        json!({ "model": "m", "stream": true, "messages": [{ "role": "user", "content": format!("{words} len={tokens}") }] })
    }

    /// How often the ledger services ran a posting.
    pub fn runs(&self, number: u64) -> usize {
        self.ledger_runs()
            .iter()
            .filter(|run| run["body"]["number"] == number)
            .count()
    }

    /// Everything that the ledger services ran.
    pub fn ledger_runs(&self) -> Vec<Value> {
        let logs = self
            .addresses
            .plain
            .iter()
            .map(|address| get(*address, "/control/log"));
        logs.flat_map(|log| log["runs"].as_array().cloned().unwrap_or_default())
            .collect()
    }

    /// Has all stand-ins of a kind fail in a way.
    pub fn fault(&self, addresses: &[SocketAddr], fault: &Value) {
        for address in addresses {
            post(*address, "/control/fault", fault);
        }
    }

    /// Has the platform fail in a way.
    pub fn platform(&self, fault: &Value) {
        self.fault(&self.addresses.platform[..1], fault);
    }

    /// What the platform was asked.
    pub fn platform_log(&self) -> Value {
        post(self.addresses.platform[0], "/control/log", &json!({}))
    }

    /// Status of an entry host.
    pub fn status(&self, at: usize) -> Option<Status> {
        radishstair_ctl::host::status(self.addresses.admin[at])
    }

    /// A metric of an entry host that has no labels.
    pub fn metric(&self, at: usize, name: &str) -> Option<f64> {
        let mut answer = ureq::get(format!("http://{}/metrics", self.addresses.admin[at]))
            .call()
            .ok()?;
        let text = answer.body_mut().read_to_string().ok()?;
        let line = text
            .lines()
            .find_map(|line| line.strip_prefix(name)?.strip_prefix(' '))?;
        line.parse().ok()
    }

    /// Whether an entry host serves callers.
    pub fn serves(&self, at: usize) -> bool {
        let peers = self.addresses.entries.len();
        let full = |status: &Status| status.trusted && status.runners.0 > 0 && status.hosts == peers;
        self.status(at).as_ref().is_some_and(full)
    }

    /// Waits until something holds.
    pub fn wait(&self, what: &str, holds: impl Fn(&Self) -> bool) {
        let until = Instant::now() + PATIENCE;
        while !holds(self) {
            assert!(
                Instant::now() < until,
                "in vain waited until {what}; logs in {}",
                self.folder.display()
            );
            std::thread::sleep(Duration::from_millis(50));
        }
    }

    /// All logs of all processes.
    pub fn logs(&self) -> String {
        let read =
            |process: &Process| std::fs::read_to_string(self.folder.join(format!("{}.log", process.name)));
        self.processes
            .iter()
            .filter_map(|process| read(process).ok())
            .collect()
    }

    /// Address of an entry host for its peers.
    pub fn peer_address(&self, at: usize) -> String {
        let first = self.processes.len() - self.entries.len();
        let settings = &self.processes[first + at].settings;
        settings["peer_listen"].as_str().expect("an address").to_string()
    }

    /// Sends a signal to an entry host.
    pub fn signal(&self, at: usize, signal: Signal) {
        let pid = Pid::from_raw(self.entries[at].id() as i32);
        kill(pid, signal).expect("the process is there");
    }

    /// Stops an entry host, and waits until none of its threads runs any more: one that
    /// waits for a processor lets the others run on until it gets one.
    pub fn freeze(&self, at: usize) {
        self.signal(at, Signal::SIGSTOP);
        let tasks = format!("/proc/{}/task", self.entries[at].id());
        self.wait("all threads stand still", |_| {
            let tasks = std::fs::read_dir(&tasks).expect("it is there").flatten();
            let states = tasks.map(|task| std::fs::read_to_string(task.path().join("stat")));
            states.flatten().all(|stat| stat.contains(") T "))
        });
    }

    /// Kills an entry host and starts it again with empty memory.
    pub fn restart(&mut self, at: usize) {
        let _ = self.entries[at].kill();
        let _ = self.entries[at].wait();
        let first = self.processes.len() - self.entries.len();
        self.entries[at] = self.spawn(first + at);
    }

    /// Waits for an entry host that was told to stop; its exit code.
    pub fn exit_code(&mut self, at: usize) -> Option<i32> {
        self.entries[at].wait().expect("the process ends").code()
    }
}

impl Drop for Site {
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
