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
        /// Name of the pool.
        pub pool: String,
        /// Runners per zone.
        pub each: u16,
        /// Calls that each runs at once.
        pub slots: u32,
    }
}

record! {
    /// Plan of a deployment.
    pub struct Plan {
        /// Name of the deployment.
        pub name: String,
        /// First port. Every address takes the next port, up to a few hundred.
        pub base_port: u16,
        /// Availability zones.
        pub zones: Vec<String>,
        /// Entry hosts per zone.
        pub entries: u16,
        /// Model engines by pool.
        #[serde(default)]
        pub engines: Vec<Runners>,
        /// Plain services by pool.
        #[serde(default)]
        pub plain: Vec<Runners>,
        /// Pools whose orders are refused if their fencing number is outdated.
        #[serde(default)]
        pub fenced: Vec<String>,
    }
}

radishstair_core::plain! {
    /// One process to start.
    pub struct Process {
        /// Name of the program.
        pub program: String,
        /// Name of the process and of its settings file.
        pub name: String,
        /// Contents of the settings file.
        pub settings: Value,
    }
}

/// Addresses of a deployment, for the tools that call it.
#[derive(Clone, Debug, Default, serde::Serialize, serde::Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Addresses {
    /// Addresses of the platform, one per zone.
    pub platform: Vec<SocketAddr>,
    /// Addresses of the entry hosts for callers.
    pub entries: Vec<SocketAddr>,
    /// Addresses of the entry hosts for operators.
    pub admin: Vec<SocketAddr>,
    /// Addresses of the engines.
    pub engines: Vec<SocketAddr>,
    /// Addresses of the plain services.
    pub plain: Vec<SocketAddr>,
}

struct Ports(u16);

impl Ports {
    fn next(&mut self) -> SocketAddr {
        self.0 += 1;
        SocketAddr::new(IpAddr::V4(Ipv4Addr::LOCALHOST), self.0 - 1)
    }
}

/// Returns the processes of a plan, in the order in which they start, and their addresses.
pub fn expand(plan: &Plan, token: &str) -> (Vec<Process>, Addresses) {
    let mut ports = Ports(plan.base_port);
    let mut addresses = Addresses {
        platform: plan.zones.iter().map(|_| ports.next()).collect(),
        ..Addresses::default()
    };
    let mut processes = Vec::new();
    let mut listings = Vec::new();
    for (program, group) in [("standin-engine", &plan.engines), ("standin-plain", &plan.plain)] {
        for runners in group {
            for zone in &plan.zones {
                for number in 0..runners.each {
                    let name = format!("{}-{zone}-{number}", runners.pool);
                    let address = ports.next();
                    let is_engine = program == "standin-engine";
                    let settings = match is_engine {
                        true => json!({ "name": name, "listen": address, "slots": runners.slots }),
                        false => json!({ "name": name, "listen": address }),
                    };
                    let list = if is_engine {
                        &mut addresses.engines
                    } else {
                        &mut addresses.plain
                    };
                    list.push(address);
                    listings.push(Listing {
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
    let platform = json!({ "listen": addresses.platform, "runners": listings, "fenced": plan.fenced });
    processes.insert(0, process("standin-platform", "platform", platform));
    add_entries(plan, token, &mut ports, &mut processes, &mut addresses);
    (processes, addresses)
}

fn add_entries(
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
    let peer_addresses: Vec<SocketAddr> = hosts.iter().map(|(.., [_, peer, _])| *peer).collect();
    for (zone_index, name, [listen, peer, admin]) in &hosts {
        let settings = json!({
            "host": name,
            "zone": plan.zones[*zone_index],
            "listen": listen,
            "peer_listen": peer,
            "admin_listen": admin,
            "peers": peer_addresses,
            "peer_token": token,
            "platform": addresses.platform[*zone_index],
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

/// Writes the settings files of all processes and of `radishctl`, the addresses, and a list of the
/// processes (program and name) in the order in which they start.
///
/// # Errors
///
/// If the folder cannot be written.
pub fn write(plan: &Plan, token: &str, folder: &Path) -> Result<Addresses> {
    std::fs::create_dir_all(folder).with_context(|| format!("creating {}", folder.display()))?;
    let (processes, addresses) = expand(plan, token);
    let mut start_list = String::new();
    for process in &processes {
        write_json(folder, &process.name, &process.settings)?;
        start_list.push_str(&format!("{} {}\n", process.program, process.name));
    }
    let operator_settings =
        json!({ "platform": addresses.platform[0], "who": "local", "hosts": addresses.admin });
    write_json(folder, "radishctl", &operator_settings)?;
    write_json(folder, "addresses", &serde_json::to_value(&addresses)?)?;
    std::fs::write(folder.join("processes"), start_list).context("writing the list of processes")?;
    Ok(addresses)
}

fn write_json(folder: &Path, name: &str, value: &Value) -> Result<()> {
    let path = folder.join(format!("{name}.json"));
    std::fs::write(&path, serde_json::to_string_pretty(value)?)
        .with_context(|| format!("writing {}", path.display()))
}
