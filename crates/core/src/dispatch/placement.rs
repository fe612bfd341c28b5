//! Choosing a runner, and the named policies that are measured side by side.
//!
//! Two random runners of the nearest zone with room are compared by load and
//! by the pace that this host saw itself; a prompt's beginning pulls towards
//! the runner that probably has it cached, unless that one is loaded well
//! above the other. Random pairs keep many hosts with the same lagging reports
//! from running to the same runner.

use std::sync::Arc;

use rand::RngExt;
use rand_chacha::ChaCha8Rng;

use super::Submission;
use crate::id;
use crate::runner::{Key, Runner, Runners};
use crate::time::Moment;

/// Pairs drawn before the whole zone is searched.
const MAX_DRAWS: usize = 3;
/// How far above the mean load prefix affinity may push a runner.
const AFFINITY_SLACK: f64 = 1.25;
/// Most that one host takes at once of what is free, in percent of an even
/// share.
const HOST_SHARE_PERCENT: u32 = 125;
/// Part of a runner that is given out to hosts of other zones.
const REMOTE_PERCENT: u32 = 12;
/// Part of a target that a foretold wait may take.
const TARGET_FRACTION: f64 = 0.5;
/// Overbooking of runners by better tiers in earlier versions: the engine's
/// own priorities were to be the second line.
const OVERBOOKED_PERCENT: u32 = 150;

record! {
    /// How calls are ordered and placed.
    #[derive(Copy, Eq, Default)]
    pub enum Policy {
        /// The newest: as promising, and a host leaves room to zone mates that wait.
        #[default]
        Full,
        /// As shared, and times to come back are promises.
        Promising,
        /// As timely, and runners of other zones are given out in parts.
        Shared,
        /// As early, with waits foretold by customer, and calls that can be in
        /// time before those that are late already.
        Timely,
        /// As tiered, and calls that would miss their target are refused.
        Early,
        /// As first, and a reserve for every better tier, not the protected
        /// ones alone.
        Tiered,
        /// The first version: tiers, floors, fairness, two choices, affinity.
        First,
        /// As full, without prefix affinity.
        NoAffinity,
        /// As full, without refusing early.
        NoEarly,
        /// As full, without floors.
        NoFloors,
        /// First come, first served; two choices.
        Fifo,
        /// First come, first served; the least reported load.
        LeastLoad,
        /// First come, first served; one after another.
        RoundRobin,
    }
}

impl Policy {
    /// Whether tiers matter.
    pub fn uses_tiers(self) -> bool {
        !matches!(self, Policy::Fifo | Policy::LeastLoad | Policy::RoundRobin)
    }

    /// Whether customers take turns by tokens.
    pub fn is_fair(self) -> bool {
        self.uses_tiers()
    }

    /// Whether floors count.
    pub fn enforces_floors(self) -> bool {
        self.uses_tiers() && self != Policy::NoFloors
    }

    /// Whether hopeless calls are refused on arrival.
    pub fn rejects_early(self) -> bool {
        self.uses_tiers() && self != Policy::NoEarly
    }

    /// Whether room on a runner depends on the tiers that share its pool.
    pub fn reserves_per_tier(self) -> bool {
        self.uses_tiers() && self != Policy::First
    }

    /// Whether calls are refused that would miss their target.
    pub fn rejects_by_target(self) -> bool {
        self.rejects_early() && !matches!(self, Policy::First | Policy::Tiered)
    }

    /// Whether room is kept for callers that were told when to come back.
    pub fn reserves_retries(self) -> bool {
        matches!(self, Policy::Promising) || self.yields_to_peers()
    }

    /// Whether a host leaves room to mates that wait.
    pub fn yields_to_peers(self) -> bool {
        matches!(self, Policy::Full | Policy::NoAffinity | Policy::NoFloors)
    }

    /// Whether better tiers may queue at the engine.
    pub fn overbooks(self) -> bool {
        !self.shares_remote()
    }

    /// Whether runners of other zones are given out in parts.
    pub fn shares_remote(self) -> bool {
        self.reserves_retries() || self == Policy::Shared
    }

    /// Whether waits are foretold by customer and late calls go last.
    pub fn defers_late(self) -> bool {
        self.shares_remote() || self == Policy::Timely
    }

    /// Part of the target that a foretold wait may take. A queue that is let
    /// grow to the whole target serves everyone just as it passes.
    pub fn target_fraction(self) -> f64 {
        if self.defers_late() { TARGET_FRACTION } else { 1.0 }
    }

    /// Whether a reserve is kept for protected tiers.
    pub fn keeps_reserve(self) -> bool {
        self.uses_tiers()
    }

    /// Whether prompts stay with their runners.
    pub fn uses_affinity(self) -> bool {
        self.uses_tiers() && self != Policy::NoAffinity
    }

