//! Gossip between hosts about their load on runners, over UDP.
//!
//! These packets influence only which of several suitable runners gets a request, and
//! when a host fetches changes, so they need no acknowledgement.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use prost::Message;
use radishstair_core::id::digest;
use radishstair_core::proxy::crash;
use radishstair_core::proxy::fleet::brittle::Place;
use radishstair_core::proxy::gossip::update::{self, Update};
use radishstair_core::proxy::gossip::{self, CachedPrefix, Packet, summary};
use radishstair_core::proxy::origin;
use radishstair_core::proxy::reach::Report;
use radishstair_core::proxy::readers::{self, Host};
use tokio::net::UdpSocket;
use tokio::time::Instant;

use super::{ASSUMED_HOSTS, Shared, crashes, document, origins, task};

/// Maximum size of a datagram; the loads of 1,500 runners fit.
const MAX_DATAGRAM_BYTES: usize = 48 * 1024;

/// Kinds of datagrams in metrics.
const REPORT: &str = "report";
const RECORD: &str = "record";
const SUMMARY: &str = "summary";
const UPDATE: &str = "update";
const HINT: &str = "hint";
pub(super) const ORIGIN: &str = "origin";
pub(super) const CRASH: &str = "crash";

/// Maximum number of cached prefixes kept until the next packet to other zones. Further
/// ones are dropped, and sent when they are used again.
const MAX_PENDING_PREFIXES: usize = 1_024;

/// Time between two checks whether this host is a delegate of its zone.
const DELEGATE_CHECK_INTERVAL: Duration = Duration::from_secs(1);

/// Sends and receives packets until the process ends.
pub async fn run(shared: Arc<Shared>, socket: UdpSocket) {
    let socket = Arc::new(socket);
    let (own_shared, own_socket) = (shared.clone(), socket.clone());
    tokio::spawn(task::keep("gossip-receive", move || {
        receive(own_shared.clone(), own_socket.clone())
    }));
    tokio::spawn(send_summaries(shared.clone(), socket.clone()));
    tokio::spawn(origins::send(shared.clone(), socket.clone()));
    tokio::spawn(crashes::run(shared.clone(), socket.clone()));
    let mut sender = Sender {
        shared: shared.clone(),
        socket: socket.clone(),
        sequence: 0,
        updates: 0,
        next_update_at: Instant::now(),
        sent_idle_to_zone: false,
        sent_idle_to_remote: false,
        pending_prefixes: Vec::new(),
        last_peers: Arc::default(),
    };
    loop {
        let remote = shared.remote_peers();
        let pause = sender.send_due(&remote).await;
        // Changes are announced at once, without delaying the next packet.
        let next_packet = tokio::time::sleep(pause);
        let next_update = load_change(&shared, sender.next_update_at);
        tokio::pin!(next_packet, next_update);
        loop {
            tokio::select! {
                () = &mut next_packet => break,
                () = shared.store_changed.notified() => {
                    let hint = change_hint(&shared).encode_to_vec();
                    let informed = shared.peers_without_reader();
                    send(&shared, &socket, HINT, &hint, |peer| informed.binary_search(peer).is_ok()).await;
                }
                () = &mut next_update => {
                    sender.send_update(&remote).await;
                    next_update.set(load_change(&shared, sender.next_update_at));
                }
            }
        }
    }
}

/// Waits until this host's load has changed, and until the next update may be sent.
async fn load_change(shared: &Shared, next_update_at: Instant) {
    shared.load_changed.notified().await;
    tokio::time::sleep_until(next_update_at).await;
}

/// Sends packets to the other hosts, more often to those of this zone.
struct Sender {
    shared: Arc<Shared>,
    socket: Arc<UdpSocket>,
    sequence: u64,
    /// Number of updates since the last packet.
    updates: u32,
    next_update_at: Instant,
    /// Whether the last packet to this zone had no loads; such a packet is sent once.
    sent_idle_to_zone: bool,
    /// The same for other zones.
    sent_idle_to_remote: bool,
    /// Cached prefixes that were not sent to other zones yet.
    pending_prefixes: Vec<CachedPrefix>,
    /// Peers as of the last packet.
    last_peers: Arc<Vec<SocketAddr>>,
}

