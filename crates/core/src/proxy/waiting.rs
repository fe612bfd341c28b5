//! Requests that wait for room at the runners of a service, the most urgent first.
//!
//! When a request leaves its runner, all waiting requests of the host wake up. Only the first of them may
//! try, so that room goes to the most urgent one, and among equals to the one that has waited longest. A
//! request that arrives meanwhile does not overtake one that is as urgent.

use crate::id::digest;

plain! {
    /// Position of a waiting request: its service, its rank and its number.
    #[derive(Copy, Eq, PartialOrd, Ord)]
    pub struct Ticket {
        service: u64,
        rank: u8,
        number: u64,
    }
}

/// Waiting requests of one host.
#[derive(Clone, Debug, Default)]
pub struct Waiting {
    /// Sorted: by service, then the most urgent first, then in order of arrival.
    tickets: Vec<Ticket>,
    last_number: u64,
}

impl Waiting {
    /// Adds a request with this rank, 0 being the most urgent.
    pub fn join(&mut self, service: &str, rank: u8) -> Ticket {
        self.last_number += 1;
        let ticket = Ticket {
            service: digest(service.as_bytes()),
            rank,
            number: self.last_number,
        };
        let at = self.tickets.partition_point(|waiting| *waiting < ticket);
        self.tickets.insert(at, ticket);
        ticket
    }

    /// Removes a request.
    pub fn leave(&mut self, ticket: Ticket) {
        if let Ok(at) = self.tickets.binary_search(&ticket) {
            self.tickets.remove(at);
        }
    }

    /// Whether no request of the service goes before this one.
    pub fn is_first(&self, ticket: Ticket) -> bool {
        let at = self.tickets.partition_point(|waiting| *waiting < ticket);
        at == 0 || self.tickets[at - 1].service != ticket.service
    }

    /// Whether a request that arrives now has to wait behind another one of the service.
    pub fn goes_behind(&self, service: &str, rank: u8) -> bool {
        let service = digest(service.as_bytes());
        let at = self.tickets.partition_point(|waiting| waiting.service < service);
        let first = self.tickets.get(at).filter(|waiting| waiting.service == service);
        first.is_some_and(|first| first.rank <= rank)
    }
}
