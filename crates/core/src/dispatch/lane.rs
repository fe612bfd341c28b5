//! Waiting calls of one tier and set of pools, fair between its customers.
//!
//! The customer that was served the fewest tokens goes next. A customer that
//! comes back after a pause starts level with the others, so that it can
//! neither hoard turns nor be held to old debts.

use std::collections::VecDeque;
use std::sync::Arc;
use std::time::Duration;

use super::choose::Rivals;
use super::{Policy, Seek};
use crate::id::CallId;
use crate::runner::Key;
use crate::time::Moment;

/// Heads of queues looked at for one start.
const HEADS: usize = 8;
/// Decayed starts from which a customer counts as active.
const ACTIVE: f64 = 0.25;
/// Weight of the newest answer in learned lengths.
const GAIN: f64 = 0.05;

plain! {
    /// A call that waits.
    pub struct Waiting {
        /// What it seeks.
        pub seek: Seek,
        /// Since when.
        pub since: Moment,
        /// Late if it starts past this.
        pub target: Moment,
        /// Refused past this.
        pub until: Moment,
    }
}

plain! {
    struct Account {
        customer: String,
        served: f64,
        starts: f64,
        promised: Moment,
        queue: VecDeque<Waiting>,
        late: VecDeque<Waiting>,
    }
}

/// The lane of one tier and set of pools.
#[derive(Debug)]
pub struct Lane {
    /// Tier's name.
    pub name: String,
    /// Tier's place in the current view.
    pub tier: Option<usize>,
    /// Who else uses its pools.
    pub rivals: Arc<[(String, Rivals)]>,
    pools: Arc<[String]>,
    accounts: Vec<Account>,
    /// Calls that came back as promised.
    back: VecDeque<Waiting>,
    /// Times at which calls were told to come back, in order.
    promises: Vec<Moment>,
    lengths: Vec<(String, f64)>,
    level: f64,
    starts: f64,
    retries: f64,
    len: usize,
}

impl Lane {
    /// An empty lane for calls like one.
    pub fn new(seek: &Seek, tier: usize) -> Self {
        Self {
            name: seek.tier.clone(),
            tier: Some(tier),
            rivals: Arc::from([]),
            pools: seek.pools.clone(),
            accounts: Vec::new(),
            back: VecDeque::new(),
            promises: Vec::new(),
            lengths: Vec::new(),
            level: 0.0,
            starts: 0.0,
            retries: 10.0,
            len: 0,
        }
    }

    /// What lanes are sorted by.
    pub fn place(&self) -> (&str, &[String]) {
        (&self.name, &self.pools)
    }

    /// Whether two lanes want some of the same runners.
    pub fn overlaps(&self, other: &Lane) -> bool {
        self.pools.iter().any(|pool| other.pools.contains(pool))
    }

    /// Calls that wait.
    pub fn len(&self) -> usize {
        self.len
    }

    /// Whether nothing waits.
    pub fn is_empty(&self) -> bool {
        self.len == 0
    }

    /// Starts, decayed.
    pub fn starts(&self) -> f64 {
        self.starts
    }

    /// When the longest waiting call came.
    pub fn oldest(&self) -> Option<Moment> {
        let late = self.accounts.iter().filter_map(|account| account.late.front());
        let heads = self.heads().map(|(_, head)| head);
        heads
            .chain(late)
            .chain(self.back.front())
            .map(|head| head.since)
            .min()
    }

    /// A call waits.
    pub fn push(&mut self, item: Waiting) {
        self.len += 1;
        if item.seek.promised {
            self.back.push_back(item);
            return;
        }
        let at = self.account(&item.seek.customer);
        if self.accounts[at].queue.is_empty() {
            self.accounts[at].served = self.accounts[at].served.max(self.level);
        }
        self.accounts[at].queue.push_back(item);
    }

    /// Starts of a customer, decayed.
    pub fn starts_of(&self, customer: &str) -> f64 {
        self.find(customer).map_or(0.0, |at| self.accounts[at].starts)
    }

    /// Calls of a customer that wait and can be in time.
    pub fn waiting_of(&self, customer: &str) -> usize {
        self.find(customer).map_or(0, |at| self.accounts[at].queue.len())
    }

    /// Sets calls aside that can no longer be in time, so that they do not
    /// make the next ones late as well.
    pub fn set_aside(&mut self, now: Moment) {
        for account in &mut self.accounts {
            while account.queue.front().is_some_and(|head| now.reached(head.target)) {
                account.late.extend(account.queue.pop_front());
            }
        }
    }

