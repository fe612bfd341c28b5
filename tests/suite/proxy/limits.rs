//! Tests of retry budgets, routes and orders for runners.

use radishstair_core::proxy::budget::Budgets;
use radishstair_core::proxy::fleet::Fleet;
use radishstair_core::proxy::route::{Limits, Mode, Share, Table};
use radishstair_core::proxy::scaling::{Order, Planner};
use radishstair_core::time::Moment;

use super::fixtures::{bounds, customer, priced, route, runner};

fn at(ms: u64) -> Moment {
    Moment::at_ms(100_000 + ms)
}

/// Guards against a retry storm after an outage, in which every host retries failed requests. In
/// each window, all hosts together stay within the ratio and the slack without communicating.
#[test]
fn hosts_stay_inside_the_shared_budget_without_talking() {
    let bounds = bounds();
    let hosts = 8;
    let mut budgets = vec![Budgets::default(); hosts];
    let mut requests = Vec::new();
    let mut repeats = Vec::new();
    for ms in (0..60_000u64).step_by(20) {
        for host in &mut budgets {
            if ms % 200 == 0 {
                host.count(at(ms), "ledger");
                requests.push(ms);
            }
            if host.take(at(ms), "ledger", &bounds, hosts as u32) {
                repeats.push(ms);
            }
        }
    }
    for from in (0..50_000).step_by(100) {
        let span = from..from + bounds.repeat_window_s * 1_000;
        let requested = requests.iter().filter(|ms| span.contains(ms)).count() as f64;
        let retried = repeats.iter().filter(|ms| span.contains(ms)).count() as f64;
        let allowed = requested * bounds.repeat_ratio + bounds.repeat_slack;
        assert!(retried <= allowed, "{retried} of {allowed} from {from} ms");
    }
    assert!(repeats.len() > 300, "too few retries: {}", repeats.len());
}

/// The longest matching path prefix wins, for its own host only.
#[test]
fn routes_are_found_by_host_and_longest_prefix() {
    let routes = vec![
        route("all", "/", Mode::Repeatable, "a"),
        route("books", "/books/", Mode::Repeatable, "b"),
        route("old", "/books/old/", Mode::Once, "c"),
    ];
    let table = Table::new(1, 1, routes, Vec::new(), None, Limits::default());
    let name = |host: &str, path: &str| table.find(host, path).map(|route| route.name.clone());
    assert_eq!(name("books.example", "/books/old/7").as_deref(), Some("old"));
    assert_eq!(name("BOOKS.example", "/books/older").as_deref(), Some("books"));
    assert_eq!(name("books.example", "/books").as_deref(), Some("all"));
    assert_eq!(name("other.example", "/books/1"), None);
}

/// Requests of a split route follow the weights; a share with weight 0 gets none.
#[test]
fn splits_follow_their_weights() {
    let mut split = route("split", "/", Mode::Repeatable, "a");
    let share = |service: &str, weight| Share {
        service: service.into(),
        weight,
    };
    split.shares = vec![share("a", 90), share("b", 10), share("c", 0)];
    let count = |name: &str| {
        (0..1_000)
            .filter(|draw| split.pick_service(*draw) == name)
            .count()
    };
    assert_eq!((count("a"), count("b"), count("c")), (900, 100, 0));
}

/// An engine out of memory preempts the least urgent requests. The route's priority goes first,
/// the customer's decides among equals, and all pairs fit into ten ranks.
#[test]
fn ranks_keep_routes_apart() {
    let mut urgent = route("urgent", "/u/", Mode::Repeatable, "a");
    urgent.priority = 0;
    let mut later = route("later", "/l/", Mode::Repeatable, "a");
    later.priority = 2;
    let mut first = customer("first", &["k1"]);
    first.priority = Some(0);
    let mut second = customer("second", &["k2"]);
    second.priority = Some(1);
    let customers = Some(vec![first, second]);
    let table = Table::new(
        1,
        1,
        vec![urgent, later],
        Vec::new(),
        customers,
        Limits::default(),
    );
    let rank = |path: &str, key: &str| {
        let route = table.find("books.example", path).expect("a route");
        table.rank(route, table.customer(key), 9)
    };
    let ranks = [
        rank("/u/1", "k1"),
        rank("/u/1", "k2"),
        rank("/l/1", "k1"),
        rank("/l/1", "k2"),
    ];
    assert!(ranks.is_sorted_by(|a, b| a < b) && ranks[3] <= 9, "{ranks:?}");
}

fn engines() -> Table {
    priced("engines", 10, 0.22, &[("zone-a", 1.2), ("zone-b", 0.9)])
}

/// Orders for `prefill_rate` microseconds of prefill work per second.
fn orders(planner: &mut Planner, ms: u64, fleet: &Fleet, prefill_rate: u64) -> Vec<Order> {
    let table = engines();
    let mut accepted = Vec::new();
    while let Some(order) = planner.tick(at(ms), &table, fleet, |_| prefill_rate) {
        planner.record_result(at(ms), &order, true);
        accepted.push(order);
    }
    accepted
}