impl Sender {
    /// Sends the packets that are due; returns the time until the next one.
    async fn send_due(&mut self, remote: &[SocketAddr]) -> Duration {
        self.sequence += 1;
        self.updates = 0;
        let now = self.shared.now();
        let (mut packet, hosts) = {
            let mut state = self.shared.state();
            state.fleet.set_relaying(self.shared.relayed.open() > 0);
            (
                state.packet(now, self.shared.incarnation, self.sequence),
                state.hosts,
            )
        };
        self.update_zone_hosts();
        packet.link_mbps = self.shared.own_host().link_mbps;
        packet.relayed = self.shared.relayed.open() as u32;
        packet.is_stopping = self.shared.is_stopping();
        self.reset_for_new_peers();
        let near = self.near_hosts(remote);
        if gossip::uses_summaries(near) {
            if gossip::has_record(self.sequence) {
                self.send_record().await;
            }
            self.send_to_zone(&packet, remote).await;
        } else {
            packet.record = self.due_record(gossip::has_record(self.sequence));
            self.send_to_zone(&packet, remote).await;
            if gossip::is_cross_zone(self.sequence, hosts) {
                packet.record = self.due_record(gossip::has_record_cross_zone(self.sequence, hosts));
                self.send_to_remote(packet, remote).await;
            }
        }
        gossip::zone_interval(near, hosts)
    }

    /// Number of hosts in this zone, including this one.
    fn near_hosts(&self, remote: &[SocketAddr]) -> u32 {
        let peers = self.shared.peers.load();
        let near = peers.iter().filter(|peer| remote.binary_search(peer).is_err());
        near.count() as u32
    }

    /// Sends a packet to this zone, unless the last one had no loads either.
    async fn send_to_zone(&mut self, packet: &Packet, remote: &[SocketAddr]) {
        self.pending_prefixes.extend(packet.prefixes.iter().copied());
        self.pending_prefixes.truncate(MAX_PENDING_PREFIXES);
        if is_informative(packet) || !self.sent_idle_to_zone {
            self.sent_idle_to_zone = packet.loads.is_empty();
            let is_near = |peer: &SocketAddr| remote.binary_search(peer).is_err();
            let bytes = packet.encode_to_vec();
            send(&self.shared, &self.socket, REPORT, &bytes, is_near).await;
        }
    }

    /// Sends a packet to the other zones, unless the last one had no loads either.
    async fn send_to_remote(&mut self, packet: Packet, remote: &[SocketAddr]) {
        let packet = Packet {
            prefixes: std::mem::take(&mut self.pending_prefixes),
            ..packet
        };
        if is_informative(&packet) || !self.sent_idle_to_remote {
            self.sent_idle_to_remote = packet.loads.is_empty();
            let is_remote = |peer: &SocketAddr| remote.binary_search(peer).is_ok();
            let bytes = packet.encode_to_vec();
            send(&self.shared, &self.socket, REPORT, &bytes, is_remote).await;
        }
    }

    /// Sends the usage record to the hosts that need it: the holder of the duty, and the delegates of
    /// this zone, which apply for the duty first.
    async fn send_record(&self) {
        let packet = Packet {
            incarnation: self.shared.incarnation.0,
            sequence: self.sequence,
            record: self.due_record(true),
            record_only: true,
            ..Packet::default()
        };
        let own_zone = self.shared.own_host().zone;
        let delegates = readers::delegates(&self.shared.hosts());
        let of_zone = delegates
            .iter()
            .flatten()
            .filter(|delegate| delegate.zone == own_zone);
        let mut recipients: Vec<SocketAddr> = of_zone.map(|delegate| delegate.address).collect();
        recipients.extend(*self.shared.duty_holder());
        let bytes = packet.encode_to_vec();
        send(&self.shared, &self.socket, RECORD, &bytes, |peer| {
            recipients.contains(peer)
        })
        .await;
    }

    /// Tells the hosts of this zone on which runners this host's load has changed.
    async fn send_update(&mut self, remote: &[SocketAddr]) {
        let update = {
            let mut state = self.shared.state();
            state.fleet.set_relaying(self.shared.relayed.open() > 0);
            let now = self.shared.now();
            state.update(now, self.shared.incarnation, self.sequence, self.updates + 1)
        };
        let Some(update) = update else {
            return;
        };
        self.updates += 1;
        let is_near = |peer: &SocketAddr| remote.binary_search(peer).is_err();
        send(&self.shared, &self.socket, UPDATE, &update.to_datagram(), is_near).await;
        if update.concerns_all_zones() {
            // Hosts of all zones may send to a runner that could not be reached, has rejected a request
            // or shuts down. They do not need the loads.
            let report = Update {
                loads: Vec::new(),
                ..update
            };
            let is_remote = |peer: &SocketAddr| !is_near(peer);
            send(
                &self.shared,
                &self.socket,
                UPDATE,
                &report.to_datagram(),
                is_remote,
            )
            .await;
        }
        let near = self
            .shared
            .peers
            .load()
            .iter()
            .filter(|peer| is_near(peer))
            .count();
        self.next_update_at = Instant::now() + update::interval(near as u32);
    }

