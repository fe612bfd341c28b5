//! Routing table built from the operator's document: routes, services, customers and limits.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use sha2::{Digest, Sha256};

use super::overload::{self, Level};

plain! {
    /// How a request may be retried.
    #[derive(Copy, Eq)]
    pub enum Mode {
        /// Runs at most once per attempt of the caller.
        Once,
        /// May run any number of times.
        Repeatable,
        /// Answers with a stream of events.
        Stream {
            /// Whether another runner can continue the stream after its last event.
            resumable: bool,
        },
    }
}

impl Mode {
    /// Whether a request may be sent to another runner after one may have run it.
    pub fn is_idempotent(self) -> bool {
        matches!(self, Mode::Repeatable | Mode::Stream { resumable: true })
    }
}

plain! {
    /// One of the services that a route is split over.
    pub struct Share {
        /// Name of the service.
        pub service: String,
        /// Weight among the route's shares.
        pub weight: u32,
    }
}

plain! {
    /// Handling of the requests with a given host and path prefix.
    pub struct Route {
        /// Name of the route.
        pub name: String,
        /// Value of the `Host` header, in lower case.
        pub host: String,
        /// Path prefix, with a slash at both ends.
        pub path_prefix: String,
        /// How its requests may be retried.
        pub mode: Mode,
        /// Maximum time to keep a caller waiting.
        pub timeout: Option<Duration>,
        /// Maximum number of runners that a request may be sent to.
        pub attempts: u32,
        /// Target for the time to the answer.
        pub target_latency: Option<Duration>,
        /// Maximum gap between the events of a stream that counts as on time.
        pub max_event_gap: Option<Duration>,
        /// Rank from 0, the most urgent.
        pub priority: u8,
        /// Whether it needs no API key.
        pub public: bool,
        /// Services that run its requests; never empty.
        pub shares: Vec<Share>,
    }
}

impl Route {
    /// Whether it answers with streams of events.
    pub fn is_stream(&self) -> bool {
        matches!(self.mode, Mode::Stream { .. })
    }

    /// Whether a service runs any of its requests.
    pub fn uses(&self, service: &str) -> bool {
        self.shares
            .iter()
            .any(|share| share.service == service && share.weight > 0)
    }

    /// Service for one request, selected by the random number `draw`.
    pub fn pick_service(&self, draw: u64) -> &str {
        let total: u64 = self.shares.iter().map(|share| u64::from(share.weight)).sum();
        let mut left = draw % total.max(1);
        for share in &self.shares {
            let weight = u64::from(share.weight);
            if left < weight {
                return &share.service;
            }
            left -= weight;
        }
        self.shares.first().map_or("", |share| &share.service)
    }
}

plain! {
    /// Capacity of a model engine.
    #[derive(Copy)]
    pub struct Engine {
        /// Maximum number of concurrent requests.
        pub slots: u32,
        /// Size of its KV cache, in tokens.
        pub kv_tokens: u64,
        /// Whether it can copy cached prefixes from another runner.
        pub copies_prefix: bool,
        /// Size of the KV cache of one token, in bytes; 0 if unknown.
        pub token_bytes: f64,
        /// Bandwidth of its link to other engines, in Mbit/s; 0 if there is no such link.
        pub link_mbps: f64,
        /// Whether a running request can move to another engine with its KV cache.
        pub offers_moves: bool,
        /// Whether it sends the KV cache of a running request to another engine as it grows.
        pub offers_copies: bool,
        /// How long a moved or copied KV cache is kept until it is used.
        pub handle_time: Duration,
    }
}

plain! {
    /// Limits and prices of a service's runners.
    pub struct Scaling {
        /// Minimum number per zone.
        pub minimum: u32,
        /// Maximum number per zone.
        pub maximum: u32,
        /// Time from an order until the runner serves requests.
        pub boot_time: Duration,
        /// Price of reclaimable runners relative to the full price; `None` if there are none.
        pub reclaimable_price: Option<f64>,
        /// Price per second of a runner in each zone.
        pub zone_prices: BTreeMap<String, f64>,
    }
}