/// Guards against too few reclaimable runners in each burst because they are given up between
/// bursts. Their number grows with the peak and is kept for half a minute after it.
#[test]
fn cheap_runners_follow_the_peaks() {
    let mut planner = Planner::default();
    let mut fleet = Fleet::new("zone-a");
    let listed = (0..8).map(|at| {
        let mut item = runner(&format!("r{at}"), "engines", "zone-a");
        item.reclaimable = true;
        item
    });
    fleet.update(at(0), listed.collect());
    let reclaimable = |orders: &[Order]| {
        let of_zone = orders
            .iter()
            .find(|order| order.zone == "zone-b" && order.reclaimable);
        of_zone.map(|order| order.count)
    };
    assert_eq!(
        reclaimable(&orders(&mut planner, 0, &fleet, 0)),
        Some(4),
        "as many as at the start"
    );
    assert_eq!(
        reclaimable(&orders(&mut planner, 5_000, &fleet, 4_000_000)),
        Some(8)
    );
    assert_eq!(
        reclaimable(&orders(&mut planner, 20_000, &fleet, 700_000)),
        Some(8)
    );
    assert_eq!(
        reclaimable(&orders(&mut planner, 36_000, &fleet, 700_000)),
        Some(2)
    );
}

/// Reclaimable runners ordered in `zone-b` at the given times, in milliseconds, and rates of
/// prefill work, if four are found in each zone. Orders are renewed every 250 ms in between.
fn ordered_at(times: &[u64], prefill_rate: fn(u64) -> u64) -> Vec<u32> {
    let mut planner = Planner::default();
    let mut fleet = Fleet::new("zone-a");
    let listed = (0..8).map(|at| {
        let mut item = runner(&format!("r{at}"), "engines", ["zone-a", "zone-b"][at % 2]);
        item.reclaimable = true;
        item
    });
    fleet.update(at(0), listed.collect());
    let mut latest = 0;
    let mut counts = Vec::new();
    for ms in (0..=times.iter().copied().max().unwrap_or(0)).step_by(250) {
        for order in orders(&mut planner, ms, &fleet, prefill_rate(ms)) {
            if order.zone == "zone-b" && order.reclaimable {
                latest = order.count;
            }
        }
        if times.contains(&ms) {
            counts.push(latest);
        }
    }
    counts
}

/// Guards against giving up the runners found at the start before any traffic has been measured:
/// it began seconds later at too few runners, and others had to boot.
#[test]
fn found_runners_are_kept_until_traffic_is_measured() {
    let times = [14_000, 15_000, 20_000, 22_000, 25_750, 26_250];
    // The rate is a mean over a window, so it grows with the time measured.
    let counts = ordered_at(&times, |ms| ms.saturating_sub(19_750).min(2_000) * 600);
    assert_eq!(counts, [4, 4, 4, 4, 4, 3]);
}

/// Guards against paying for idle runners of a service that gets no traffic.
#[test]
fn found_runners_without_traffic_are_given_up_after_a_minute() {
    let counts = ordered_at(&[59_750, 60_000], |_| 0);
    assert_eq!(counts, [4, 1]);
}

/// Guards against giving up the runners found while the traffic that began last is measured.
#[test]
fn traffic_that_begins_late_is_measured_before_found_runners_are_given_up() {
    let counts = ordered_at(
        &[60_000, 64_750, 65_000],
        |ms| if ms < 59_000 { 0 } else { 100_000 },
    );
    assert_eq!(counts, [4, 4, 1]);
}

/// Guards against paying longer for the runners found if traffic begins soon after the start.
#[test]
fn found_runners_are_kept_no_longer_if_traffic_begins_early() {
    let counts = ordered_at(&[14_750, 15_000], |ms| if ms < 8_000 { 0 } else { 100_000 });
    assert_eq!(counts, [4, 1]);
}

/// Guards against callers that wait because both zones lose their reclaimable runners under load.
/// On-demand runners are ordered for all that are missing, in more than one zone, and given up
/// when the reclaimable ones are back.
#[test]
fn lost_cheap_runners_are_made_up_for() {
    let fleet_in = |zones: &[&str]| {
        let mut fleet = Fleet::new("zone-a");
        let listed = zones.iter().flat_map(|zone| {
            (0..6).map(move |at| {
                let mut item = runner(&format!("{zone}-{at}"), "engines", zone);
                item.reclaimable = true;
                item
            })
        });
        fleet.update(at(0), listed.collect());
        fleet
    };
    let mut planner = Planner::default();
    let calm = orders(&mut planner, 0, &fleet_in(&["zone-a", "zone-b"]), 4_700_000);
    let on_demand = |orders: &[Order], zone: &str| {
        let found = orders
            .iter()
            .find(|order| order.zone == zone && !order.reclaimable);
        found.map(|order| order.count)
    };
    assert_eq!(on_demand(&calm, "zone-a"), Some(0));
    let lost = orders(&mut planner, 2_000, &fleet_in(&[]), 4_700_000);
    assert_eq!(on_demand(&lost, "zone-b"), Some(4));
    assert_eq!(on_demand(&lost, "zone-a"), Some(4));
    let back = orders(&mut planner, 12_000, &fleet_in(&["zone-a", "zone-b"]), 4_700_000);
    assert_eq!(on_demand(&back, "zone-b"), Some(0));
}
