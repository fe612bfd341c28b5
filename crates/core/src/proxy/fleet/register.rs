//! Register of the software versions that may have begun streams, as it stands in the platform's store.
//!
//! All hosts may be killed at once, and with them all memory of the versions that have served. So a stream begins at a
//! version only once the register has it, and the register keeps a version for as long as a stream of it may be taken
//! up. A host that has read the register after a stream broke off knows all versions that can have begun it, even if it
//! has just started.
//!
//! A service without a row is not restricted, and nothing is known of its versions. A row that is added later covers
//! the streams that began before it only from a certain time on.

use std::time::Duration;

use serde_with::serde_as;

use super::software::Version;
use super::{Fleet, Runner};
use crate::proxy::origin;
use crate::time::Moment;
use crate::units::Hex64;

/// Time for which a version stays registered after its last runner has left: no stream lives longer.
const RETENTION: Duration = origin::MAX_LIFE;
/// Time after its last runner has left within which a version is registered again if another host has removed it: a
/// host that missed its runners may have done so.
const RESTORE: Duration = RETENTION.checked_div(2).expect("the divisor is not zero");
/// Time after which all hosts have read a new row, and have registered what they used before.
const SPREAD: Duration = Duration::from_secs(4);

record! {
    /// Versions of one service.
    #[serde_as]
    pub struct Row {
        /// Name of the service.
        pub service: String,
        /// Versions, sorted.
        #[serde_as(as = "Vec<Hex64>")]
        pub versions: Vec<u64>,
        /// From when on, in Unix milliseconds, the row has all versions of streams that may be taken up.
        pub complete_ms: u64,
    }
}

record! {
    /// Versions of all services.
    #[derive(Default)]
    pub struct Register {
        /// Rows, sorted by service.
        pub rows: Vec<Row>,
    }
}

impl Register {
    fn position(&self, service: &str) -> Result<usize, usize> {
        self.rows
            .binary_search_by(|row| row.service.as_str().cmp(service))
    }

    fn row(&self, service: &str) -> Option<&Row> {
        Some(&self.rows[self.position(service).ok()?])
    }

    /// Whether streams may begin at a version of a service.
    pub(super) fn allows(&self, service: &str, version: Version) -> bool {
        let has = |row: &Row| row.versions.binary_search(&version.0).is_ok();
        self.row(service).is_none_or(has)
    }
}

impl Fleet {
    /// Applies the register in the store, as read by a call that was sent at `sent`; returns whether any service that
    /// had one version now has several. Rows that are not sorted are left out, and so is a register that is older than
    /// the known one.
    pub fn read_register(&mut self, sent: Moment, mut register: Register) -> bool {
        if self.register_read.is_some_and(|read| !sent.reached(read)) {
            return false;
        }
        self.register_read = Some(sent);
        register.rows.retain(|row| row.versions.is_sorted());
        register
            .rows
            .sort_by(|one, other| one.service.cmp(&other.service));
        register.rows.dedup_by(|one, other| one.service == other.service);
        if register == self.register {
            return false;
        }
        self.registered = self.found(sent, &register);
        let single = self.register.rows.iter().filter(|row| row.versions.len() == 1);
        let has_several = |row: &Row| row.versions.len() > 1;
        let has_grown = single
            .filter_map(|row| register.row(&row.service))
            .any(has_several);
        self.register = register;
        for runner in &mut self.arena {
            let software = &runner.listed.software;
            runner.is_registered = self.register.allows(&runner.listed.service, software.version);
        }
        has_grown
    }

    /// Versions of a register that was read at `sent`, sorted, and when this host first found each of them.
    fn found(&self, sent: Moment, register: &Register) -> Vec<(u64, Moment)> {
        let versions = register.rows.iter().flat_map(|row| row.versions.iter().copied());
        let mut found: Vec<(u64, Moment)> = versions
            .map(|version| (version, self.found_at(version).unwrap_or(sent)))
            .collect();
        found.sort_unstable_by_key(|(version, _)| *version);
        found
    }

    /// When this host first found a version in the register.
    fn found_at(&self, version: u64) -> Option<Moment> {
        let at = self
            .registered
            .binary_search_by_key(&version, |(version, _)| *version);
        Some(self.registered[at.ok()?].1)
    }