plain! {
    /// How the runners of a service behave after a start, while they are cold.
    #[derive(Copy)]
    pub struct ColdStart {
        /// Time for which a runner is cold.
        pub duration: Duration,
        /// Requests per second that a cold runner can take from all hosts together.
        pub max_rate: f64,
    }
}

plain! {
    /// A group of interchangeable runners.
    pub struct Service {
        /// Name of the service.
        pub name: String,
        /// Maximum number of connections that a runner accepts from all hosts together.
        pub max_connections: u32,
        /// Engine, if it serves a model.
        pub engine: Option<Engine>,
        /// Cold start; `None` if a runner can take any rate from its start.
        pub cold_start: Option<ColdStart>,
        /// Limits for orders of runners; `None` if none may be ordered.
        pub scaling: Option<Scaling>,
    }
}

plain! {
    /// A caller's account.
    pub struct Customer {
        /// Name of the customer.
        pub name: String,
        /// API keys from the document; emptied once they are hashed.
        pub keys: Vec<String>,
        /// Rank among requests of equally urgent routes; the route's own if `None`.
        pub priority: Option<u8>,
    }
}

plain! {
    /// Limits on callers' requests and connections.
    #[derive(Copy)]
    pub struct Limits {
        /// Maximum size of a request head, in bytes.
        pub head_bytes: usize,
        /// Maximum size of a request body, in bytes.
        pub body_bytes: usize,
        /// Maximum time to receive a request head.
        pub head_timeout: Duration,
        /// Maximum time that a connection may stay idle.
        pub idle_timeout: Duration,
    }
}

impl Default for Limits {
    /// Used until a document sets other limits; the values are those of the users' first
    /// documents.
    fn default() -> Self {
        Self {
            head_bytes: 16 * 1024,
            body_bytes: 4 * 1024 * 1024,
            head_timeout: Duration::from_secs(3),
            idle_timeout: Duration::from_secs(15),
        }
    }
}

type KeyHash = [u8; 32];

/// Routing table of one version of the document.
#[derive(Clone, Debug)]
pub struct Table {
    /// Operator's version number; increases.
    pub version: u64,
    /// Store revision of the document, which orders two tables.
    pub revision: u64,
    /// Limits on callers' requests and connections.
    pub limits: Limits,
    routes: Vec<Arc<Route>>,
    services: Vec<Service>,
    customers: Option<Vec<Customer>>,
    keys: Vec<(KeyHash, usize)>,
    /// Pairs of route and customer priority, most urgent first.
    ranks: Vec<(u8, u8)>,
    /// Levels of urgency among the streams to each service, in the order of the services.
    levels: Vec<Vec<Level>>,
}

impl Table {
    /// Sorts and indexes the parts of a document. Without `customers`, no route needs a key.
    pub fn new(
        version: u64,
        revision: u64,
        routes: Vec<Route>,
        mut services: Vec<Service>,
        customers: Option<Vec<Customer>>,
        limits: Limits,
    ) -> Self {
        let mut routes: Vec<Arc<Route>> = routes.into_iter().map(Arc::new).collect();
        routes.sort_by(|a, b| (&a.host, &a.path_prefix).cmp(&(&b.host, &b.path_prefix)));
        services.sort_by(|a, b| a.name.cmp(&b.name));
        let mut customers = customers;
        let mut keys = Vec::new();
        for (at, customer) in customers.iter_mut().flatten().enumerate() {
            keys.extend(customer.keys.drain(..).map(|key| (hash(&key), at)));
        }
        keys.sort_unstable();
        let levels = services.iter().map(|service| levels(&routes, &service.name));
        let levels = levels.collect();
        let ranks = ranks(&routes, customers.as_deref().unwrap_or_default());
        Self {
            version,
            revision,
            limits,
            routes,
            services,
            customers,
            keys,
            ranks,
            levels,
        }
    }

    /// Level of urgency of a stream route among the streams to a service.
    pub fn level(&self, route: &Route, service: &str) -> Option<Level> {
        let levels = &self.levels[self.find_service(service)?];
        let at = levels.binary_search_by_key(&route.priority, |level| level.priority);
        at.ok().map(|at| levels[at])
    }