    /// Priority of a tier under this policy.
    pub fn effective_priority(self, tier: u8) -> u8 {
        if self.uses_tiers() { tier } else { 0 }
    }
}

/// One choice.
pub struct Picker<'a> {
    /// Now.
    pub now: Moment,
    /// This host's zone.
    pub zone: &'a str,
    /// How.
    pub policy: Policy,
    /// Whether the tier is protected.
    pub protected: bool,
    /// Percent of a runner kept for better tiers.
    pub reserve_percent: u8,
    /// This host's place among all live hosts.
    pub host_index: usize,
    /// Entry hosts that are live in this zone.
    pub zone_hosts: usize,
    /// Entry hosts that are live, of all zones.
    pub hosts: usize,
    /// Pools of the call, and who shares them.
    pub contention: Arc<[(String, Contention)]>,
    /// Zone mates that have calls waiting, by pool.
    pub waiting_peers: Arc<[(String, u32)]>,
}

/// Where the runners of a choice are.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Locality {
    /// In this host's zone.
    Near,
    /// In other zones, beside open ones in this.
    Far,
    /// In other zones; this one has none that is open.
    Alone,
}

/// Other tiers that use a pool.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Contention {
    /// One with a better priority.
    pub higher_priority: bool,
    /// One with a worse priority.
    pub lower_priority: bool,
}

