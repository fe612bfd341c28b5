//! Who reads the store, and whom the others ask.

use std::time::Duration;

use radishstair_core::proxy::readers::{self, Host, Readers, Source};
use radishstair_core::time::Moment;

fn hosts(count: u8) -> Vec<Host> {
    let host = |at: u8| Host::unlocated(([10, 1, at / 64, at % 64 + 1], 7_340).into());
    (0..count).map(host).collect()
}

fn first(me: Host, hosts: &[Host]) -> Source {
    Readers::default().preferred(Moment::at_ms(1_000), me.address, hosts)
}

/// Each call to the store costs, and hundreds of hosts that read it twice a second
/// would fill it. A few read, and whoever asks, asks one of them, in whatever order
/// it has heard of its peers.
#[test]
fn a_few_hosts_read_and_all_agree_on_them() {
    for (count, few) in [(1, 1), (2, 2), (9, 2), (73, 5), (240, 12)] {
        let hosts = hosts(count);
        let mut turned = hosts.clone();
        turned.reverse();
        let reads = |host: &&Host| first(**host, &hosts) == Source::Store;
        let readers: Vec<Host> = hosts.iter().filter(reads).copied().collect();
        assert_eq!(readers.len(), few, "{count} hosts");
        for host in &hosts {
            match first(*host, &turned) {
                Source::Store => assert!(readers.contains(host)),
                Source::Peer(peer) => {
                    assert!(readers.iter().any(|reader| reader.address == peer));
                    assert!(!readers.contains(host));
                }
            }
        }
    }
}

/// A host that is not yet known to live is not asked and knows nobody's answer to be
/// fresh; it reads the store.
#[test]
fn a_host_that_has_just_started_reads() {
    let all = hosts(9);
    assert_eq!(first(all[3], &[]), Source::Store);
    assert_eq!(first(all[3], &all[4..]), Source::Store);
}

/// The reader that a host asks has died or is frozen. Waiting for it in each round
/// would make the host's proof old, so the host asks another, then the store, and
/// the first one again after a while.
#[test]
fn a_silent_reader_is_passed_over() {
    let all = hosts(9);
    let me = *all
        .iter()
        .find(|host| first(**host, &all) != Source::Store)
        .expect("not all read");
    let me = me.address;
    let mut share = Readers::default();
    let now = Moment::at_ms(1_000);
    let mut asked = Vec::new();
    while let Source::Peer(peer) = share.preferred(now, me, &all) {
        assert!(!asked.contains(&peer));
        asked.push(peer);
        share.mark_unresponsive(now, peer);
    }
    assert_eq!(asked.len(), 2);
    let later = now + Duration::from_secs(3);
    assert_eq!(share.preferred(later, me, &all), Source::Peer(asked[0]));
}

/// The store turns away the hosts that read and serves others. A reader that gets no
/// answer asks the other reader first, then any host, one after the other.
#[test]
fn a_host_that_the_store_turns_away_asks_its_peers() {
    let all = hosts(4);
    let reads = |host: &&Host| first(**host, &all) == Source::Store;
    let readers: Vec<Host> = all.iter().filter(reads).copied().collect();
    let mut share = Readers::default();
    let now = Moment::at_ms(1_000);
    assert_eq!(
        share.fallback(now, readers[0].address, &all),
        Some(readers[1].address)
    );
    let mut asked = Vec::new();
    while let Some(peer) = share.fallback(now, readers[0].address, &all) {
        asked.push(peer);
        share.mark_unresponsive(now, peer);
    }
    assert_eq!(asked.len(), 3, "all but itself");
}

/// A runner that has left gets requests for more than two seconds. The host's peer lost
/// the store just before the runner left, and goes on answering with what it knew. Its
/// word is good while it is as young as a reader's can be, and then only if it has
/// learnt something since.
#[test]
fn a_peer_that_has_lost_the_store_is_not_believed_for_long() {
    let at = |ms: u64| Moment::at_ms(10_000 + ms);
    let known = at(0);
    assert!(
        readers::is_recent(at(600), known, Some(known)),
        "it reads every 0.6 s"
    );
    assert!(
        !readers::is_recent(at(1_200), known, Some(known)),
        "it should have read again"
    );
    assert!(
        readers::is_recent(at(1_200), at(100), Some(known)),
        "it has, and took its time"
    );
    assert!(!readers::is_recent(at(1_500), at(100), Some(known)));
}

/// Guards against a large document that comes to everybody through slow links.
#[test]
fn hosts_with_fast_links_read_and_are_asked_within_their_zone() {
    let mut all = hosts(80);
    for (at, host) in all.iter_mut().enumerate() {
        host.zone = 1 + at as u64 % 4;
        host.link_mbps = if at / 4 == 7 { 200 } else { 10 };
    }
    let reads = |host: &Host| first(*host, &all) == Source::Store;
    let readers: Vec<&Host> = all.iter().filter(|host| reads(host)).collect();
    assert_eq!(readers.len(), 5);
    assert_eq!(readers.iter().filter(|host| host.link_mbps == 200).count(), 4);
    for host in all.iter().filter(|host| !reads(host)) {
        let Source::Peer(peer) = first(*host, &all) else {
            unreachable!("it does not read");
        };
        let peer = readers.iter().find(|reader| reader.address == peer);
        assert_eq!(peer.expect("it is a reader").zone, host.zone);
    }
}
