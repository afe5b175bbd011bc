//! Breadth-first search over every state that a model can reach.

use std::{cell::Cell, fmt::Debug, hash::Hash};

use pathfinding::directed::bfs::bfs;

/// A small specification: states, the actions that lead on, and what must hold in each state.
pub trait Model {
    /// All that distinguishes one moment from another.
    type State: Clone + Eq + Hash + Debug;
    /// One step of the protocol, or one fault.
    type Action: Clone + Debug;

    /// The state to start from.
    fn start(&self) -> Self::State;

    /// Every action that is possible in `state`, and the state it leads to.
    fn steps(&self, state: &Self::State) -> Vec<(Self::Action, Self::State)>;

    /// The name of an invariant that does not hold in `state`.
    fn violated_invariant(&self, state: &Self::State) -> Option<&'static str>;
}

/// What a search found.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Outcome<A> {
    /// Every invariant holds in each of so many states.
    Holds {
        /// Distinct states that were reached.
        states: usize,
    },
    /// An invariant fails.
    Violated {
        /// The invariant.
        invariant: &'static str,
        /// A shortest way there.
        trace: Vec<A>,
    },
}

/// Searches all states of `model`, nearest first.
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
            let invariant =
                model.violated_invariant(last).expect("the search ended at a broken state");
            Outcome::Violated { invariant, trace: actions(model, &path) }
        }
    }
}

/// The actions that lead along a path of states.
fn actions<M: Model>(model: &M, path: &[M::State]) -> Vec<M::Action> {
    let mut trace = Vec::new();
    for pair in path.windows(2) {
        let step = model.steps(&pair[0]).into_iter().find(|(_, next)| *next == pair[1]);
        trace.push(step.expect("each state of a path follows from the one before").0);
    }
    trace
}