impl Picker<'_> {
    /// A runner with room, nearest zone first.
    pub fn pick(&self, runners: &Runners, rng: &mut ChaCha8Rng, seek: &Submission) -> Option<Key> {
        let pools = || seek.pools.iter().flat_map(|pool| runners.pool(pool));
        let near = pools().filter(|(zone, _)| zone == self.zone);
        let far = pools().filter(|(zone, _)| zone != self.zone);
        let near: Vec<&[Key]> = near.map(|(_, keys)| keys.as_slice()).collect();
        let alone = !near
            .iter()
            .copied()
            .flatten()
            .any(|key| runners.get(*key).is_available(self.now));
        self.pick_among(runners, rng, seek, &near, Locality::Near)
            .or_else(|| {
                let far: Vec<&[Key]> = far.map(|(_, keys)| keys.as_slice()).collect();
                let reach = if alone { Locality::Alone } else { Locality::Far };
                self.pick_among(runners, rng, seek, &far, reach)
            })
    }

    fn pick_among(
        &self,
        runners: &Runners,
        rng: &mut ChaCha8Rng,
        seek: &Submission,
        groups: &[&[Key]],
        reach: Locality,
    ) -> Option<Key> {
        let count: usize = groups.iter().map(|group| group.len()).sum();
        if count == 0 {
            return None;
        }
        let avoid = self.excluded(runners, seek);
        let fits = |key: &Key| self.fits(runners.get(*key), reach) && !avoid.contains(key);
        let all = || groups.iter().flat_map(|group| group.iter().copied()).filter(fits);
        match self.policy {
            Policy::LeastLoad => {
                all().min_by(|a, b| runners.get(*a).load().total_cmp(&runners.get(*b).load()))
            }
            Policy::RoundRobin => {
                let from = seek.call.0 as usize % count;
                let keys: Vec<Key> = groups.iter().flat_map(|group| group.iter().copied()).collect();
                (0..count).map(|step| keys[(from + step) % count]).find(fits)
            }
            _ => {
                let best = self.draw(runners, rng, groups, count, fits).or_else(|| {
                    all().min_by(|a, b| self.cost(runners.get(*a)).total_cmp(&self.cost(runners.get(*b))))
                })?;
                Some(self.prefer_cached(runners, seek, all, best))
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
            let pair = [pick(rng, groups, count), pick(rng, groups, count)];
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

    /// The prompt's own runner, if its load stays near that of the best found.
    fn prefer_cached<I: Iterator<Item = Key>>(
        &self,
        runners: &Runners,
        seek: &Submission,
        all: impl Fn() -> I,
        best: Key,
    ) -> Key {
        let Some(prefix) = seek.prefix_hash.filter(|_| self.policy.uses_affinity()) else {
            return best;
        };
        let home = all().max_by_key(|key| id::weight(prefix, u64::from(key.0)));
        let bound = runners.get(best).load() * AFFINITY_SLACK + 0.25;
        match home {
            Some(home)
                if runners.get(home).load() <= bound
                    && self.is_comparable(runners.get(home), runners.get(best)) =>
            {
                home
            }
            _ => best,
        }
    }

    /// Affinity must not hold on to a straggler.
    fn is_comparable(&self, home: &Runner, best: &Runner) -> bool {
        home.ms_per_token == 0.0 || best.ms_per_token == 0.0 || home.ms_per_token <= best.ms_per_token * 2.0
    }

    /// Runners to leave out: those that failed the call before, as long as
    /// there is any other. Where there is none the call would else wait for
    /// nothing until its patience ends.
    fn excluded<'a>(&self, runners: &Runners, seek: &'a Submission) -> &'a [Key] {
        let mut all = seek
            .pools
            .iter()
            .flat_map(|pool| runners.pool(pool))
            .flat_map(|(_, keys)| keys);
        let other = |key: &Key| !seek.avoid.contains(key) && !runners.get(*key).is_leaving(self.now);
        match seek.avoid.is_empty() || all.any(other) {
            true => &seek.avoid,
            false => &[],
        }
    }

    fn fits(&self, runner: &Runner, reach: Locality) -> bool {
        let far = self.policy.shares_remote();
        let room = match reach {
            Locality::Far if far => self.remote_capacity(runner),
            Locality::Alone if far => self.capacity(runner).min(self.even_share(runner)),
            // A protected tier need not leave that part alone: waiting here
            // beside a free slot would be worse than sharing it.
            Locality::Near if far && !self.protected && self.hosts > self.zone_hosts => {
                self.capacity(runner).saturating_sub(remote_slots(runner)).max(1)
            }
            Locality::Near | Locality::Far | Locality::Alone => self.capacity(runner),
        };
        let races =
            far && reach == Locality::Near && !self.protected && self.contention_for(runner).higher_priority;
        let taken = runner.running + runner.peer_running;
        let wins = !races || runner.unreported < self.share_of_free(room, taken, runner.unreported);
        let yields = self.policy.yields_to_peers() && reach == Locality::Near && !self.protected;
        let leaves_room = !yields || runner.running < self.share_beside_peers(runner, room);
        runner.is_available(self.now) && taken < room && wins && leaves_room
    }

    /// Most that this host has on a runner while zone mates wait for its pool.
    ///
    /// On a full runner the host whose call ends sees the free slot at once and
    /// takes it again, its mates hear of it too late. With one engine of two slots a
    /// host had both for 4.5 s, while its mate's 28 calls all became late. Each host
    /// that waits is left an even part; one that has less than it wants leaves the
    /// rest, so that no slot stays free for longer than its word takes.
    fn share_beside_peers(&self, runner: &Runner, room: u32) -> u32 {
        let pool = runner.listing.pool.as_str();
        let mates = self.waiting_peers.iter().find(|(name, _)| name == pool);
        room.div_ceil(mates.map_or(0, |(_, count)| *count) + 1)
    }

    /// Calls that this host may have on a runner of another zone. It hears
    /// nothing of the calls that others have there: were each host to fill it
    /// by its own count, the calls would wait in the engine's queue, unseen.
    /// So a part of each runner is given out, one call each, to a few hosts
    /// that take turns by the runner's name, never more than the part; the
    /// hosts of its own zone leave that part alone.
    fn remote_capacity(&self, runner: &Runner) -> u32 {
        let hosts = self.hosts.max(1);
        let first = id::digest(runner.listing.name.as_bytes()) as usize % hosts;
        let turn = (self.host_index + hosts - first) % hosts;
        u32::from(turn < remote_slots(runner) as usize)
    }

    /// Most that this host takes at once of what was free when it last heard
    /// the others: in a burst all hosts of the zone see the same slots free,
    /// and together they would take the reserve of the better tiers as well.
    fn share_of_free(&self, room: u32, taken: u32, fresh: u32) -> u32 {
        let free = room.saturating_sub(taken.saturating_sub(fresh));
        (free * HOST_SHARE_PERCENT / 100).div_ceil(self.zone_hosts.max(1) as u32)
    }

    fn contention_for(&self, runner: &Runner) -> Contention {
        let pool = runner.listing.pool.as_str();
        let rivals = self.contention.iter().find(|(name, _)| *name == pool);
        rivals.map_or(Contention::default(), |(_, rivals)| *rivals)
    }

    /// An even part of a runner, for a host whose zone has none of its own.
    fn even_share(&self, runner: &Runner) -> u32 {
        (runner.listing.slots / self.hosts.max(1) as u32).max(1)
    }

    /// Calls that a runner may have.
    ///
    /// A tier leaves the reserve to better ones that use the same pool: a
    /// worse tier that fills every slot makes them wait for the end of a long
    /// answer. Nobody queues at the engine: what waits there is not seen by
    /// the foretold waits, and makes its whole tier late in a burst.
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

/// Calls of a runner that hosts of other zones may have.
fn remote_slots(runner: &Runner) -> u32 {
    (runner.listing.slots * REMOTE_PERCENT / 100).max(1)
}

fn pick(rng: &mut ChaCha8Rng, groups: &[&[Key]], count: usize) -> Key {
    let mut at = rng.random_range(0..count);
    for group in groups {
        if at < group.len() {
            return group[at];
        }
        at -= group.len();
    }
    Key::default()
}
