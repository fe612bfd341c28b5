//! A fair queue of the waiting calls of one tier and set of pools.
//!
//! The customer that has been served the fewest tokens goes next. A customer that becomes active
//! again is raised to the queue's virtual time if it is below, so that turns that it left unused
//! do not count. Usage above the virtual time counts only until the others have caught up.

use std::collections::VecDeque;
use std::sync::Arc;
use std::time::Duration;

use super::placement::Contention;
use super::{Policy, Submission};
use crate::id::CallId;
use crate::runner::Key;
use crate::time::Moment;

/// Maximum customers considered for one start.
const MAX_CANDIDATES: usize = 8;
/// Minimum decayed starts of an active customer.
const ACTIVE_STARTS: f64 = 0.25;
/// Weight of the newest answer in the mean answer length.
const LENGTH_GAIN: f64 = 0.05;

plain! {
    /// A waiting call.
    pub struct Entry {
        /// The submitted call.
        pub submission: Submission,
        /// When it was queued.
        pub queued_at: Moment,
        /// Time from which a start is late.
        pub late_at: Moment,
        /// Time at which it is refused.
        pub expires_at: Moment,
    }
}

plain! {
    /// The calls of one customer.
    struct Flow {
        customer: String,
        /// Tokens of finished calls, and expected tokens of running ones.
        served_tokens: f64,
        /// Decayed number of starts.
        starts: f64,
        /// Latest reserved retry time.
        last_reservation: Moment,
        /// Waiting calls that are not late, in order of arrival.
        waiting: VecDeque<Entry>,
        /// Waiting calls that are late, in order of arrival.
        late: VecDeque<Entry>,
    }
}

/// The queue of one tier and set of pools.
#[derive(Debug)]
pub struct Queue {
    /// Name of its tier.
    pub name: String,
    /// Position of its tier in the current view; none if it no longer exists.
    pub tier: Option<usize>,
    /// Contention on each of its pools.
    pub contention: Arc<[(String, Contention)]>,
    pools: Arc<[String]>,
    flows: Vec<Flow>,
    /// Retries that arrived at their reserved time.
    returned: VecDeque<Entry>,
    /// Reserved retry times, sorted.
    reservations: Vec<Moment>,
    /// Mean answer length in tokens, by class, sorted.
    mean_tokens: Vec<(String, f64)>,
    /// Virtual time of fair queueing: the highest `served_tokens` with which a flow was next.
    virtual_tokens: f64,
    starts: f64,
    retry_budget: f64,
    len: usize,
}

