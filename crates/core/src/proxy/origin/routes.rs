//! Changes to routes after which the former service of a route, or another route, may have begun a stream that is
//! taken up on it.

use std::time::Duration;

use super::life;
use crate::proxy::route::{Route, Table};
use crate::time::Moment;

/// Routes, sorted by name, and until when each is marked.
#[derive(Clone, Debug, Default)]
struct Marks(Vec<(String, Moment)>);

impl Marks {
    fn position(&self, route: &str) -> Result<usize, usize> {
        self.0.binary_search_by(|(name, _)| name.as_str().cmp(route))
    }

    fn has(&self, now: Moment, route: &str) -> bool {
        self.position(route).is_ok_and(|at| !now.reached(self.0[at].1))
    }

    fn insert(&mut self, route: &str, until: Moment) {
        match self.position(route) {
            Ok(at) => self.0[at].1 = self.0[at].1.max(until),
            Err(at) => self.0.insert(at, (route.to_string(), until)),
        }
    }

    fn purge(&mut self, now: Moment) {
        self.0.retain(|(_, until)| !now.reached(*until));
    }
}

/// Routes that have changed so lately that streams of their former configuration may still be taken up.
#[derive(Clone, Debug, Default)]
pub struct History {
    /// Streams may have begun at other services.
    moved: Marks,
    /// Streams may have begun with another timeout.
    retimed: Marks,
}

impl History {
    /// Records that a table replaces a former one, which other hosts may use for `overlap` from now on.
    pub fn record(&mut self, now: Moment, overlap: Duration, former: &Table, current: &Table) {
        self.moved.purge(now);
        self.retimed.purge(now);
        let changed = [changed(former, current), changed(current, former)].concat();
        for route in current.routes().iter().filter(|route| route.is_stream()) {
            if !changed.iter().any(|other| overlaps(route, other)) {
                continue;
            }
            let overlapping = || former.routes().iter().filter(|other| overlaps(route, other));
            let Some(life) = overlapping().map(|other| life(other.timeout)).max() else {
                continue;
            };
            let until = now + overlap + life;
            self.retimed.insert(&route.name, until);
            if overlapping().any(|other| !begins_alike(route, other)) {
                self.moved.insert(&route.name, until);
            }
        }
    }

    /// Whether only the present services of a route can have begun the streams that are taken up on it.
    pub fn has_only_present_services(&self, now: Moment, route: &str) -> bool {
        !self.moved.has(now, route)
    }

    /// Whether the streams that are taken up on a route have all begun with its present timeout.
    pub fn has_only_present_timeout(&self, now: Moment, route: &str) -> bool {
        !self.retimed.has(now, route)
    }
}

/// Routes of one table that the other one does not have in the same way.
fn changed<'a>(one: &'a Table, other: &Table) -> Vec<&'a Route> {
    let is_same = |route: &Route| {
        let twin = other.route_at(&route.host, &route.path_prefix);
        twin.is_some_and(|twin| begins_alike(route, twin) && route.timeout == twin.timeout)
    };
    let routes = one.routes().iter().map(|route| &**route);
    routes.filter(|route| !is_same(route)).collect()
}

/// Whether streams of two routes are begun by the same services.
fn begins_alike(one: &Route, other: &Route) -> bool {
    one.shares == other.shares && one.mode == other.mode
}

/// Whether a request may come by one route now and may have come by the other one before.
fn overlaps(one: &Route, other: &Route) -> bool {
    let (one_prefix, other_prefix) = (&one.path_prefix, &other.path_prefix);
    one.host == other.host && (one_prefix.starts_with(other_prefix) || other_prefix.starts_with(one_prefix))
}
