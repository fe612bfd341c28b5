//! Tests of the order in which requests wait for room at runners.

use quickcheck::quickcheck;
use radishstair_core::proxy::waiting::{Ticket, Waiting};

/// Urgent requests could be refused while less urgent ones that had come before them took the room.
#[test]
fn the_most_urgent_request_goes_first() {
    let mut waiting = Waiting::default();
    let patient = waiting.join("engines", 3);
    let urgent = waiting.join("engines", 0);
    let other = waiting.join("ledger", 9);
    assert!(waiting.is_first(urgent) && waiting.is_first(other));
    assert!(!waiting.is_first(patient));
    assert!(waiting.goes_behind("engines", 0), "equals go in order of arrival");
    waiting.leave(urgent);
    assert!(waiting.is_first(patient));
    assert!(!waiting.goes_behind("engines", 2));
    assert!(waiting.goes_behind("engines", 3));
    waiting.leave(patient);
    assert!(!waiting.goes_behind("engines", 9));
}

quickcheck! {
    /// Whatever joins and leaves, each service has exactly one first request, the most urgent and oldest one.
    fn each_service_has_one_first_request(steps: Vec<(bool, u8, bool)>) -> bool {
        let mut waiting = Waiting::default();
        let mut present: Vec<(&str, u8, Ticket)> = Vec::new();
        for (is_engine, rank, leaves) in steps {
            let service = if is_engine { "engines" } else { "ledger" };
            if leaves && !present.is_empty() {
                let (_, _, ticket) = present.remove(usize::from(rank) % present.len());
                waiting.leave(ticket);
            } else {
                present.push((service, rank, waiting.join(service, rank)));
            }
            for service in ["engines", "ledger"] {
                let of_service: Vec<_> = present.iter().filter(|(of, ..)| *of == service).collect();
                let first: Vec<u8> = of_service
                    .iter()
                    .filter(|(.., ticket)| waiting.is_first(*ticket))
                    .map(|(_, rank, _)| *rank)
                    .collect();
                let most_urgent = of_service.iter().map(|(_, rank, _)| *rank).min();
                if first.len() > 1 || first.first().copied() != most_urgent {
                    return false;
                }
            }
        }
        true
    }
}