impl Queue {
    /// Creates an empty queue for calls of the same tier and pools.
    pub fn new(submission: &Submission, tier: usize) -> Self {
        Self {
            name: submission.tier.clone(),
            tier: Some(tier),
            contention: Arc::from([]),
            pools: submission.pools.clone(),
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

    /// Tier and pools, by which queues are sorted.
    pub fn sort_key(&self) -> (&str, &[String]) {
        (&self.name, &self.pools)
    }

    /// Whether two queues share a pool.
    pub fn overlaps(&self, other: &Queue) -> bool {
        self.pools.iter().any(|pool| other.pools.contains(pool))
    }

    /// Number of waiting calls.
    pub fn len(&self) -> usize {
        self.len
    }

    /// Whether no call waits.
    pub fn is_empty(&self) -> bool {
        self.len == 0
    }

    /// Decayed number of starts.
    pub fn starts(&self) -> f64 {
        self.starts
    }

    /// When the longest-waiting call was queued.
    pub fn oldest_since(&self) -> Option<Moment> {
        let late = self.flows.iter().filter_map(|flow| flow.late.front());
        let heads = self.heads().map(|(_, head)| head);
        heads
            .chain(late)
            .chain(self.returned.front())
            .map(|head| head.queued_at)
            .min()
    }

    /// Adds a call.
    pub fn push(&mut self, entry: Entry) {
        self.len += 1;
        if entry.submission.reserved {
            self.returned.push_back(entry);
            return;
        }
        let at = self.flow_index(&entry.submission.customer);
        if self.flows[at].waiting.is_empty() {
            self.flows[at].served_tokens = self.flows[at].served_tokens.max(self.virtual_tokens);
        }
        self.flows[at].waiting.push_back(entry);
    }

    /// Decayed number of a customer's starts.
    pub fn starts_for(&self, customer: &str) -> f64 {
        self.find_flow(customer).map_or(0.0, |at| self.flows[at].starts)
    }

    /// Number of a customer's waiting calls that are not late.
    pub fn len_for(&self, customer: &str) -> usize {
        self.find_flow(customer)
            .map_or(0, |at| self.flows[at].waiting.len())
    }

    /// Moves calls that are late behind all others, so that they do not make the next ones late
    /// as well.
    pub fn defer_late(&mut self, now: Moment) {
        for flow in &mut self.flows {
            while flow.waiting.front().is_some_and(|head| now.reached(head.late_at)) {
                flow.late.extend(flow.waiting.pop_front());
            }
        }
    }

    /// Reserves a retry time for a customer, not before `earliest`. `starts_per_s` is divided
    /// evenly between the active customers, whether they need it or not; otherwise one that
    /// floods the queue would take the shares of the others.
    pub fn reserve(&mut self, earliest: Moment, customer: &str, starts_per_s: f64) -> Moment {
        let active = self.flows.iter().filter(|flow| flow.starts >= ACTIVE_STARTS);
        let flows = active.count().max(1) as f64;
        let at = self.flow_index(customer);
        let next_free =
            self.flows[at].last_reservation + Duration::from_secs_f64(flows / starts_per_s.max(1e-3));
        let due = next_free.max(earliest);
        self.flows[at].last_reservation = due;
        let position = self.reservations.partition_point(|existing| *existing <= due);
        self.reservations.insert(position, due);
        due
    }

    /// Number of reserved retries up to a time.
    pub fn reserved_until(&self, then: Moment) -> usize {
        self.reservations.partition_point(|due| *due <= then)
    }

    /// Drops reservations whose time has passed.
    pub fn expire_reservations(&mut self, now: Moment) {
        let passed = self.reserved_until(now);
        self.reservations.drain(..passed);
    }

    /// Number of waiting calls that would start before a new one of this customer.
    pub fn calls_ahead(&self, customer: &str) -> usize {
        let own = self
            .find_flow(customer)
            .map_or(0, |at| self.flows[at].waiting.len());
        let others = self.flows.iter().filter(|flow| flow.customer != customer);
        own + others.map(|flow| flow.waiting.len().min(own + 1)).sum::<usize>()
    }

    /// Takes the next call for which `pick` finds a runner.
    pub fn take(
        &mut self,
        policy: Policy,
        mut pick: impl FnMut(&Submission) -> Option<Key>,
    ) -> Option<(Entry, Key)> {
        if let Some(taken) = self.take_returned(&mut pick) {
            return Some(taken);
        }
        if self.heads().next().is_none() {
            return self.take_late(pick);
        }
        for at in self.candidates(policy) {
            let Some(head) = self.flows[at].waiting.front() else {
                continue;
            };
            let Some(runner) = pick(&head.submission) else {
                // All calls in this queue use the same pools. If there is no runner for one,
                // there is none for the others, unless the first excludes some.
                if head.submission.avoid.is_empty() {
                    return None;
                }
                continue;
            };
            let entry = self.flows[at].waiting.pop_front()?;
            self.len -= 1;
            self.starts += 1.0;
            self.flows[at].starts += 1.0;
            self.virtual_tokens = self.virtual_tokens.max(self.flows[at].served_tokens);
            self.flows[at].served_tokens += self.expected_tokens(&entry.submission);
            return Some((entry, runner));
        }
        None
    }

    /// Takes a retry that arrived at its reserved time.
    fn take_returned(&mut self, pick: &mut impl FnMut(&Submission) -> Option<Key>) -> Option<(Entry, Key)> {
        let runner = pick(&self.returned.front()?.submission)?;
        let entry = self.returned.pop_front()?;
        self.len -= 1;
        self.starts += 1.0;
        let at = self.flow_index(&entry.submission.customer);
        self.flows[at].starts += 1.0;
        self.flows[at].served_tokens += self.expected_tokens(&entry.submission);
        Some((entry, runner))
    }

    /// Takes the late call that was queued first; used when no other calls wait.
    fn take_late(&mut self, mut pick: impl FnMut(&Submission) -> Option<Key>) -> Option<(Entry, Key)> {
        let late_since = |at: &usize| self.flows[*at].late.front().map(|head| head.queued_at);
        let at = (0..self.flows.len())
            .filter(|at| late_since(at).is_some())
            .min_by_key(late_since)?;
        let runner = pick(&self.flows[at].late.front()?.submission)?;
        let entry = self.flows[at].late.pop_front()?;
        self.len -= 1;
        self.starts += 1.0;
        self.flows[at].starts += 1.0;
        Some((entry, runner))
    }

    /// The customers to serve next, in order; at most `MAX_CANDIDATES`.
    fn candidates(&self, policy: Policy) -> Vec<usize> {
        let queued_at = |at: &usize| self.flows[*at].waiting.front().map(|head| head.queued_at);
        let compare = |a: &usize, b: &usize| match policy.is_fair() {
            true => self.flows[*a]
                .served_tokens
                .total_cmp(&self.flows[*b].served_tokens),
            false => queued_at(a).cmp(&queued_at(b)),
        };
        let mut order: Vec<usize> = self.heads().map(|(at, _)| at).collect();
        if order.len() > MAX_CANDIDATES {
            order.select_nth_unstable_by(MAX_CANDIDATES, compare);
            order.truncate(MAX_CANDIDATES);
        }
        order.sort_by(compare);
        order
    }

    /// Replaces the expected tokens of a finished call by the actual number, and updates the
    /// mean answer length of its class.
    pub fn record_usage(&mut self, submission: &Submission, tokens: u32, completed: bool) {
        let expected = self.expected_tokens(submission);
        let at = self.flow_index(&submission.customer);
        self.flows[at].served_tokens += f64::from(tokens) - expected;
        if completed {
            self.learn_length(&submission.class, f64::from(tokens));
        }
    }

    /// Takes one upstream retry from the budget, if any is left.
    pub fn take_retry(&mut self) -> bool {
        let left = self.retry_budget >= 1.0;
        if left {
            self.retry_budget -= 1.0;
        }
        left
    }

    /// Decays the counts and refills the retry budget.
    pub fn decay(&mut self, factor: f64, retry_share: f64, min_retries: f64) {
        let max_retries = (self.starts * retry_share).max(min_retries);
        self.retry_budget = (self.retry_budget + max_retries * (1.0 - factor)).min(max_retries);
        self.starts *= factor;
        for flow in &mut self.flows {
            flow.starts *= factor;
        }
    }

    /// Removes and returns the calls that waited too long.
    pub fn expire(&mut self, now: Moment) -> Vec<Entry> {
        let mut out = Vec::new();
        while self
            .returned
            .front()
            .is_some_and(|head| now.reached(head.expires_at))
        {
            out.extend(self.returned.pop_front());
        }
        for flow in &mut self.flows {
            for queue in [&mut flow.late, &mut flow.waiting] {
                while queue.front().is_some_and(|head| now.reached(head.expires_at)) {
                    out.extend(queue.pop_front());
                }
            }
        }
        self.len -= out.len();
        out
    }

    /// Removes a call; returns whether it was found.
    pub fn remove(&mut self, call: CallId) -> bool {
        if let Some(at) = self
            .returned
            .iter()
            .position(|entry| entry.submission.call == call)
        {
            self.returned.remove(at);
            self.len -= 1;
            return true;
        }
        for flow in &mut self.flows {
            for queue in [&mut flow.late, &mut flow.waiting] {
                if let Some(at) = queue.iter().position(|entry| entry.submission.call == call) {
                    queue.remove(at);
                    self.len -= 1;
                    return true;
                }
            }
        }
        false
    }

    /// Removes and returns the calls for which `matches` is true.
    pub fn drain_if(&mut self, matches: impl Fn(&Submission) -> bool) -> Vec<Entry> {
        let (mut out, rest): (Vec<_>, Vec<_>) = std::mem::take(&mut self.returned)
            .into_iter()
            .partition(|entry| matches(&entry.submission));
        self.returned = rest.into();
        for flow in &mut self.flows {
            for queue in [&mut flow.late, &mut flow.waiting] {
                let (removed, rest): (Vec<_>, Vec<_>) = std::mem::take(queue)
                    .into_iter()
                    .partition(|entry| matches(&entry.submission));
                out.extend(removed);
                *queue = rest.into();
            }
        }
        self.len -= out.len();
        out
    }

    fn expected_tokens(&self, submission: &Submission) -> f64 {
        let max_tokens = f64::from(submission.max_tokens);
        let known = self
            .mean_tokens
            .binary_search_by(|(class, _)| class.cmp(&submission.class));
        known.map_or(max_tokens, |at| self.mean_tokens[at].1.min(max_tokens))
    }

    fn learn_length(&mut self, class: &str, tokens: f64) {
        match self
            .mean_tokens
            .binary_search_by(|(existing, _)| existing.as_str().cmp(class))
        {
            Ok(at) => self.mean_tokens[at].1 += (tokens - self.mean_tokens[at].1) * LENGTH_GAIN,
            Err(at) => self.mean_tokens.insert(at, (class.to_string(), tokens)),
        }
    }

    fn heads(&self) -> impl Iterator<Item = (usize, &Entry)> {
        self.flows
            .iter()
            .enumerate()
            .filter_map(|(at, flow)| Some((at, flow.waiting.front()?)))
    }

    fn find_flow(&self, customer: &str) -> Option<usize> {
        self.flows
            .binary_search_by(|flow| flow.customer.as_str().cmp(customer))
            .ok()
    }

    fn flow_index(&mut self, customer: &str) -> usize {
        match self
            .flows
            .binary_search_by(|flow| flow.customer.as_str().cmp(customer))
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
