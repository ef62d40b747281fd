//! Admission control: limits, fairness between sessions, and refusals.

use std::collections::HashMap;
use std::time::Duration;

use proptest::prelude::*;
use spurpier_core::admission::{AdmissionControl, AdmissionDecision, Ticket};
use spurpier_core::identity::SessionId;
use spurpier_core::time::Timestamp;

const FAR_DEADLINE: Timestamp = Timestamp::from_millis(1_000_000);

fn session(number: u8) -> SessionId {
    SessionId::from(format!("session-{number}"))
}

#[derive(Debug, Clone)]
enum Step {
    Admit { session: u8, timeout_ms: u64 },
    Release,
    Cancel(usize),
}

fn steps() -> impl Strategy<Value = Vec<Step>> {
    let step = prop_oneof![
        3 => (0_u8..4, 1_u64..5_000).prop_map(|(session, timeout_ms)| Step::Admit {
            session,
            timeout_ms
        }),
        2 => Just(Step::Release),
        1 => (0_usize..20).prop_map(Step::Cancel),
    ];
    proptest::collection::vec(step, 1..200)
}

proptest! {
    #[test]
    fn slots_and_queue_stay_within_their_bounds(
        slots in 1_usize..6,
        limit in 0_usize..8,
        steps in steps(),
    ) {
        let mut admission = AdmissionControl::new(slots, limit);
        let mut waiting: Vec<(SessionId, Ticket, Timestamp)> = Vec::new();
        let mut running = 0_usize;
        for (number, step) in steps.into_iter().enumerate() {
            let now = Timestamp::from_millis(number as u64);
            match step {
                Step::Admit { session: number, timeout_ms } => {
                    let deadline = now + Duration::from_millis(timeout_ms);
                    match admission.admit(&session(number), deadline, true, now) {
                        AdmissionDecision::Admitted => running += 1,
                        AdmissionDecision::Queued(ticket) => {
                            waiting.push((session(number), ticket, deadline));
                        }
                        AdmissionDecision::Refused { retry_after } => {
                            prop_assert!(!retry_after.is_zero());
                        }
                    }
                }
                Step::Release if running > 0 => {
                    admission.release_slot(now);
                    running -= 1;
                }
                Step::Cancel(index) if index < waiting.len() => {
                    let (session, ticket, _) = waiting.remove(index);
                    admission.cancel(&session, ticket);
                }
                Step::Release | Step::Cancel(_) => {}
            }
            while let Some(ticket) = admission.start_next(now) {
                let index = waiting.iter().position(|(_, known, _)| *known == ticket);
                let (_, _, deadline) = waiting.remove(index.expect("only a waiting unit starts"));
                prop_assert!(deadline > now);
                running += 1;
            }
            prop_assert_eq!(admission.running(), running);
            prop_assert!(running <= slots);
            prop_assert!(admission.waiting() <= limit);
            prop_assert!(admission.waiting() <= waiting.len());
            prop_assert!(running == slots || admission.waiting() == 0);
        }
    }

    #[test]
    fn sessions_are_served_round_robin(counts in proptest::collection::vec(1_usize..6, 2..5)) {
        let mut admission = AdmissionControl::new(1, 100);
        admission.admit(&session(99), FAR_DEADLINE, true, Timestamp::ZERO);
        let mut owners = HashMap::new();
        for (number, count) in counts.iter().enumerate() {
            for _ in 0..*count {
                let owner = session(number as u8);
                if let AdmissionDecision::Queued(ticket) =
                    admission.admit(&owner, FAR_DEADLINE, true, Timestamp::ZERO)
                {
                    owners.insert(ticket, number);
                }
            }
        }
        let mut started = vec![0_usize; counts.len()];
        while admission.waiting() > 0 {
            admission.release_slot(Timestamp::ZERO);
            let ticket = admission.start_next(Timestamp::ZERO).expect("a slot is free");
            started[owners[&ticket]] += 1;
            // No session is more than one unit ahead of another that still waits.
            for (mine, theirs) in (0..counts.len()).flat_map(|a| (0..counts.len()).map(move |b| (a, b))) {
                let still_waits = started[theirs] < counts[theirs];
                prop_assert!(!still_waits || started[mine] <= started[theirs] + 1);
            }
        }
    }
}

#[test]
fn a_wait_past_the_deadline_is_refused_at_once() {
    let mut admission = AdmissionControl::new(1, 100);
    let now = Timestamp::from_millis(10);
    admission.admit(&session(0), FAR_DEADLINE, true, now);
    for _ in 0..50 {
        admission.admit(&session(1), FAR_DEADLINE, true, now);
    }
    let wait = admission.expected_wait();
    let decision = admission.admit(&session(2), now + wait / 2, true, now);
    assert_eq!(decision, AdmissionDecision::Refused { retry_after: wait });
}
