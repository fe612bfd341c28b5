//! The operator's document: routes, services, customers and limits.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use sha2::{Digest, Sha256};

plain! {
    /// What may be repeated.
    #[derive(Copy, Eq)]
    pub enum Mode {
        /// Runs at most once for each attempt of the caller.
        Once,
        /// May run any number of times.
        Repeatable,
        /// Answers with events; may go on at another runner if `resumable`.
        Stream {
            /// Whether it may go on after its last event.
            resumable: bool,
        },
    }
}

impl Mode {
    /// Whether another runner may get the request after one may have run it.
    pub fn is_idempotent(self) -> bool {
        matches!(self, Mode::Repeatable | Mode::Stream { resumable: true })
    }
}

plain! {
    /// One of the services that a route is split over.
    pub struct Share {
        /// Service.
        pub service: String,
        /// Weight among the route's shares.
        pub weight: u32,
    }
}

plain! {
    /// How requests of one host and path prefix are handled.
    pub struct Route {
        /// Its name.
        pub name: String,
        /// Name in the `Host` header, in lower case.
        pub host: String,
        /// Prefix of the path, with a slash at both ends.
        pub prefix: String,
        /// What may be repeated.
        pub mode: Mode,
        /// Longest time to keep a caller waiting.
        pub timeout: Option<Duration>,
        /// Most runners that one request may be sent to.
        pub attempts: u32,
        /// Time within which an answer is worth most.
        pub target_latency: Option<Duration>,
        /// Longest pause between events of a stream that is on time.
        pub max_event_gap: Option<Duration>,
        /// Rank, 0 first.
        pub priority: u8,
        /// Whether it needs no key.
        pub public: bool,
        /// Services that run it; never empty.
        pub shares: Vec<Share>,
    }
}

impl Route {
    /// Whether a service runs some of it.
    pub fn uses(&self, service: &str) -> bool {
        self.shares
            .iter()
            .any(|share| share.service == service && share.weight > 0)
    }

    /// Service of one request, by its draw.
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
    /// What a model engine can hold.
    #[derive(Copy)]
    pub struct Engine {
        /// Requests it runs at once.
        pub slots: u32,
        /// Tokens its memory holds.
        pub kv_tokens: u64,
        /// Whether one copies from another's memory what it has not read.
        pub copies_prefix: bool,
    }
}

plain! {
    /// How many runners may be ordered and what they cost.
    pub struct Scaling {
        /// Fewest in a zone.
        pub minimum: u32,
        /// Most in a zone.
        pub maximum: u32,
        /// Time from an order until a runner serves.
        pub boot_time: Duration,
        /// Price of reclaimable runners as a share of the full one, if there are any.
        pub reclaimable_price: Option<f64>,
        /// Price of a runner's second by zone.
        pub zone_prices: BTreeMap<String, f64>,
    }
}

plain! {
    /// A set of runners that run the same.
    pub struct Service {
        /// Its name.
        pub name: String,
        /// Connections that one runner takes from all hosts together.
        pub connections: u32,
        /// Its engine, if it serves a model.
        pub engine: Option<Engine>,
        /// Whether runners may be ordered.
        pub scaling: Option<Scaling>,
    }
}

plain! {
    /// Who calls.
    pub struct Customer {
        /// Its name.
        pub name: String,
        /// Its keys, as the operator wrote them; dropped once hashed.
        pub keys: Vec<String>,
        /// Rank that goes before the route's.
        pub priority: Option<u8>,
    }
}

plain! {
    /// What a caller may send, and how slowly.
    #[derive(Copy)]
    pub struct Limits {
        /// Most bytes of a head.
        pub head_bytes: usize,
        /// Most bytes of a body.
        pub body_bytes: usize,
        /// Longest time for a head to come.
        pub head_timeout: Duration,
        /// Longest time that a connection may stay idle.
        pub idle_timeout: Duration,
    }
}

impl Default for Limits {
    /// In force until a document says otherwise; the figures are those that
    /// the first documents of the users carry.
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

/// A document in force.
#[derive(Clone, Debug)]
pub struct Table {
    /// The operator's number; rises.
    pub version: u64,
    /// The store's revision of the document, by which two are ordered.
    pub revision: u64,
    /// Limits on callers.
    pub limits: Limits,
    routes: Vec<Arc<Route>>,
    services: Vec<Service>,
    customers: Option<Vec<Customer>>,
    keys: Vec<(KeyHash, usize)>,
    /// Pairs of the route's and the customer's priority, most urgent first.
    ranks: Vec<(u8, u8)>,
}

impl Table {
    /// Sorts and indexes the parts of a document. Without `customers` no
    /// route needs a key.
    pub fn new(
        version: u64,
        revision: u64,
        routes: Vec<Route>,
        mut services: Vec<Service>,
        customers: Option<Vec<Customer>>,
        limits: Limits,
    ) -> Self {
        let mut routes: Vec<Arc<Route>> = routes.into_iter().map(Arc::new).collect();
        routes.sort_by(|a, b| (&a.host, &a.prefix).cmp(&(&b.host, &b.prefix)));
        services.sort_by(|a, b| a.name.cmp(&b.name));
        let mut customers = customers;
        let mut keys = Vec::new();
        for (at, customer) in customers.iter_mut().flatten().enumerate() {
            keys.extend(customer.keys.drain(..).map(|key| (hash(&key), at)));
        }
        keys.sort_unstable();
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
        }
    }

    /// Urgency of a request towards an engine, 0 first, up to `last`.
    ///
    /// An engine that runs out of memory puts the least urgent requests back,
    /// in the middle of their streams. Ordered by customer first, it would put
    /// back the short urgent streams of most customers and let the long ones of
    /// a few run on, so here the route decides, and the customer among equals.
    pub fn rank(&self, route: &Route, customer: Option<&Customer>, last: u8) -> u8 {
        let pair = pair(route, customer);
        let at = self.ranks.partition_point(|have| *have < pair);
        let most = self.ranks.len().saturating_sub(1).max(1);
        match most <= usize::from(last) {
            true => at.min(usize::from(last)) as u8,
            false => (at * usize::from(last) / most) as u8,
        }
    }

    /// The route of a host with the longest prefix that begins the path.
    pub fn find(&self, host: &str, path: &str) -> Option<&Arc<Route>> {
        let host = host.to_ascii_lowercase();
        let ends = path.rmatch_indices('/').map(|(at, _)| at);
        let mut prefixes = ends.map(|at| &path[..=at]);
        prefixes.find_map(|prefix| {
            let key = (host.as_str(), prefix);
            let at = self
                .routes
                .binary_search_by(|route| (route.host.as_str(), route.prefix.as_str()).cmp(&key));
            at.ok().map(|at| &self.routes[at])
        })
    }

    /// Whether a route's requests must carry a key.
    pub fn requires_key(&self, route: &Route) -> bool {
        self.customers.is_some() && !route.public
    }

    /// The holder of a key.
    pub fn customer(&self, key: &str) -> Option<&Customer> {
        let key = hash(key);
        let at = self.keys.binary_search_by(|(have, _)| have.cmp(&key)).ok()?;
        self.customers.as_ref()?.get(self.keys[at].1)
    }

    /// A service by name.
    pub fn service(&self, name: &str) -> Option<&Service> {
        let at = self
            .services
            .binary_search_by(|service| service.name.as_str().cmp(name));
        at.ok().map(|at| &self.services[at])
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

/// All pairs that there are; routes and customers of one priority make the same ones.
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
