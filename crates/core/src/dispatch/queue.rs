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
use crate::id::Call;
use crate::runner::Key;
use crate::time::Moment;

/// Heads of queues looked at for one start.
const MAX_CANDIDATES: usize = 8;
/// Decayed starts from which a customer counts as active.
const ACTIVE_STARTS: f64 = 0.25;
/// Weight of the newest answer in learned lengths.
const LENGTH_GAIN: f64 = 0.05;

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
        served_tokens: f64,
        starts: f64,
        last_reservation: Moment,
        waiting: VecDeque<Entry>,
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
    flows: Vec<Flow>,
    /// Calls that came back as promised.
    returned: VecDeque<Entry>,
    /// Times at which calls were told to come back, in order.
    reservations: Vec<Moment>,
    mean_tokens: Vec<(String, f64)>,
    virtual_tokens: f64,
    starts: f64,
    retry_budget: f64,
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
            flows: Vec::new(),
            returned: VecDeque::new(),
            reservations: Vec::new(),
            mean_tokens: Vec::new(),
            virtual_tokens: 0.0,
            starts: 0.0,
            retry_budget: 10.0,
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
        let late = self.flows.iter().filter_map(|account| account.late.front());
        let heads = self.heads().map(|(_, head)| head);
        heads
            .chain(late)
            .chain(self.returned.front())
            .map(|head| head.queued_at)
            .min()
    }

    /// A call waits.
    pub fn push(&mut self, item: Entry) {
        self.len += 1;
        if item.submission.reserved {
            self.returned.push_back(item);
            return;
        }
        let at = self.flow_index(&item.submission.customer);
        if self.flows[at].waiting.is_empty() {
            self.flows[at].served_tokens = self.flows[at].served_tokens.max(self.virtual_tokens);
        }
        self.flows[at].waiting.push_back(item);
    }

    /// Starts of a customer, decayed.
    pub fn starts_for(&self, customer: &str) -> f64 {
        self.find_flow(customer).map_or(0.0, |at| self.flows[at].starts)
    }

    /// Calls of a customer that wait and can be in time.
    pub fn len_for(&self, customer: &str) -> usize {
        self.find_flow(customer)
            .map_or(0, |at| self.flows[at].waiting.len())
    }

    /// Sets calls aside that can no longer be in time, so that they do not
    /// make the next ones late as well.
    pub fn defer_late(&mut self, now: Moment) {
        for account in &mut self.flows {
            while account
                .waiting
                .front()
                .is_some_and(|head| now.reached(head.late_at))
            {
                account.late.extend(account.waiting.pop_front());
            }
        }
    }

    /// Promises a time to a customer, not before `least`. Each active customer
    /// has an even part of the pace, in calls a second, whether it asks for it
    /// or not: one that floods would else take the others' part as well.
    pub fn reserve(&mut self, least: Moment, customer: &str, pace: f64) -> Moment {
        let active = self
            .flows
            .iter()
            .filter(|account| account.starts >= ACTIVE_STARTS);
        let parts = active.count().max(1) as f64;
        let at = self.flow_index(customer);
        let next = self.flows[at].last_reservation + Duration::from_secs_f64(parts / pace.max(1e-3));
        let due = next.max(least);
        self.flows[at].last_reservation = due;
        let place = self.reservations.partition_point(|have| *have <= due);
        self.reservations.insert(place, due);
        due
    }

    /// Calls that were told to come back by then.
    pub fn reserved_until(&self, then: Moment) -> usize {
        self.reservations.partition_point(|due| *due <= then)
    }

    /// Drops promises whose time has passed.
    pub fn expire_reservations(&mut self, now: Moment) {
        let passed = self.reserved_until(now);
        self.reservations.drain(..passed);
    }

    /// Calls that would start before one more of this customer.
    pub fn calls_ahead(&self, customer: &str) -> usize {
        let own = self
            .find_flow(customer)
            .map_or(0, |at| self.flows[at].waiting.len());
        let others = self.flows.iter().filter(|account| account.customer != customer);
        own + others
            .map(|account| account.waiting.len().min(own + 1))
            .sum::<usize>()
    }

    /// Takes the next call for which `choose` finds a runner.
    pub fn take(
        &mut self,
        policy: Policy,
        mut choose: impl FnMut(&Submission) -> Option<Key>,
    ) -> Option<(Entry, Key)> {
        if let Some(taken) = self.take_returned(&mut choose) {
            return Some(taken);
        }
        if self.heads().next().is_none() {
            return self.take_late(choose);
        }
        for at in self.candidates(policy) {
            let Some(head) = self.flows[at].waiting.front() else {
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
            let item = self.flows[at].waiting.pop_front()?;
            self.len -= 1;
            self.starts += 1.0;
            self.flows[at].starts += 1.0;
            self.virtual_tokens = self.virtual_tokens.max(self.flows[at].served_tokens);
            self.flows[at].served_tokens += self.expected_tokens(&item.submission);
            return Some((item, runner));
        }
        None
    }

    /// Takes a call that came back as promised.
    fn take_returned(&mut self, choose: &mut impl FnMut(&Submission) -> Option<Key>) -> Option<(Entry, Key)> {
        let runner = choose(&self.returned.front()?.submission)?;
        let item = self.returned.pop_front()?;
        self.len -= 1;
        self.starts += 1.0;
        let at = self.flow_index(&item.submission.customer);
        self.flows[at].starts += 1.0;
        self.flows[at].served_tokens += self.expected_tokens(&item.submission);
        Some((item, runner))
    }

    /// Takes the call that has been late for the longest; nothing that can be
    /// in time waits.
    fn take_late(&mut self, mut choose: impl FnMut(&Submission) -> Option<Key>) -> Option<(Entry, Key)> {
        let late = |at: &usize| self.flows[*at].late.front().map(|head| head.queued_at);
        let at = (0..self.flows.len())
            .filter(|at| late(at).is_some())
            .min_by_key(late)?;
        let runner = choose(&self.flows[at].late.front()?.submission)?;
        let item = self.flows[at].late.pop_front()?;
        self.len -= 1;
        self.starts += 1.0;
        self.flows[at].starts += 1.0;
        Some((item, runner))
    }

    /// Customers whose turn it is, the first few.
    fn candidates(&self, policy: Policy) -> Vec<usize> {
        let since = |at: &usize| self.flows[*at].waiting.front().map(|head| head.queued_at);
        let compare = |a: &usize, b: &usize| match policy.is_fair() {
            true => self.flows[*a]
                .served_tokens
                .total_cmp(&self.flows[*b].served_tokens),
            false => since(a).cmp(&since(b)),
        };
        let mut order: Vec<usize> = self.heads().map(|(at, _)| at).collect();
        if order.len() > MAX_CANDIDATES {
            order.select_nth_unstable_by(MAX_CANDIDATES, compare);
            order.truncate(MAX_CANDIDATES);
        }
        order.sort_by(compare);
        order
    }

    /// Corrects what a call was expected to cost, and learns its length.
    pub fn record_usage(&mut self, seek: &Submission, tokens: u32, whole: bool) {
        let expected = self.expected_tokens(seek);
        let at = self.flow_index(&seek.customer);
        self.flows[at].served_tokens += f64::from(tokens) - expected;
        if whole {
            self.learn_length(&seek.class, f64::from(tokens));
        }
    }

    /// Takes a retry from the budget, if there is one left.
    pub fn take_retry(&mut self) -> bool {
        let left = self.retry_budget >= 1.0;
        if left {
            self.retry_budget -= 1.0;
        }
        left
    }

    /// Ages the counts and refills the retry budget.
    pub fn decay(&mut self, factor: f64, share: f64, least: f64) {
        let most = (self.starts * share).max(least);
        self.retry_budget = (self.retry_budget + most * (1.0 - factor)).min(most);
        self.starts *= factor;
        for account in &mut self.flows {
            account.starts *= factor;
        }
    }

    /// Takes out the calls that waited too long.
    pub fn expire(&mut self, now: Moment) -> Vec<Entry> {
        let mut out = Vec::new();
        while self
            .returned
            .front()
            .is_some_and(|head| now.reached(head.expires_at))
        {
            out.extend(self.returned.pop_front());
        }
        for account in &mut self.flows {
            for queue in [&mut account.late, &mut account.waiting] {
                while queue.front().is_some_and(|head| now.reached(head.expires_at)) {
                    out.extend(queue.pop_front());
                }
            }
        }
        self.len -= out.len();
        out
    }

    /// Takes a call out by name.
    pub fn remove(&mut self, call: Call) -> bool {
        if let Some(at) = self.returned.iter().position(|item| item.submission.call == call) {
            self.returned.remove(at);
            self.len -= 1;
            return true;
        }
        for account in &mut self.flows {
            for queue in [&mut account.late, &mut account.waiting] {
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
        let (mut out, rest): (Vec<_>, Vec<_>) = std::mem::take(&mut self.returned)
            .into_iter()
            .partition(|item| leaves(&item.submission));
        self.returned = rest.into();
        for account in &mut self.flows {
            for queue in [&mut account.late, &mut account.waiting] {
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

    fn expected_tokens(&self, seek: &Submission) -> f64 {
        let most = f64::from(seek.max_tokens);
        let learned = self
            .mean_tokens
            .binary_search_by(|(class, _)| class.cmp(&seek.class));
        learned.map_or(most, |at| self.mean_tokens[at].1.min(most))
    }

    fn learn_length(&mut self, class: &str, tokens: f64) {
        match self
            .mean_tokens
            .binary_search_by(|(have, _)| have.as_str().cmp(class))
        {
            Ok(at) => self.mean_tokens[at].1 += (tokens - self.mean_tokens[at].1) * LENGTH_GAIN,
            Err(at) => self.mean_tokens.insert(at, (class.to_string(), tokens)),
        }
    }

    fn heads(&self) -> impl Iterator<Item = (usize, &Entry)> {
        self.flows
            .iter()
            .enumerate()
            .filter_map(|(at, account)| Some((at, account.waiting.front()?)))
    }

    fn find_flow(&self, customer: &str) -> Option<usize> {
        self.flows
            .binary_search_by(|account| account.customer.as_str().cmp(customer))
            .ok()
    }

    fn flow_index(&mut self, customer: &str) -> usize {
        match self
            .flows
            .binary_search_by(|account| account.customer.as_str().cmp(customer))
        {
            Ok(at) => at,
            Err(at) => {
                self.flows.insert(
                    at,
                    Flow {
                        customer: customer.to_string(),
                        served_tokens: self.virtual_tokens,
                        starts: 0.0,
                        last_reservation: Moment::default(),
                        waiting: VecDeque::new(),
                        late: VecDeque::new(),
                    },
                );
                at
            }
        }
    }
}
