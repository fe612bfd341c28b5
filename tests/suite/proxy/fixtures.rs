//! Fixtures: a small document, runners and a host's state.

use std::time::Duration;

use radishstair_core::proxy::fleet::{Fleet, Key, Listed, Software, Stage};
use radishstair_core::proxy::latency::Latency;
use radishstair_core::proxy::partition::Partition;
use radishstair_core::proxy::placement::{self, Choice, Demand, Inputs};
use radishstair_core::proxy::prefix::Index;
use radishstair_core::proxy::route::{Customer, Engine, Limits, Mode, Route, Scaling, Service, Share, Table};
use radishstair_core::proxy::{Bounds, RequestHead, State};
use radishstair_core::time::Moment;

/// Guarantees as on the users' sites.
pub fn bounds() -> Bounds {
    Bounds {
        revocation_ms: 5_000,
        configuration_ms: 2_000,
        drain_ms: 2_000,
        repeat_ratio: 0.2,
        repeat_slack: 56.0,
        repeat_window_s: 10,
        lease_ms: 3_000,
        usage_window_s: 5,
        usage_due_s: 10,
        grace_s: 8,
    }
}

/// A route of host `books.example` to one service.
pub fn route(name: &str, prefix: &str, mode: Mode, service: &str) -> Route {
    Route {
        name: name.into(),
        host: "books.example".into(),
        path_prefix: prefix.into(),
        mode,
        timeout: Some(Duration::from_secs(15)),
        attempts: 2,
        target_latency: Some(Duration::from_millis(800)),
        max_event_gap: None,
        priority: 1,
        public: false,
        shares: vec![Share {
            service: service.into(),
            weight: 1,
        }],
    }
}

/// A service, with an engine if `slots` is given.
pub fn service(name: &str, slots: Option<u32>) -> Service {
    Service {
        name: name.into(),
        max_connections: 240,
        engine: slots.map(|slots| Engine {
            slots,
            kv_tokens: 480_000,
            copies_prefix: true,
            token_bytes: 0.0,
            link_mbps: 0.0,
            offers_moves: false,
            offers_copies: false,
            handle_time: Duration::ZERO,
        }),
        cold_start: None,
        scaling: None,
    }
}

/// A customer with the given keys.
pub fn customer(name: &str, keys: &[&str]) -> Customer {
    Customer {
        name: name.into(),
        keys: keys.iter().map(ToString::to_string).collect(),
        priority: None,
    }
}

/// A document with one stream route and one route of requests that run at most once.
pub fn table(revision: u64, customers: Vec<Customer>) -> Table {
    let routes = vec![
        route("notes", "/notes/", Mode::Stream { resumable: true }, "engines"),
        route("entries", "/entries/", Mode::Once, "ledger"),
    ];
    let services = vec![service("engines", Some(32)), service("ledger", None)];
    Table::new(
        revision,
        revision,
        routes,
        services,
        Some(customers),
        Limits::default(),
    )
}

/// A runner that accepts requests.
pub fn runner(id: &str, service: &str, zone: &str) -> Listed {
    let port = 1_000 + (radishstair_core::id::digest(id.as_bytes()) % 50_000) as u16;
    Listed {
        id: id.into(),
        service: service.into(),
        address: ([127, 0, 0, 1], port).into(),
        zone: zone.into(),
        stage: Stage::Ready,
        slots: 32,
        reclaimable: false,
        started_ms: 1,
        software: Software::new(service, "v1"),
        version: 1,
        cold_for: Duration::ZERO,
        leaves_after: None,
    }
}

/// A host whose document was confirmed to be current at `now`.
pub fn state(now: Moment, customers: Vec<Customer>) -> State {
    let mut state = State::new(bounds(), "zone-a");
    state.configure(Moment::default(), table(1, customers));
    state.freshness.renew(now);
    state
}

/// A request to the stream route with a key.
pub fn request(key: &str) -> RequestHead<'_> {
    RequestHead {
        host: "books.example",
        path: "/notes/1",
        key: Some(key),
        random: 0,
    }
}

/// A document with one engine service of up to `limit` runners per zone, the relative price of
/// reclaimable runners and the price of each zone.
pub fn priced(service_name: &str, limit: u32, reclaimable_price: f64, zones: &[(&str, f64)]) -> Table {
    let mut engines = service(service_name, Some(32));
    let prices = zones.iter().map(|(zone, price)| (zone.to_string(), *price));
    engines.scaling = Some(Scaling {
        minimum: 1,
        maximum: limit,
        boot_time: Duration::from_secs(4),
        reclaimable_price: Some(reclaimable_price),
        zone_prices: prices.collect(),
    });
    Table::new(1, 1, Vec::new(), vec![engines], None, Limits::default())
}

/// Runner that placement chooses for a request, without patience or a limit of memory.
pub fn choose(fleet: &Fleet, index: &Index, now: Moment, demand: &Demand, tried: &[Key]) -> Option<Choice> {
    let inputs = Inputs {
        fleet,
        prefixes: index,
        latency: &Latency::default(),
        partition: &Partition::default(),
        memory: None,
    };
    placement::choose(inputs, now, demand, tried, None).choice()
}
