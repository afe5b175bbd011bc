//! Breadth-first search over every state that a model can reach.

use std::{cell::Cell, fmt::Debug, hash::Hash};

use pathfinding::directed::bfs::bfs;

/// A small specification: states, the actions between them, and the invariants of each state.
pub trait Model {
    /// Everything that distinguishes one state of the system from another.
    type State: Clone + Eq + Hash + Debug;
    /// One step of the protocol, or one fault.
    type Action: Clone + Debug;

    /// Returns the initial state.
    fn start(&self) -> Self::State;

    /// Returns every action that is possible in `state`, with the state that it leads to.
    fn steps(&self, state: &Self::State) -> Vec<(Self::Action, Self::State)>;

    /// Returns the name of an invariant that does not hold in `state`.
    fn violated_invariant(&self, state: &Self::State) -> Option<&'static str>;
}

/// The result of a search.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Outcome<A> {
    /// Every invariant holds in every reachable state.
    Holds {
        /// Number of distinct states that were reached.
        states: usize,
    },
    /// An invariant does not hold in a reachable state.
    Violated {
        /// The name of the invariant.
        invariant: &'static str,
        /// A shortest sequence of actions that leads to the state.
        trace: Vec<A>,
    },
}

/// Searches all reachable states of `model`, those with the fewest actions first.
pub fn explore<M: Model>(model: &M) -> Outcome<M::Action> {
    let states = Cell::new(0);
    let successors = |state: &M::State| {
        states.set(states.get() + 1);
        model.steps(state).into_iter().map(|(_, next)| next).collect::<Vec<_>>()
    };
    let path = bfs(&model.start(), successors, |state| model.violated_invariant(state).is_some());
    match path {
        None => Outcome::Holds { states: states.get() },
        Some(path) => {
            let last = path.last().expect("a path has a first state");
            let invariant = model
                .violated_invariant(last)
                .expect("the search ended at a state that violates an invariant");
            Outcome::Violated { invariant, trace: actions(model, &path) }
        }
    }
}

/// Returns the actions between the states of a path.
fn actions<M: Model>(model: &M, path: &[M::State]) -> Vec<M::Action> {
    let mut trace = Vec::new();
    for pair in path.windows(2) {
        let step = model.steps(&pair[0]).into_iter().find(|(_, next)| *next == pair[1]);
        trace.push(
            step.expect("each state of a path is reached by an action from the one before").0,
        );
    }
    trace
}