    /// Promises a time to a customer, not before `least`. Each active customer
    /// has an even part of the pace, in calls a second, whether it asks for it
    /// or not: one that floods would else take the others' part as well.
    pub fn promise(&mut self, least: Moment, customer: &str, pace: f64) -> Moment {
        let active = self.accounts.iter().filter(|account| account.starts >= ACTIVE);
        let parts = active.count().max(1) as f64;
        let at = self.account(customer);
        let next = self.accounts[at].promised + Duration::from_secs_f64(parts / pace.max(1e-3));
        let due = next.max(least);
        self.accounts[at].promised = due;
        let place = self.promises.partition_point(|have| *have <= due);
        self.promises.insert(place, due);
        due
    }

    /// Calls that were told to come back by then.
    pub fn promised_until(&self, then: Moment) -> usize {
        self.promises.partition_point(|due| *due <= then)
    }

    /// Drops promises whose time has passed.
    pub fn forget_promises(&mut self, now: Moment) {
        let passed = self.promised_until(now);
        self.promises.drain(..passed);
    }

    /// Calls that would start before one more of this customer.
    pub fn ahead(&self, customer: &str) -> usize {
        let own = self.find(customer).map_or(0, |at| self.accounts[at].queue.len());
        let others = self
            .accounts
            .iter()
            .filter(|account| account.customer != customer);
        own + others
            .map(|account| account.queue.len().min(own + 1))
            .sum::<usize>()
    }

    /// Takes the next call for which `choose` finds a runner.
    pub fn take(
        &mut self,
        policy: Policy,
        mut choose: impl FnMut(&Seek) -> Option<Key>,
    ) -> Option<(Waiting, Key)> {
        if let Some(taken) = self.take_back(&mut choose) {
            return Some(taken);
        }
        if self.heads().next().is_none() {
            return self.take_late(choose);
        }
        for at in self.order(policy) {
            let Some(head) = self.accounts[at].queue.front() else {
                continue;
            };
            let Some(runner) = choose(&head.seek) else {
                // All heads want the same pools: without a runner for one
                // there is none for the others, unless it avoids some.
                if head.seek.avoid.is_empty() {
                    return None;
                }
                continue;
            };
            let item = self.accounts[at].queue.pop_front()?;
            self.len -= 1;
            self.starts += 1.0;
            self.accounts[at].starts += 1.0;
            self.level = self.level.max(self.accounts[at].served);
            self.accounts[at].served += self.expected(&item.seek);
            return Some((item, runner));
        }
        None
    }

    /// Takes a call that came back as promised.
    fn take_back(&mut self, choose: &mut impl FnMut(&Seek) -> Option<Key>) -> Option<(Waiting, Key)> {
        let runner = choose(&self.back.front()?.seek)?;
        let item = self.back.pop_front()?;
        self.len -= 1;
        self.starts += 1.0;
        let at = self.account(&item.seek.customer);
        self.accounts[at].starts += 1.0;
        self.accounts[at].served += self.expected(&item.seek);
        Some((item, runner))
    }

    /// Takes the call that has been late for the longest; nothing that can be
    /// in time waits.
    fn take_late(&mut self, mut choose: impl FnMut(&Seek) -> Option<Key>) -> Option<(Waiting, Key)> {
        let late = |at: &usize| self.accounts[*at].late.front().map(|head| head.since);
        let at = (0..self.accounts.len())
            .filter(|at| late(at).is_some())
            .min_by_key(late)?;
        let runner = choose(&self.accounts[at].late.front()?.seek)?;
        let item = self.accounts[at].late.pop_front()?;
        self.len -= 1;
        self.starts += 1.0;
        self.accounts[at].starts += 1.0;
        Some((item, runner))
    }

    /// Customers whose turn it is, the first few.
    fn order(&self, policy: Policy) -> Vec<usize> {
        let since = |at: &usize| self.accounts[*at].queue.front().map(|head| head.since);
        let compare = |a: &usize, b: &usize| match policy.fair() {
            true => self.accounts[*a].served.total_cmp(&self.accounts[*b].served),
            false => since(a).cmp(&since(b)),
        };
        let mut order: Vec<usize> = self.heads().map(|(at, _)| at).collect();
        if order.len() > HEADS {
            order.select_nth_unstable_by(HEADS, compare);
            order.truncate(HEADS);
        }
        order.sort_by(compare);
        order
    }

