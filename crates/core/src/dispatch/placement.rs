//! Picking a runner for a call, and the named policies that experiments compare.
//!
//! In the nearest zone with free capacity, two random runners are compared by load and by the
//! milliseconds per token that this host has measured. A call with a prompt prefix goes to the
//! runner that probably has the prefix cached, unless that runner's load is well above the
//! other's. Random pairs keep many hosts with the same delayed reports from picking the same
//! runner.

use std::sync::Arc;

use rand::RngExt;
use rand_chacha::ChaCha8Rng;

use super::Submission;
use crate::id;
use crate::runner::{Key, Runner, Runners};
use crate::time::Moment;

/// Random pairs drawn before all runners are searched.
const MAX_DRAWS: usize = 3;
/// Factor by which the cached runner's load may exceed that of the best one.
const AFFINITY_SLACK: f64 = 1.25;
/// Maximum share of the free slots that one host takes at once, in percent of an even share.
const HOST_SHARE_PERCENT: u32 = 125;
/// Share of a runner's slots that hosts of other zones may use, in percent.
const REMOTE_PERCENT: u32 = 12;
/// Share of a tier's target that an estimated wait may take.
const TARGET_FRACTION: f64 = 0.5;
/// Calls per runner of high-priority tiers in earlier policies, in percent of its slots. They
/// relied on the engine's own priorities to order the excess.
const OVERBOOKED_PERCENT: u32 = 150;

record! {
    /// How calls are ordered and assigned to runners.
    #[derive(Copy, Eq, Default)]
    pub enum Policy {
        /// The newest: as `Promising`, and a host leaves slots to zone peers with waiting calls.
        #[default]
        Full,
        /// As `Shared`, and retry times are reserved.
        Promising,
        /// As `Timely`, and the slots of a runner for hosts of other zones are shared out.
        Shared,
        /// As `Early`, with waits estimated by customer, and late calls after all others.
        Timely,
        /// As `Tiered`, and calls that are expected to miss their target are refused.
        Early,
        /// As `First`, with a reserve for every tier of higher priority, not only for protected
        /// ones.
        Tiered,
        /// The first version: tiers, floors, fair queueing, two random choices, prefix affinity.
        First,
        /// As `Full`, without prefix affinity.
        NoAffinity,
        /// As `Full`, without early rejection.
        NoEarly,
        /// As `Full`, without floors.
        NoFloors,
        /// First come, first served; two random choices.
        Fifo,
        /// First come, first served; least reported load.
        LeastLoad,
        /// First come, first served; round robin.
        RoundRobin,
    }
}

impl Policy {
    /// Whether tiers and their priorities are used.
    pub fn uses_tiers(self) -> bool {
        !matches!(self, Policy::Fifo | Policy::LeastLoad | Policy::RoundRobin)
    }

    /// Whether customers are queued fairly by tokens.
    pub fn is_fair(self) -> bool {
        self.uses_tiers()
    }

    /// Whether floors are enforced.
    pub fn enforces_floors(self) -> bool {
        self.uses_tiers() && self != Policy::NoFloors
    }

    /// Whether calls are refused on arrival if the estimated wait is too long.
    pub fn rejects_early(self) -> bool {
        self.uses_tiers() && self != Policy::NoEarly
    }

    /// Whether the capacity of a runner depends on the tiers that share its pool.
    pub fn reserves_per_tier(self) -> bool {
        self.uses_tiers() && self != Policy::First
    }

    /// Whether calls are refused that are expected to miss their target.
    pub fn rejects_by_target(self) -> bool {
        self.rejects_early() && !matches!(self, Policy::First | Policy::Tiered)
    }

    /// Whether retry times are reserved.
    pub fn reserves_retries(self) -> bool {
        matches!(self, Policy::Promising) || self.yields_to_peers()
    }

    /// Whether a host leaves slots to zone peers with waiting calls.
    pub fn yields_to_peers(self) -> bool {
        matches!(self, Policy::Full | Policy::NoAffinity | Policy::NoFloors)
    }

    /// Whether tiers of high priority may queue at the engine.
    pub fn overbooks(self) -> bool {
        !self.shares_remote()
    }

