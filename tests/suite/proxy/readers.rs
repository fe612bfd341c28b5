//! Tests of the choice of readers and of the hosts that the others ask.

use std::time::Duration;

use radishstair_core::proxy::readers::{self, Host, Readers, Source, Use};
use radishstair_core::time::Moment;

/// Time between two rounds of the readers.
const ROUND_INTERVAL: Duration = Duration::from_millis(600);

fn hosts(count: u8) -> Vec<Host> {
    let host = |at: u8| Host::unlocated(([10, 1, at / 64, at % 64 + 1], 7_340).into());
    (0..count).map(host).collect()
}

fn first(me: Host, hosts: &[Host]) -> Source {
    Readers::default().preferred(Moment::at_ms(1_000), me.address, hosts)
}

/// Guards against overloading the store with hundreds of hosts that each read it twice a second. A
/// few hosts read it, and all hosts choose the same ones, whatever the order of their list of
/// peers.
#[test]
fn a_few_hosts_read_and_all_agree_on_them() {
    for (count, expected) in [(1, 1), (2, 2), (9, 2), (73, 5), (240, 12)] {
        let hosts = hosts(count);
        let mut reversed = hosts.clone();
        reversed.reverse();
        let reads = |host: &&Host| first(**host, &hosts) == Source::Store;
        let readers: Vec<Host> = hosts.iter().filter(reads).copied().collect();
        assert_eq!(readers.len(), expected, "{count} hosts");
        for host in &hosts {
            match first(*host, &reversed) {
                Source::Store => assert!(readers.contains(host)),
                Source::Peer(peer) => {
                    assert!(readers.iter().any(|reader| reader.address == peer));
                    assert!(!readers.contains(host));
                }
            }
        }
    }
}

/// A host that is not in its list of live hosts yet, or whose list is empty, reads the store.
#[test]
fn a_host_that_has_just_started_reads() {
    let all = hosts(9);
    assert_eq!(first(all[3], &[]), Source::Store);
    assert_eq!(first(all[3], &all[4..]), Source::Store);
}

/// Guards against the data getting old while a host waits for a dead or frozen reader in each
/// round. It asks another reader, then the store, and the first reader again after a while.
#[test]
fn a_silent_reader_is_passed_over() {
    let all = hosts(9);
    let me = *all
        .iter()
        .find(|host| first(**host, &all) != Source::Store)
        .expect("not all hosts are readers");
    let me = me.address;
    let mut choice = Readers::default();
    let now = Moment::at_ms(1_000);
    let mut asked = Vec::new();
    while let Source::Peer(peer) = choice.preferred(now, me, &all) {
        assert!(!asked.contains(&peer));
        asked.push(peer);
        choice.mark_unresponsive(now, peer);
    }
    assert_eq!(asked.len(), 2);
    let later = now + Duration::from_secs(3);
    assert_eq!(choice.preferred(later, me, &all), Source::Peer(asked[0]));
}

/// The store refuses the readers and serves other hosts. A reader without an answer asks the
/// other reader first, then any host, one after the other.
#[test]
fn a_host_that_the_store_turns_away_asks_its_peers() {
    let all = hosts(4);
    let reads = |host: &&Host| first(**host, &all) == Source::Store;
    let readers: Vec<Host> = all.iter().filter(reads).copied().collect();
    let mut choice = Readers::default();
    let now = Moment::at_ms(1_000);
    assert_eq!(
        choice.fallback(now, readers[0].address, &all),
        Some(readers[1].address)
    );
    let mut asked = Vec::new();
    while let Some(peer) = choice.fallback(now, readers[0].address, &all) {
        asked.push(peer);
        choice.mark_unresponsive(now, peer);
    }
    assert_eq!(asked.len(), 3, "all other hosts");
}

/// Guards against a host that refuses keyed requests though its peers are sound: the store turned it away, the
/// data of both peers was a moment too old, and it asked nobody for two seconds.
#[test]
fn a_peer_with_old_data_is_asked_again_soon() {
    let all = hosts(3);
    let reads = |host: &&Host| first(**host, &all) == Source::Store;
    let me = all.iter().find(reads).expect("a reader").address;
    let mut choice = Readers::default();
    let now = Moment::at_ms(1_000);
    while let Some(peer) = choice.fallback(now, me, &all) {
        choice.mark_outdated(now, peer);
    }
    let next_round = now + ROUND_INTERVAL;
    let peer = choice.fallback(next_round, me, &all).expect("a peer to ask");
    choice.mark_unresponsive(next_round, peer);
    let later = next_round + ROUND_INTERVAL;
    assert_ne!(choice.fallback(later, me, &all), Some(peer), "it did not answer");
}

