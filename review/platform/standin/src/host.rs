//! Hosts under test: separate processes, started with the command of the deploy file.

use std::io::Write;
use std::net::{SocketAddr, TcpListener};
use std::path::Path;
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

use crate::http::Client;

/// A free port of the loopback address, for TCP and UDP.
fn free_address() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    listener.local_addr().expect("an address")
}

pub struct Host {
    pub listen: SocketAddr,
    ready: SocketAddr,
    child: Child,
}

/// Places of a host's platform.
pub struct Places<'a> {
    pub folder: &'a Path,
    pub store: SocketAddr,
    pub duties: SocketAddr,
}

impl Host {
    /// Starts a host with the settings of `deploy/node.json`, filled in with the figures of the site.
    pub fn start(places: &Places<'_>, name: &str, zone: &str) -> Self {
        let (listen, ready, admin, peer) = (free_address(), free_address(), free_address(), free_address());
        let settings = places.folder.join(format!("{name}.json"));
        let text = format!(
            r#"{{
  "host": "{name}", "zone": "{zone}",
  "listen": "{listen}", "ready_listen": "{ready}", "admin_listen": "{admin}", "peer_listen": "{peer}",
  "store": "{}", "desk": "{}", "link_mbps": 1000.0, "first_start": true, "memory_mb": 260,
  "duties": {{ "usage": true, "orders": true }},
  "capacity": {{ "bursts": true }},
  "streams": {{ "copies": false, "moves": false }},
  "bounds": {{ "revocation_ms": 5000, "configuration_ms": 2000, "drain_ms": 2000, "repeat_ratio": 0.2,
    "repeat_slack": 56, "repeat_window_s": 10, "lease_ms": 3000, "usage_window_s": 5, "usage_due_s": 10,
    "grace_s": 8 }}
}}"#,
            places.store, places.duties
        );
        std::fs::write(&settings, text).expect("the settings can be written");
        let child = spawn(places.folder, name, &settings);
        Self { listen, ready, child }
    }

    /// Status of the question of the load balancer; 0 without a response.
    pub fn readiness(&self) -> u16 {
        let Some(mut client) = Client::connect(self.ready, Duration::from_millis(800)) else {
            return 0;
        };
        client.send(b"GET /radishstair/readiness HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n");
        client.receive().map_or(0, |response| response.status())
    }

    pub fn wait_until_ready(&self, limit: Duration) -> bool {
        let until = Instant::now() + limit;
        while Instant::now() < until {
            if self.readiness() == 200 {
                return true;
            }
            std::thread::sleep(Duration::from_millis(50));
        }
        false
    }

    pub fn signal(&self, name: &str) {
        let _ = Command::new("kill")
            .arg(format!("-{name}"))
            .arg(self.child.id().to_string())
            .status();
    }

    pub fn has_ended(&mut self) -> bool {
        !matches!(self.child.try_wait(), Ok(None))
    }
}

impl Drop for Host {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

fn spawn(folder: &Path, name: &str, settings: &Path) -> Child {
    let log = std::fs::File::options()
        .create(true)
        .append(true)
        .open(folder.join(format!("{name}.log")))
        .expect("the log can be opened");
    let child = Command::new("target/release/radishstair-platform")
        .arg(settings)
        .env("RADISHSTAIR_CONFIG", settings)
        .stdin(Stdio::null())
        .stdout(log.try_clone().expect("the log can be opened"))
        .stderr(log)
        .spawn()
        .expect("the program starts");
    // The script ends what is listed here, should this process be ended early.
    let pids = std::fs::File::options()
        .create(true)
        .append(true)
        .open(folder.join("pids"));
    if let Ok(mut pids) = pids {
        let _ = writeln!(pids, "{}", child.id());
    }
    child
}