    /// Whether the slots of a runner for hosts of other zones are shared out.
    pub fn shares_remote(self) -> bool {
        self.reserves_retries() || self == Policy::Shared
    }

    /// Whether waits are estimated by customer and late calls go last.
    pub fn defers_late(self) -> bool {
        self.shares_remote() || self == Policy::Timely
    }

    /// Share of the target that an estimated wait may take. In a queue that may grow to the
    /// whole target, every call starts only as its target passes.
    pub fn target_fraction(self) -> f64 {
        if self.defers_late() { TARGET_FRACTION } else { 1.0 }
    }

    /// Whether a reserve of slots is kept.
    pub fn keeps_reserve(self) -> bool {
        self.uses_tiers()
    }

    /// Whether prompts prefer the runner that has their prefix cached.
    pub fn uses_affinity(self) -> bool {
        self.uses_tiers() && self != Policy::NoAffinity
    }

    /// Priority of a tier under this policy.
    pub fn effective_priority(self, tier: u8) -> u8 {
        if self.uses_tiers() { tier } else { 0 }
    }
}

/// Inputs for picking a runner for one call.
pub struct Picker<'a> {
    /// Current time.
    pub now: Moment,
    /// This host's zone.
    pub zone: &'a str,
    /// Policy in use.
    pub policy: Policy,
    /// Whether the call's tier is protected.
    pub protected: bool,
    /// Slots of a runner kept for tiers of higher priority, in percent.
    pub reserve_percent: u8,
    /// Index of this host among all live entry hosts.
    pub host_index: usize,
    /// Number of live entry hosts in this zone.
    pub zone_hosts: usize,
    /// Number of live entry hosts in all zones.
    pub hosts: usize,
    /// Pools of the call, with the contention on each.
    pub contention: Arc<[(String, Contention)]>,
    /// Number of zone peers with waiting calls, by pool.
    pub waiting_peers: Arc<[(String, u32)]>,
}

/// Zone of the candidate runners.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Locality {
    /// In this host's zone.
    Local,
    /// In other zones, while this zone has available runners.
    Remote,
    /// In other zones, as this zone has no available runner.
    RemoteOnly,
}

/// Whether tiers of other priorities use a pool.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Contention {
    /// A tier of higher priority uses it.
    pub higher_priority: bool,
    /// A tier of lower priority uses it.
    pub lower_priority: bool,
}