/// Guards against requests to a runner that left more than two seconds ago. The host's peer lost
/// the store just before the runner left and keeps answering with old data. Its answers are
/// accepted up to the age that a reader's data can have, and beyond a round only if they are
/// newer than before.
#[test]
fn a_peer_that_has_lost_the_store_is_not_believed_for_long() {
    let at = |ms: u64| Moment::at_ms(10_000 + ms);
    let known = at(0);
    assert!(
        readers::is_recent(at(600), ROUND_INTERVAL, Duration::ZERO, known, Some(known)),
        "readers read every 0.6 s"
    );
    assert!(
        !readers::is_recent(at(1_200), ROUND_INTERVAL, Duration::ZERO, known, Some(known)),
        "it should have read again"
    );
    assert!(
        readers::is_recent(at(1_200), ROUND_INTERVAL, Duration::ZERO, at(100), Some(known)),
        "a newer answer may take longer"
    );
    assert!(!readers::is_recent(
        at(1_500),
        ROUND_INTERVAL,
        Duration::ZERO,
        at(100),
        Some(known)
    ));
}

/// Guards against requests to a runner that left longer ago than the bound. The store turns the
/// readers away by turns, so their data is two seconds old: too old to skip the store, but newer than
/// what this host knows. It was dropped, and the host, turned away as well, went on with a list of
/// four seconds.
#[test]
fn data_that_is_newer_is_used_though_it_is_not_fresh() {
    let at = |ms: u64| Moment::at_ms(10_000 + ms);
    let use_of = |as_of, known| readers::use_of(at(4_200), ROUND_INTERVAL, Duration::ZERO, at(as_of), known);
    assert_eq!(use_of(2_200, Some(at(0))), Use::Newer);
    assert_eq!(use_of(2_200, Some(at(2_200))), Use::Old);
    assert_eq!(use_of(2_200, Some(at(3_000))), Use::Old);
    assert_eq!(use_of(3_800, Some(at(0))), Use::Fresh);
    assert_eq!(use_of(2_200, None), Use::Newer);
    // The list of a host that asks such a reader in each round stays within the bound.
    let mut known = at(0);
    for round in 1..20 {
        let now = at(round * 600);
        let reader_as_of = at((round * 600).saturating_sub(2_200));
        if readers::use_of(now, ROUND_INTERVAL, Duration::ZERO, reader_as_of, Some(known)) != Use::Old {
            known = reader_as_of;
        }
        assert!(now.since(known) < Duration::from_secs(3), "round {round}");
    }
}

/// Guards against lists that get too old while the store turns all readers away: a few other hosts of
/// each zone read it at once, the same ones for all, and the rest ask them.
#[test]
fn deputies_read_where_the_store_turns_the_readers_away() {
    let mut all = hosts(82);
    for (at, host) in all.iter_mut().enumerate() {
        host.zone = 1 + at as u64 % 3;
        host.link_mbps = if at % 9 == 2 { 200 } else { 10 };
    }
    let now = Moment::at_ms(1_000);
    for host in &all {
        let deputies = readers::deputies(host.address, &all);
        assert_eq!(deputies.len(), 4);
        assert!(deputies.iter().all(|deputy| deputy.zone == host.zone));
        assert!(
            deputies
                .iter()
                .all(|deputy| first(*deputy, &all) != Source::Store)
        );
        let mut choice = Readers::default();
        let mut asked = 0;
        while let Some(deputy) = choice.deputy(now, host.address, &all) {
            assert!(deputies.iter().any(|other| other.address == deputy));
            choice.mark_unresponsive(now, deputy);
            asked += 1;
        }
        assert!(asked >= 3, "{asked} asked");
    }
}

/// Guards against hosts that ask the readers of other zones by turns because the listing of their own
/// reader takes a while: 3,000 runners and 1,000 hosts are eleven pages, 0.3 s.
#[test]
fn a_reader_is_believed_for_the_time_of_its_listing() {
    let at = |ms: u64| Moment::at_ms(10_000 + ms);
    let is_recent = |now, listing_ms| {
        let listing = Duration::from_millis(listing_ms);
        readers::is_recent(at(now), ROUND_INTERVAL, listing, at(0), Some(at(0)))
    };
    assert!(!is_recent(900, 0));
    assert!(is_recent(900, 300));
    // However long its listing takes, not longer than if its data were newer.
    assert!(!is_recent(1_400, 5_000));
}

/// Guards against a large document reaching all hosts through slow links.
#[test]
fn hosts_with_fast_links_read_and_are_asked_within_their_zone() {
    let mut all = hosts(80);
    for (at, host) in all.iter_mut().enumerate() {
        host.zone = 1 + at as u64 % 4;
        host.link_mbps = if at / 4 == 7 { 200 } else { 10 };
    }
    let reads = |host: &Host| first(*host, &all) == Source::Store;
    let readers: Vec<&Host> = all.iter().filter(|host| reads(host)).collect();
    assert_eq!(readers.len(), 4);
    assert_eq!(readers.iter().filter(|host| host.link_mbps == 200).count(), 4);
    for host in all.iter().filter(|host| !reads(host)) {
        let Source::Peer(peer) = first(*host, &all) else {
            unreachable!("it does not read");
        };
        let peer = readers.iter().find(|reader| reader.address == peer);
        assert_eq!(peer.expect("it is a reader").zone, host.zone);
    }
}