    /// Corrects what a call was expected to cost, and learns its length.
    pub fn settle(&mut self, seek: &Seek, tokens: u32, whole: bool) {
        let expected = self.expected(seek);
        let at = self.account(&seek.customer);
        self.accounts[at].served += f64::from(tokens) - expected;
        if whole {
            self.learn(&seek.class, f64::from(tokens));
        }
    }

    /// Takes a retry from the budget, if there is one left.
    pub fn spend_retry(&mut self) -> bool {
        let left = self.retries >= 1.0;
        if left {
            self.retries -= 1.0;
        }
        left
    }

    /// Ages the counts and refills the retry budget.
    pub fn decay(&mut self, factor: f64, share: f64, least: f64) {
        let most = (self.starts * share).max(least);
        self.retries = (self.retries + most * (1.0 - factor)).min(most);
        self.starts *= factor;
        for account in &mut self.accounts {
            account.starts *= factor;
        }
    }

    /// Takes out the calls that waited too long.
    pub fn expire(&mut self, now: Moment) -> Vec<Waiting> {
        let mut out = Vec::new();
        while self.back.front().is_some_and(|head| now.reached(head.until)) {
            out.extend(self.back.pop_front());
        }
        for account in &mut self.accounts {
            for queue in [&mut account.late, &mut account.queue] {
                while queue.front().is_some_and(|head| now.reached(head.until)) {
                    out.extend(queue.pop_front());
                }
            }
        }
        self.len -= out.len();
        out
    }

    /// Takes a call out by name.
    pub fn remove(&mut self, call: CallId) -> bool {
        if let Some(at) = self.back.iter().position(|item| item.seek.call == call) {
            self.back.remove(at);
            self.len -= 1;
            return true;
        }
        for account in &mut self.accounts {
            for queue in [&mut account.late, &mut account.queue] {
                if let Some(at) = queue.iter().position(|item| item.seek.call == call) {
                    queue.remove(at);
                    self.len -= 1;
                    return true;
                }
            }
        }
        false
    }

    /// Takes out the calls for which `leaves` holds.
    pub fn drain_if(&mut self, leaves: impl Fn(&Seek) -> bool) -> Vec<Waiting> {
        let (mut out, rest): (Vec<_>, Vec<_>) = std::mem::take(&mut self.back)
            .into_iter()
            .partition(|item| leaves(&item.seek));
        self.back = rest.into();
        for account in &mut self.accounts {
            for queue in [&mut account.late, &mut account.queue] {
                let (gone, rest): (Vec<_>, Vec<_>) = std::mem::take(queue)
                    .into_iter()
                    .partition(|item| leaves(&item.seek));
                out.extend(gone);
                *queue = rest.into();
            }
        }
        self.len -= out.len();
        out
    }

    fn expected(&self, seek: &Seek) -> f64 {
        let most = f64::from(seek.tokens);
        let learned = self.lengths.binary_search_by(|(class, _)| class.cmp(&seek.class));
        learned.map_or(most, |at| self.lengths[at].1.min(most))
    }

    fn learn(&mut self, class: &str, tokens: f64) {
        match self
            .lengths
            .binary_search_by(|(have, _)| have.as_str().cmp(class))
        {
            Ok(at) => self.lengths[at].1 += (tokens - self.lengths[at].1) * GAIN,
            Err(at) => self.lengths.insert(at, (class.to_string(), tokens)),
        }
    }

    fn heads(&self) -> impl Iterator<Item = (usize, &Waiting)> {
        self.accounts
            .iter()
            .enumerate()
            .filter_map(|(at, account)| Some((at, account.queue.front()?)))
    }

    fn find(&self, customer: &str) -> Option<usize> {
        self.accounts
            .binary_search_by(|account| account.customer.as_str().cmp(customer))
            .ok()
    }

    fn account(&mut self, customer: &str) -> usize {
        match self
            .accounts
            .binary_search_by(|account| account.customer.as_str().cmp(customer))
        {
            Ok(at) => at,
            Err(at) => {
                self.accounts.insert(
                    at,
                    Account {
                        customer: customer.to_string(),
                        served: self.level,
                        starts: 0.0,
                        promised: Moment::default(),
                        queue: VecDeque::new(),
                        late: VecDeque::new(),
                    },
                );
                at
            }
        }
    }
}
