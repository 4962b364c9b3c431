//! Tests which decision for overload a deployment gets.

use std::rc::Rc;

use yucca_serve::held::{Overloads, ServiceOverload};
use yuccacove::fair_shares::Asker;
use yuccacove::forecast::Forecast;
use yuccacove::overload::{Ask, Decision};

/// A request of a kind that is as urgent as its number, on decode engines that are well used.
fn ask(kind: u64, first_token_ms: f64) -> Ask {
    let urgency = kind as u8;
    Ask {
        asker: Asker {
            organisation: None,
            kind,
            urgency,
            tokens: 800,
        },
        forecast: Forecast {
            first_token_ms,
            elapsed_ms: 0,
            left_ms: 8_000,
            target_ms: 250,
            urgency,
            decode_utilisation: 0.8,
            prefill_queue_ms: 0.0,
            urgent_target_ms: None,
        },
        work_ms: 20.0,
        ticket: None,
    }
}

/// Returns how many requests of the less urgent kind start while the urgent kind is refused.
fn started(overload: &Rc<ServiceOverload>) -> usize {
    let mut started = 0;
    for at in 0..200u64 {
        overload.decide(&ask(0, 9_000.0), at * 10, at);
        let decision = overload.decide(&ask(1, 100.0), at * 10 + 5, at);
        started += usize::from(decision == Decision::Admit);
    }
    started
}

/// In small fleets decode engines are usually well used. Without organisations, whose fairness needs it,
/// the decision for overload must not hold or refuse requests there that can be in time.
#[test]
fn decide_without_organisations() {
    let overloads = Overloads::default();
    assert_eq!(started(&overloads.service("model", false)), 200);
    // The same requests show that the other decision would have done so.
    assert!(started(&overloads.service("model", true)) < 200);
}

/// The state must not be lost with each request, and must follow a configuration that adds organisations.
#[test]
fn service_state() {
    let overloads = Overloads::default();
    let before = overloads.service("model", false);
    assert!(Rc::ptr_eq(&before, &overloads.service("model", false)));
    assert!(!Rc::ptr_eq(&before, &overloads.service("other", false)));
    let shared = overloads.service("model", true);
    assert!(!Rc::ptr_eq(&before, &shared));
    assert!(Rc::ptr_eq(&shared, &overloads.service("model", true)));
}