    /// Updates which hosts share the cold runners of this zone, and the brittle and limited ones of all zones.
    fn update_zone_hosts(&self) {
        let own = self.shared.own_host();
        let hosts = self.shared.hosts();
        let of_zone = hosts.iter().filter(|host| host.zone == own.zone);
        let of_zone = of_zone.map(|host| host_hash(*host)).collect();
        let mut all: Vec<u64> = match self.shared.knows_hosts() {
            true => hosts.iter().map(|host| host_hash(*host)).collect(),
            false => Vec::new(),
        };
        all.sort_unstable();
        let place = self.place(own);
        let now = self.shared.now();
        let mut state = self.shared.state();
        state.fleet.set_zone_hosts(host_hash(own), of_zone);
        state.fleet.set_place(place);
        state.fleet.set_hosts(now, host_hash(own), all);
    }

    /// Place of this host among all. Until it knows the others, it takes a small part.
    fn place(&self, own: Host) -> Place {
        if !self.shared.knows_hosts() {
            let hosts = ASSUMED_HOSTS as usize;
            return Place {
                position: host_hash(own) as usize % hosts,
                hosts,
            };
        }
        let mut all = self.shared.hosts();
        all.sort_unstable_by_key(|host| (host.zone, host.address));
        let position = all.iter().position(|host| host.address == own.address);
        Place {
            position: position.unwrap_or_default(),
            hosts: all.len(),
        }
    }

    /// If the peers have changed, lets the next packets be sent even without loads, so that
    /// new peers receive this host's zone and link.
    fn reset_for_new_peers(&mut self) {
        let peers = self.shared.peers.load_full();
        if !Arc::ptr_eq(&peers, &self.last_peers) && *peers != *self.last_peers {
            self.sent_idle_to_zone = false;
            self.sent_idle_to_remote = false;
        }
        self.last_peers = peers;
    }

    /// Serialized usage record of this run, or nothing if it is not due.
    fn due_record(&self, is_due: bool) -> Vec<u8> {
        if !is_due {
            return Vec::new();
        }
        // Serializing strings and numbers to JSON cannot fail.
        serde_json::to_vec(&self.shared.usage_record(false)).unwrap_or_default()
    }
}

fn host_hash(host: Host) -> u64 {
    address_hash(host.address)
}

/// Hash by which hosts name each other.
pub(super) fn address_hash(address: SocketAddr) -> u64 {
    digest(address.to_string().as_bytes())
}

/// Whether a packet has loads, a usage record, cached prefixes, lost services or limits, or says that its sender stops.
fn is_informative(packet: &Packet) -> bool {
    let has_load = !packet.loads.is_empty() || !packet.prefixes.is_empty();
    has_load
        || !packet.record.is_empty()
        || !packet.lost.is_empty()
        || !packet.limits.is_empty()
        || !packet.hold_offs.is_empty()
        || packet.is_stopping
}

/// Packet that announces changes read from the store.
fn change_hint(shared: &Shared) -> Packet {
    Packet {
        incarnation: shared.incarnation.0,
        change_hint: true,
        document_version: shared.document().version(),
        ..Packet::default()
    }
}

/// Sends a datagram of a kind to some of the peers.
async fn send(
    shared: &Shared,
    socket: &UdpSocket,
    kind: &'static str,
    bytes: &[u8],
    to: impl Fn(&SocketAddr) -> bool,
) {
    let own_address = shared.settings.load().peer_listen;
    let peers = shared.peers.load();
    let mut count = 0;
    for peer in peers.iter().filter(|peer| **peer != own_address && to(peer)) {
        // A lost packet is made up for by the next one.
        let _ = socket.send_to(bytes, *peer).await;
        count += 1;
    }
    shared.metrics.count_datagrams(kind, "sent", count, bytes.len());
}

/// Kind of a packet in metrics.
fn kind(packet: &Packet) -> &'static str {
    match packet {
        Packet {
            change_hint: true, ..
        } => HINT,
        Packet { summary: true, .. } => SUMMARY,
        Packet {
            record_only: true, ..
        } => RECORD,
        _ => REPORT,
    }
}

