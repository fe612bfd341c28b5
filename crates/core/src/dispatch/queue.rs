//! Waiting calls of one tier and set of pools, fair between its customers.
//!
//! The customer that was served the fewest tokens goes next. A customer that
//! comes back after a pause starts level with the others, so that it can
//! neither hoard turns nor be held to old debts.

use std::collections::VecDeque;
use std::sync::Arc;
use std::time::Duration;

use super::placement::Contention;
use super::{Policy, Submission};
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
    pub struct Entry {
        /// What it seeks.
        pub submission: Submission,
        /// Since when.
        pub queued_at: Moment,
        /// Late if it starts past this.
        pub late_at: Moment,
        /// Refused past this.
        pub expires_at: Moment,
    }
}

plain! {
    struct Flow {
        customer: String,
        served: f64,
        starts: f64,
        promised: Moment,
        queue: VecDeque<Entry>,
        late: VecDeque<Entry>,
    }
}

/// The lane of one tier and set of pools.
#[derive(Debug)]
pub struct Queue {
    /// Tier's name.
    pub name: String,
    /// Tier's place in the current view.
    pub tier: Option<usize>,
    /// Who else uses its pools.
    pub contention: Arc<[(String, Contention)]>,
    pools: Arc<[String]>,
    accounts: Vec<Flow>,
    /// Calls that came back as promised.
    back: VecDeque<Entry>,
    /// Times at which calls were told to come back, in order.
    promises: Vec<Moment>,
    lengths: Vec<(String, f64)>,
    level: f64,
    starts: f64,
    retries: f64,
    len: usize,
}

