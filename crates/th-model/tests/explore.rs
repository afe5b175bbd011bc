//! The search counts states, and finds a shortest trace to a state that violates an invariant.

use th_model::{Model, Outcome, explore};

/// A counter from 0 to 9 that is raised by one or by two, and must not reach `bad`.
struct Counter {
    bad: Option<u8>,
}

impl Model for Counter {
    type State = u8;
    type Action = u8;

    fn start(&self) -> u8 {
        0
    }

    fn steps(&self, state: &u8) -> Vec<(u8, u8)> {
        let mut steps = Vec::new();
        for by in [1, 2] {
            if state + by <= 9 {
                steps.push((by, state + by));
            }
        }
        steps
    }

    fn violated_invariant(&self, state: &u8) -> Option<&'static str> {
        (Some(*state) == self.bad).then_some("the bad state is not reached")
    }
}

#[test]
fn all_states_are_counted() {
    assert_eq!(explore(&Counter { bad: None }), Outcome::Holds { states: 10 });
}

#[test]
fn shortest_trace_is_returned() {
    let expected =
        Outcome::Violated { invariant: "the bad state is not reached", trace: vec![1, 2, 2] };
    assert_eq!(explore(&Counter { bad: Some(5) }), expected);
}
