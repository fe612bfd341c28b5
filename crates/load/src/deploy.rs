//! Settings files for a small deployment on the loopback address.

use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::path::Path;

use anyhow::{Context, Result};
use radishstair_core::record;
use radishstair_core::runner::Listing;
use serde_json::{Value, json};

record! {
    /// Runners of one pool.
    pub struct Runners {
        /// Pool.
        pub pool: String,
        /// How many a zone.
        pub each: u16,
        /// Calls that each can run at once.
        pub slots: u32,
    }
}

record! {
    /// What to deploy.
    pub struct Plan {
        /// Its name.
        pub name: String,
        /// First port; the next few hundred are used.
        pub base_port: u16,
        /// Availability zones.
        pub zones: Vec<String>,
        /// Entry hosts a zone.
        pub entries: u16,
        /// Model engines.
        #[serde(default)]
        pub engines: Vec<Runners>,
        /// Plain services.
        #[serde(default)]
        pub plain: Vec<Runners>,
        /// Pools whose orders are checked for fencing numbers.
        #[serde(default)]
        pub fenced: Vec<String>,
    }
}

radishstair_core::plain! {
    /// One process to start.
    pub struct Process {
        /// Program.
        pub program: String,
        /// Name, also of its settings file.
        pub name: String,
        /// Settings.
        pub settings: Value,
    }
}

/// Addresses of a deployment, for the tools that talk to it.
#[derive(Clone, Debug, Default, serde::Serialize, serde::Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Addresses {
    /// The platform, one address a zone.
    pub platform: Vec<SocketAddr>,
    /// Entry hosts' addresses for callers.
    pub entries: Vec<SocketAddr>,
    /// Entry hosts' addresses for operators.
    pub admin: Vec<SocketAddr>,
    /// Engines.
    pub engines: Vec<SocketAddr>,
    /// Plain services.
    pub plain: Vec<SocketAddr>,
}

struct Ports(u16);

impl Ports {
    fn next(&mut self) -> SocketAddr {
        self.0 += 1;
        SocketAddr::new(IpAddr::V4(Ipv4Addr::LOCALHOST), self.0 - 1)
    }
}

/// Lays a plan out: the processes and the addresses.
pub fn expand(plan: &Plan, token: &str) -> (Vec<Process>, Addresses) {
    let mut ports = Ports(plan.base_port);
    let mut addresses = Addresses {
        platform: plan.zones.iter().map(|_| ports.next()).collect(),
        ..Addresses::default()
    };
    let mut processes = Vec::new();
    let mut listed = Vec::new();
    for (program, group) in [("standin-engine", &plan.engines), ("standin-plain", &plan.plain)] {
        for runners in group {
            for zone in &plan.zones {
                for number in 0..runners.each {
                    let name = format!("{}-{zone}-{number}", runners.pool);
                    let address = ports.next();
                    let engine = program == "standin-engine";
                    let settings = match engine {
                        true => json!({ "name": name, "listen": address, "slots": runners.slots }),
                        false => json!({ "name": name, "listen": address }),
                    };
                    let seen = if engine {
                        &mut addresses.engines
                    } else {
                        &mut addresses.plain
                    };
                    seen.push(address);
                    listed.push(Listing {
                        name: name.clone(),
                        pool: runners.pool.clone(),
                        zone: zone.clone(),
                        address: address.to_string(),
                        slots: runners.slots,
                        leaving: false,
                    });
                    processes.push(process(program, &name, settings));
                }
            }
        }
    }
    let platform = json!({ "listen": addresses.platform, "runners": listed, "fenced": plan.fenced });
    processes.insert(0, process("standin-platform", "platform", platform));
    entries(plan, token, &mut ports, &mut processes, &mut addresses);
    (processes, addresses)
}

fn entries(
    plan: &Plan,
    token: &str,
    ports: &mut Ports,
    processes: &mut Vec<Process>,
    addresses: &mut Addresses,
) {
    let hosts: Vec<(usize, String, [SocketAddr; 3])> = plan
        .zones
        .iter()
        .enumerate()
        .flat_map(|(at, zone)| (0..plan.entries).map(move |number| (at, format!("entry-{zone}-{number}"))))
        .map(|(at, name)| (at, name, [ports.next(), ports.next(), ports.next()]))
        .collect();
    let peers: Vec<SocketAddr> = hosts.iter().map(|(.., [_, peer, _])| *peer).collect();
    for (zone, name, [listen, peer, admin]) in &hosts {
        let settings = json!({
            "host": name,
            "zone": plan.zones[*zone],
            "listen": listen,
            "peer_listen": peer,
            "admin_listen": admin,
            "peers": peers,
            "peer_token": token,
            "platform": addresses.platform[*zone],
            "linger": "1s",
        });
        addresses.entries.push(*listen);
        addresses.admin.push(*admin);
        processes.push(process("radishstair-entry", name, settings));
    }
}

fn process(program: &str, name: &str, settings: Value) -> Process {
    Process {
        program: program.to_string(),
        name: name.to_string(),
        settings,
    }
}

/// Writes all settings files, the operators' own, and a list of processes
/// (program, name) in the order in which they start.
///
/// # Errors
///
/// When the folder cannot be written.
pub fn write(plan: &Plan, token: &str, folder: &Path) -> Result<Addresses> {
    std::fs::create_dir_all(folder).with_context(|| format!("making {}", folder.display()))?;
    let (processes, addresses) = expand(plan, token);
    let mut list = String::new();
    for process in &processes {
        save(folder, &process.name, &process.settings)?;
        list.push_str(&format!("{} {}\n", process.program, process.name));
    }
    let operator = json!({ "platform": addresses.platform[0], "who": "local", "hosts": addresses.admin });
    save(folder, "radishctl", &operator)?;
    save(folder, "addresses", &serde_json::to_value(&addresses)?)?;
    std::fs::write(folder.join("processes"), list).context("writing the list of processes")?;
    Ok(addresses)
}

fn save(folder: &Path, name: &str, value: &Value) -> Result<()> {
    let path = folder.join(format!("{name}.json"));
    std::fs::write(&path, serde_json::to_string_pretty(value)?)
        .with_context(|| format!("writing {}", path.display()))
}