    /// Urgency of a request to an engine, from 0, the most urgent, to `lowest`.
    ///
    /// An engine that runs out of memory preempts the least urgent requests in the middle of
    /// their streams. If requests were ordered by customer first, it would preempt the short
    /// urgent streams of most customers while the long streams of a few continue. The route's
    /// priority therefore goes first, and the customer's decides among equals.
    pub fn rank(&self, route: &Route, customer: Option<&Customer>, lowest: u8) -> u8 {
        let pair = pair(route, customer);
        let at = self.ranks.partition_point(|have| *have < pair);
        let steps = self.ranks.len().saturating_sub(1).max(1);
        match steps <= usize::from(lowest) {
            true => at.min(usize::from(lowest)) as u8,
            false => (at * usize::from(lowest) / steps) as u8,
        }
    }

    /// Route of a host with the longest prefix that matches the path.
    pub fn find(&self, host: &str, path: &str) -> Option<&Arc<Route>> {
        let host = host.to_ascii_lowercase();
        let ends = path.rmatch_indices('/').map(|(at, _)| at);
        let mut prefixes = ends.map(|at| &path[..=at]);
        prefixes.find_map(|prefix| self.route_at(&host, prefix))
    }

    /// Route with this host, in lower case, and this path prefix.
    pub fn route_at(&self, host: &str, path_prefix: &str) -> Option<&Arc<Route>> {
        let key = (host, path_prefix);
        let at = self
            .routes
            .binary_search_by(|route| (route.host.as_str(), route.path_prefix.as_str()).cmp(&key));
        at.ok().map(|at| &self.routes[at])
    }

    /// Whether requests on a route need an API key.
    pub fn requires_key(&self, route: &Route) -> bool {
        self.customers.is_some() && !route.public
    }

    /// Customer that owns a key.
    pub fn customer(&self, key: &str) -> Option<&Customer> {
        let key = hash(key);
        let at = self.keys.binary_search_by(|(have, _)| have.cmp(&key)).ok()?;
        self.customers.as_ref()?.get(self.keys[at].1)
    }

    /// Service by name.
    pub fn service(&self, name: &str) -> Option<&Service> {
        self.find_service(name).map(|at| &self.services[at])
    }

    fn find_service(&self, name: &str) -> Option<usize> {
        self.services
            .binary_search_by(|service| service.name.as_str().cmp(name))
            .ok()
    }

    /// All services.
    pub fn services(&self) -> &[Service] {
        &self.services
    }

    /// All routes.
    pub fn routes(&self) -> &[Arc<Route>] {
        &self.routes
    }
}

fn pair(route: &Route, customer: Option<&Customer>) -> (u8, u8) {
    let own = customer.and_then(|customer| customer.priority);
    (route.priority, own.unwrap_or(route.priority))
}

/// Levels of urgency among the stream routes to a service.
fn levels(routes: &[Arc<Route>], service: &str) -> Vec<Level> {
    let streams = routes
        .iter()
        .filter(|route| route.is_stream() && route.uses(service));
    overload::levels(streams.map(|route| (route.priority, route.target_latency)))
}

/// All possible pairs; routes and customers with the same priorities have the same pair.
fn ranks(routes: &[Arc<Route>], customers: &[Customer]) -> Vec<(u8, u8)> {
    let of_routes = distinct(routes.iter().map(|route| route.priority));
    let of_customers = distinct(customers.iter().filter_map(|customer| customer.priority));
    let pairs = of_routes.into_iter().flat_map(|route| {
        let own = std::iter::once(route).chain(of_customers.iter().copied());
        own.map(move |own| (route, own)).collect::<Vec<_>>()
    });
    distinct(pairs)
}

fn distinct<T: Ord>(items: impl Iterator<Item = T>) -> Vec<T> {
    let mut items: Vec<T> = items.collect();
    items.sort_unstable();
    items.dedup();
    items
}

fn hash(key: &str) -> KeyHash {
    Sha256::digest(key.as_bytes()).into()
}