impl Queue {
    /// An empty lane for calls like one.
    pub fn new(seek: &Submission, tier: usize) -> Self {
        Self {
            name: seek.tier.clone(),
            tier: Some(tier),
            contention: Arc::from([]),
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
    pub fn sort_key(&self) -> (&str, &[String]) {
        (&self.name, &self.pools)
    }

    /// Whether two lanes want some of the same runners.
    pub fn overlaps(&self, other: &Queue) -> bool {
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
    pub fn oldest_since(&self) -> Option<Moment> {
        let late = self.accounts.iter().filter_map(|account| account.late.front());
        let heads = self.heads().map(|(_, head)| head);
        heads
            .chain(late)
            .chain(self.back.front())
            .map(|head| head.queued_at)
            .min()
    }

    /// A call waits.
    pub fn push(&mut self, item: Entry) {
        self.len += 1;
        if item.submission.reserved {
            self.back.push_back(item);
            return;
        }
        let at = self.account(&item.submission.customer);
        if self.accounts[at].queue.is_empty() {
            self.accounts[at].served = self.accounts[at].served.max(self.level);
        }
        self.accounts[at].queue.push_back(item);
    }

    /// Starts of a customer, decayed.
    pub fn starts_for(&self, customer: &str) -> f64 {
        self.find(customer).map_or(0.0, |at| self.accounts[at].starts)
    }

    /// Calls of a customer that wait and can be in time.
    pub fn len_for(&self, customer: &str) -> usize {
        self.find(customer).map_or(0, |at| self.accounts[at].queue.len())
    }

    /// Sets calls aside that can no longer be in time, so that they do not
    /// make the next ones late as well.
    pub fn defer_late(&mut self, now: Moment) {
        for account in &mut self.accounts {
            while account
                .queue
                .front()
                .is_some_and(|head| now.reached(head.late_at))
            {
                account.late.extend(account.queue.pop_front());
            }
        }
    }

    /// Promises a time to a customer, not before `least`. Each active customer
    /// has an even part of the pace, in calls a second, whether it asks for it
    /// or not: one that floods would else take the others' part as well.
    pub fn reserve(&mut self, least: Moment, customer: &str, pace: f64) -> Moment {
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
    pub fn reserved_until(&self, then: Moment) -> usize {
        self.promises.partition_point(|due| *due <= then)
    }

    /// Drops promises whose time has passed.
    pub fn expire_reservations(&mut self, now: Moment) {
        let passed = self.reserved_until(now);
        self.promises.drain(..passed);
    }

    /// Calls that would start before one more of this customer.
    pub fn calls_ahead(&self, customer: &str) -> usize {
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
        mut choose: impl FnMut(&Submission) -> Option<Key>,
    ) -> Option<(Entry, Key)> {
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
            let Some(runner) = choose(&head.submission) else {
                // All heads want the same pools: without a runner for one
                // there is none for the others, unless it avoids some.
                if head.submission.avoid.is_empty() {
                    return None;
                }
                continue;
            };
            let item = self.accounts[at].queue.pop_front()?;
            self.len -= 1;
            self.starts += 1.0;
            self.accounts[at].starts += 1.0;
            self.level = self.level.max(self.accounts[at].served);
            self.accounts[at].served += self.expected(&item.submission);
            return Some((item, runner));
        }
        None
    }

    /// Takes a call that came back as promised.
    fn take_back(&mut self, choose: &mut impl FnMut(&Submission) -> Option<Key>) -> Option<(Entry, Key)> {
        let runner = choose(&self.back.front()?.submission)?;
        let item = self.back.pop_front()?;
        self.len -= 1;
        self.starts += 1.0;
        let at = self.account(&item.submission.customer);
        self.accounts[at].starts += 1.0;
        self.accounts[at].served += self.expected(&item.submission);
        Some((item, runner))
    }

    /// Takes the call that has been late for the longest; nothing that can be
    /// in time waits.
    fn take_late(&mut self, mut choose: impl FnMut(&Submission) -> Option<Key>) -> Option<(Entry, Key)> {
        let late = |at: &usize| self.accounts[*at].late.front().map(|head| head.queued_at);
        let at = (0..self.accounts.len())
            .filter(|at| late(at).is_some())
            .min_by_key(late)?;
        let runner = choose(&self.accounts[at].late.front()?.submission)?;
        let item = self.accounts[at].late.pop_front()?;
        self.len -= 1;
        self.starts += 1.0;
        self.accounts[at].starts += 1.0;
        Some((item, runner))
    }

    /// Customers whose turn it is, the first few.
    fn order(&self, policy: Policy) -> Vec<usize> {
        let since = |at: &usize| self.accounts[*at].queue.front().map(|head| head.queued_at);
        let compare = |a: &usize, b: &usize| match policy.is_fair() {
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
    pub fn record_usage(&mut self, seek: &Submission, tokens: u32, whole: bool) {
        let expected = self.expected(seek);
        let at = self.account(&seek.customer);
        self.accounts[at].served += f64::from(tokens) - expected;
        if whole {
            self.learn(&seek.class, f64::from(tokens));
        }
    }

    /// Takes a retry from the budget, if there is one left.
    pub fn take_retry(&mut self) -> bool {
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
    pub fn expire(&mut self, now: Moment) -> Vec<Entry> {
        let mut out = Vec::new();
        while self.back.front().is_some_and(|head| now.reached(head.expires_at)) {
            out.extend(self.back.pop_front());
        }
        for account in &mut self.accounts {
            for queue in [&mut account.late, &mut account.queue] {
                while queue.front().is_some_and(|head| now.reached(head.expires_at)) {
                    out.extend(queue.pop_front());
                }
            }
        }
        self.len -= out.len();
        out
    }

    /// Takes a call out by name.
    pub fn remove(&mut self, call: CallId) -> bool {
        if let Some(at) = self.back.iter().position(|item| item.submission.call == call) {
            self.back.remove(at);
            self.len -= 1;
            return true;
        }
        for account in &mut self.accounts {
            for queue in [&mut account.late, &mut account.queue] {
                if let Some(at) = queue.iter().position(|item| item.submission.call == call) {
                    queue.remove(at);
                    self.len -= 1;
                    return true;
                }
            }
        }
        false
    }

    /// Takes out the calls for which `leaves` holds.
    pub fn drain_if(&mut self, leaves: impl Fn(&Submission) -> bool) -> Vec<Entry> {
        let (mut out, rest): (Vec<_>, Vec<_>) = std::mem::take(&mut self.back)
            .into_iter()
            .partition(|item| leaves(&item.submission));
        self.back = rest.into();
        for account in &mut self.accounts {
            for queue in [&mut account.late, &mut account.queue] {
                let (gone, rest): (Vec<_>, Vec<_>) = std::mem::take(queue)
                    .into_iter()
                    .partition(|item| leaves(&item.submission));
                out.extend(gone);
                *queue = rest.into();
            }
        }
        self.len -= out.len();
        out
    }

    fn expected(&self, seek: &Submission) -> f64 {
        let most = f64::from(seek.max_tokens);
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

    fn heads(&self) -> impl Iterator<Item = (usize, &Entry)> {
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
                    Flow {
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