impl Picker<'_> {
    /// Picks a runner with free capacity, this zone first.
    pub fn pick(&self, runners: &Runners, rng: &mut ChaCha8Rng, submission: &Submission) -> Option<Key> {
        let pools = || submission.pools.iter().flat_map(|pool| runners.pool(pool));
        let local = pools().filter(|(zone, _)| zone == self.zone);
        let remote = pools().filter(|(zone, _)| zone != self.zone);
        let local: Vec<&[Key]> = local.map(|(_, keys)| keys.as_slice()).collect();
        let remote_only = !local
            .iter()
            .copied()
            .flatten()
            .any(|key| runners.get(*key).is_available(self.now));
        self.pick_among(runners, rng, submission, &local, Locality::Local)
            .or_else(|| {
                let remote: Vec<&[Key]> = remote.map(|(_, keys)| keys.as_slice()).collect();
                let locality = if remote_only {
                    Locality::RemoteOnly
                } else {
                    Locality::Remote
                };
                self.pick_among(runners, rng, submission, &remote, locality)
            })
    }

    fn pick_among(
        &self,
        runners: &Runners,
        rng: &mut ChaCha8Rng,
        submission: &Submission,
        groups: &[&[Key]],
        locality: Locality,
    ) -> Option<Key> {
        let count: usize = groups.iter().map(|group| group.len()).sum();
        if count == 0 {
            return None;
        }
        let avoid = self.excluded(runners, submission);
        let fits = |key: &Key| self.fits(runners.get(*key), locality) && !avoid.contains(key);
        let all = || groups.iter().flat_map(|group| group.iter().copied()).filter(fits);
        match self.policy {
            Policy::LeastLoad => {
                all().min_by(|a, b| runners.get(*a).load().total_cmp(&runners.get(*b).load()))
            }
            Policy::RoundRobin => {
                let from = submission.call.0 as usize % count;
                let keys: Vec<Key> = groups.iter().flat_map(|group| group.iter().copied()).collect();
                (0..count).map(|step| keys[(from + step) % count]).find(fits)
            }
            _ => {
                let best = self.draw(runners, rng, groups, count, fits).or_else(|| {
                    all().min_by(|a, b| self.cost(runners.get(*a)).total_cmp(&self.cost(runners.get(*b))))
                })?;
                Some(self.prefer_cached(runners, submission, all, best))
            }
        }
    }

    fn draw(
        &self,
        runners: &Runners,
        rng: &mut ChaCha8Rng,
        groups: &[&[Key]],
        count: usize,
        fits: impl Fn(&Key) -> bool,
    ) -> Option<Key> {
        for _ in 0..MAX_DRAWS {
            let pair = [
                random_runner(rng, groups, count),
                random_runner(rng, groups, count),
            ];
            let best = pair
                .into_iter()
                .filter(|key| fits(key))
                .min_by(|a, b| self.cost(runners.get(*a)).total_cmp(&self.cost(runners.get(*b))));
            if best.is_some() {
                return best;
            }
        }
        None
    }

    /// The runner for the prompt's prefix, if its load is near that of the best found.
    fn prefer_cached<I: Iterator<Item = Key>>(
        &self,
        runners: &Runners,
        submission: &Submission,
        all: impl Fn() -> I,
        best: Key,
    ) -> Key {
        let Some(prefix) = submission.prefix_hash.filter(|_| self.policy.uses_affinity()) else {
            return best;
        };
        let cached = all().max_by_key(|key| id::rendezvous_weight(prefix, u64::from(key.0)));
        let max_load = runners.get(best).load() * AFFINITY_SLACK + 0.25;
        match cached {
            Some(cached)
                if runners.get(cached).load() <= max_load
                    && self.is_comparable(runners.get(cached), runners.get(best)) =>
            {
                cached
            }
            _ => best,
        }
    }

    /// Whether the cached runner takes at most twice the time of the best one, so that affinity does
    /// not keep calls on a straggler.
    fn is_comparable(&self, cached: &Runner, best: &Runner) -> bool {
        cached.ms_per_token == 0.0
            || best.ms_per_token == 0.0
            || cached.ms_per_token <= best.ms_per_token * 2.0
    }

    /// Runners to exclude: those that have failed the call, as long as there is another. If
    /// there is none, excluding them would leave the call waiting until its patience ends.
    fn excluded<'a>(&self, runners: &Runners, submission: &'a Submission) -> &'a [Key] {
        let mut all = submission
            .pools
            .iter()
            .flat_map(|pool| runners.pool(pool))
            .flat_map(|(_, keys)| keys);
        let usable = |key: &Key| !submission.avoid.contains(key) && !runners.get(*key).is_leaving(self.now);
        match submission.avoid.is_empty() || all.any(usable) {
            true => &submission.avoid,
            false => &[],
        }
    }

    fn fits(&self, runner: &Runner, locality: Locality) -> bool {
        let shares_remote = self.policy.shares_remote();
        let capacity = match locality {
            Locality::Remote if shares_remote => self.remote_capacity(runner),
            Locality::RemoteOnly if shares_remote => self.capacity(runner).min(self.even_share(runner)),
            // A protected tier may also use the slots meant for other zones: waiting next to a
            // free slot would be worse than sharing it.
            Locality::Local if shares_remote && !self.protected && self.hosts > self.zone_hosts => {
                self.capacity(runner).saturating_sub(remote_slots(runner)).max(1)
            }
            Locality::Local | Locality::Remote | Locality::RemoteOnly => self.capacity(runner),
        };
        let limits_share = shares_remote
            && locality == Locality::Local
            && !self.protected
            && self.contention_for(runner).higher_priority;
        let used = runner.running + runner.peer_running;
        let within_share =
            !limits_share || runner.unreported < self.share_of_free(capacity, used, runner.unreported);
        let shares_with_peers =
            self.policy.yields_to_peers() && locality == Locality::Local && !self.protected;
        let within_peer_share =
            !shares_with_peers || runner.running < self.share_beside_peers(runner, capacity);
        runner.is_available(self.now) && used < capacity && within_share && within_peer_share
    }

    /// Maximum calls of this host on a runner while zone peers have calls waiting for its pool.
    ///
    /// On a full runner, the host whose call ends sees the free slot at once and would reuse it
    /// before its report reaches its peers. With one engine of two slots, a host held both for
    /// 4.5 s while all 28 calls of its peer became late. So every host with waiting calls is
    /// left an even share. A host that needs less than its share reports no waiting calls and
    /// the others use the rest, so that a slot stays free no longer than that report takes.
    fn share_beside_peers(&self, runner: &Runner, capacity: u32) -> u32 {
        let pool = runner.listing.pool.as_str();
        let peers = self.waiting_peers.iter().find(|(name, _)| name == pool);
        capacity.div_ceil(peers.map_or(0, |(_, count)| *count) + 1)
    }

    /// Calls that this host may have on a runner of another zone. It gets no reports of other
    /// hosts' calls there. If each host filled the runner by its own count, calls would wait in
    /// the engine's queue, where no host sees them. So a share of each runner's slots is
    /// divided, one call each, between a few hosts selected by the runner's name. The hosts of
    /// the runner's own zone do not use that share.
    fn remote_capacity(&self, runner: &Runner) -> u32 {
        let hosts = self.hosts.max(1);
        let offset = id::digest(runner.listing.name.as_bytes()) as usize % hosts;
        let turn = (self.host_index + hosts - offset) % hosts;
        u32::from(turn < remote_slots(runner) as usize)
    }

    /// Maximum slots that this host takes at once of those that were free at its peers' last
    /// reports. In a burst all hosts of the zone see the same slots free, and together they
    /// would take the reserve of the tiers of higher priority as well.
    fn share_of_free(&self, capacity: u32, used: u32, unreported: u32) -> u32 {
        let free = capacity.saturating_sub(used.saturating_sub(unreported));
        (free * HOST_SHARE_PERCENT / 100).div_ceil(self.zone_hosts.max(1) as u32)
    }

    fn contention_for(&self, runner: &Runner) -> Contention {
        let pool = runner.listing.pool.as_str();
        let contention = self.contention.iter().find(|(name, _)| *name == pool);
        contention.map_or(Contention::default(), |(_, contention)| *contention)
    }

    /// An even share of a runner's slots, for a host whose zone has no available runner.
    fn even_share(&self, runner: &Runner) -> u32 {
        (runner.listing.slots / self.hosts.max(1) as u32).max(1)
    }

    /// Calls that a runner may have.
    ///
    /// A tier leaves the reserve to tiers of higher priority that use the same pool; if it
    /// filled every slot, they would wait for the end of a long answer. No call queues at the
    /// engine: the estimated waits do not include such calls, and in a burst they make their
    /// whole tier late.
    fn capacity(&self, runner: &Runner) -> u32 {
        let slots = runner.listing.slots;
        let reserved = (slots * (100 - u32::from(self.reserve_percent)) / 100).max(1);
        let overbooked = slots * OVERBOOKED_PERCENT / 100;
        if !self.policy.keeps_reserve() {
            return slots;
        }
        if !self.policy.reserves_per_tier() {
            return if self.protected { overbooked } else { reserved };
        }
        match self.contention_for(runner) {
            Contention {
                higher_priority: true,
                ..
            } if !self.protected => reserved,
            Contention {
                lower_priority: true, ..
            } if self.policy.overbooks() => overbooked,
            _ if self.protected && self.policy.overbooks() => overbooked,
            Contention { .. } => slots,
        }
    }

    fn cost(&self, runner: &Runner) -> f64 {
        (runner.load() + 0.1) * runner.ms_per_token.max(1.0)
    }
}

/// Slots of a runner that hosts of other zones may use.
fn remote_slots(runner: &Runner) -> u32 {
    (runner.listing.slots * REMOTE_PERCENT / 100).max(1)
}

fn random_runner(rng: &mut ChaCha8Rng, groups: &[&[Key]], count: usize) -> Key {
    let mut at = rng.random_range(0..count);
    for group in groups {
        if at < group.len() {
            return group[at];
        }
        at -= group.len();
    }
    Key::default()
}