    /// The register as it should be, if it is not, with a row for each of these services: a version that a runner has is
    /// added, and one that
    /// no runner has had for long is removed. A host may have missed the runners of a version that it finds there, and then
    /// keeps it for as long. Rows are kept up whether streams begin there now or not, as routes may come back.
    /// `is_first_start`: no stream can have begun before this host's start.
    pub fn next_register(
        &self,
        now: Moment,
        unix_ms: u64,
        is_first_start: bool,
        services: &[&str],
    ) -> Option<Register> {
        let mut next = self.register.clone();
        for row in &mut next.rows {
            self.update_row(now, row);
        }
        for service in services {
            if let Err(at) = next.position(service) {
                let row = self.new_row(now, unix_ms, is_first_start, service);
                next.rows.splice(at..at, row);
            }
        }
        (next != self.register).then_some(next)
    }

    fn new_row(&self, now: Moment, unix_ms: u64, is_first_start: bool, service: &str) -> Option<Row> {
        let versions = self.versions_since(now.saturating_sub(RETENTION), service);
        let former_streams = if is_first_start { Duration::ZERO } else { RETENTION };
        let complete_after = SPREAD + former_streams;
        (!versions.is_empty()).then(|| Row {
            service: service.to_string(),
            versions,
            complete_ms: unix_ms + complete_after.as_millis() as u64,
        })
    }

    fn update_row(&self, now: Moment, row: &mut Row) {
        let since = now.saturating_sub(RETENTION);
        let is_watched = self.watched_since.is_some_and(|from| since.reached(from));
        let served = self.versions_since(since, &row.service);
        let is_found_since = |version: u64| self.found_at(version).is_none_or(|found| !since.reached(found));
        // A runner that has started again with another version shows no longer which one it had.
        if is_watched && !served.is_empty() && !self.has_changed_since(since, &row.service) {
            row.versions
                .retain(|version| served.binary_search(version).is_ok() || is_found_since(*version));
        }
        let restored = self.versions_since(now.saturating_sub(RESTORE), &row.service);
        row.versions.extend(restored);
        row.versions.sort_unstable();
        row.versions.dedup();
    }

    /// Versions of the runners of a service that were listed at some time since then, sorted.
    fn versions_since(&self, since: Moment, service: &str) -> Vec<u64> {
        let runners = self.served_since(since, service);
        let mut versions: Vec<u64> = runners.map(|runner| runner.listed.software.version.0).collect();
        versions.sort_unstable();
        versions.dedup();
        versions
    }

    /// Whether the register was read by a call that was sent at that time or later.
    pub fn is_register_read(&self, since: Moment) -> bool {
        self.register_read.is_some_and(|read| read.reached(since))
    }

    /// Whether the register has a single version of a service, so that the versions of single streams need not be kept.
    pub fn has_one_version(&self, service: &str) -> bool {
        self.register
            .row(service)
            .is_some_and(|row| row.versions.len() == 1)
    }

    /// Whether the register, as it was read after `until`, has no other version of a service.
    ///
    /// A host may not have seen a version that came and went while it stood still or was cut off; no stream can have begun
    /// at that version without it being registered.
    pub fn registers_no_other(&self, until: Moment, service: &str, version: Version) -> bool {
        let row = self.register.row(service);
        self.is_register_read(until) && row.is_none_or(|row| row.versions == [version.0])
    }

    /// The only version of a service that can have begun a stream before `until`, according to the register as it was
    /// read after that.
    pub fn only_registered(&self, unix_ms: u64, until: Moment, service: &str) -> Option<Version> {
        let row = self.register.row(service)?;
        let is_complete = unix_ms >= row.complete_ms;
        match row.versions[..] {
            [version] if is_complete && self.is_register_read(until) => Some(Version(version)),
            _ => None,
        }
    }
}

impl Runner {
    /// Whether a request may begin at it: a stream may only at a version that is registered. No other request is taken up.
    pub fn may_begin(&self, is_stream: bool) -> bool {
        !is_stream || self.is_registered
    }
}