/// Sends summaries of this zone to the other zones, while this host is a delegate of its zone.
async fn send_summaries(shared: Arc<Shared>, socket: Arc<UdpSocket>) {
    let mut sequence = 0;
    loop {
        let hosts = shared.hosts();
        let own = shared.own_host();
        let delegates = readers::delegates(&hosts);
        let of_zone = |zone: &&Vec<Host>| zone.iter().any(|host| host.zone == own.zone);
        let own_delegates = delegates.iter().find(of_zone);
        let own_position =
            own_delegates.and_then(|zone| zone.iter().position(|host| host.address == own.address));
        let near = hosts.iter().filter(|host| host.zone == own.zone).count();
        let is_delegate = own_position.is_some() && gossip::uses_summaries(near as u32);
        shared.state().announced.set_collecting(is_delegate);
        let pause = match own_delegates {
            Some(own_delegates) if is_delegate => {
                sequence += 1;
                let mut summary = shared.state().summary(shared.now(), sequence);
                let pause = summary::pause(summary.encoded_len(), delegates.len());
                summary.next_ms = pause.as_millis() as u32;
                let bytes = summary.encode_to_vec();
                for zone in delegates.iter().filter(|zone| !of_zone(zone)) {
                    let delegate = zone[sequence as usize % zone.len()];
                    // A lost summary is made up for by the next one.
                    let _ = socket.send_to(&bytes, delegate.address).await;
                    shared.metrics.count_datagrams(SUMMARY, "sent", 1, bytes.len());
                }
                // The delegates of a zone send by turns.
                pause * own_delegates.len() as u32
            }
            _ => DELEGATE_CHECK_INTERVAL,
        };
        tokio::time::sleep(pause).await;
    }
}

/// Passes another zone's summary on to this zone, if it comes from that zone.
async fn pass_on(shared: &Shared, socket: &UdpSocket, bytes: &[u8], sender: SocketAddr) {
    let remote = shared.remote_peers();
    if remote.binary_search(&sender).is_ok() {
        send(shared, socket, SUMMARY, bytes, |peer| {
            remote.binary_search(peer).is_err()
        })
        .await;
    }
}

async fn receive(shared: Arc<Shared>, socket: Arc<UdpSocket>) {
    let mut bytes = vec![0; MAX_DATAGRAM_BYTES];
    loop {
        let Ok((length, peer)) = socket.recv_from(&mut bytes).await else {
            // A peer's closed port is reported as an error here; others may still send.
            tokio::task::yield_now().await;
            continue;
        };
        if let Some(update) = Update::from_datagram(&bytes[..length]) {
            shared.metrics.count_datagrams(UPDATE, "received", 1, length);
            let now = shared.now();
            shared.state().receive_update(now, update);
        } else if let Some(message) = origin::Message::from_datagram(&bytes[..length]) {
            shared.metrics.count_datagrams(ORIGIN, "received", 1, length);
            if let Some(answer) = origins::receive(&shared, &message) {
                let answer = answer.to_datagram();
                // The host that asks does so again if the answer is lost.
                let _ = socket.send_to(&answer, peer).await;
                shared.metrics.count_datagrams(ORIGIN, "sent", 1, answer.len());
            }
        } else if let Some(message) = crash::message::Message::from_datagram(&bytes[..length]) {
            shared.metrics.count_datagrams(CRASH, "received", 1, length);
            if let Some(answer) = crashes::receive(&shared, peer, &message) {
                let answer = answer.to_datagram();
                // Without it, the sender writes to the store what it has told.
                let _ = socket.send_to(&answer, peer).await;
                shared.metrics.count_datagrams(CRASH, "sent", 1, answer.len());
            }
        } else if let Ok(packet) = Packet::decode(&bytes[..length]) {
            shared
                .metrics
                .count_datagrams(kind(&packet), "received", 1, length);
            if packet.change_hint {
                document::on_announcement(&shared, peer, packet.document_version);
                shared.peer_announced.notify_one();
                continue;
            }
            let now = shared.now();
            let is_summary = packet.summary;
            if !is_summary && !packet.record_only {
                let report = Report {
                    reached: packet.reached.clone(),
                    lost: packet.lost.clone(),
                    relayed: packet.relayed,
                    is_stopping: packet.is_stopping,
                };
                shared.state().reach.record_report(now, peer, report);
                shared.record_location(Host {
                    address: peer,
                    zone: digest(packet.zone.as_bytes()),
                    link_mbps: packet.link_mbps,
                });
            }
            shared.state().receive(now, shared.incarnation, packet);
            if is_summary {
                pass_on(&shared, &socket, &bytes[..length], peer).await;
            }
        }
    }
}
