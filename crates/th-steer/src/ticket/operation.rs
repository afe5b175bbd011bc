//! The right to take an operation one step further, as a token that each step consumes.

use std::marker::PhantomData;

use super::name::OperationName;

/// Stage: read from the caller.
#[derive(Debug, PartialEq, Eq)]
pub enum Received {}

/// Stage: it holds whatever it needs to run.
#[derive(Debug, PartialEq, Eq)]
pub enum Admitted {}

/// Stage: its first byte may have left.
#[derive(Debug, PartialEq, Eq)]
pub enum Dispatched {}

mod sealed {
    /// Keeps the stages to those of this file.
    pub trait Sealed {}
    impl Sealed for super::Received {}
    impl Sealed for super::Admitted {}
}

/// Stages in which it is certain that nothing ran.
pub trait Undispatched: sealed::Sealed {}

impl Undispatched for Received {}
impl Undispatched for Admitted {}

/// The one token of an operation in progress. Not `Clone`: each step of the table consumes it.
///
/// A token that gets lost has to be reported with [`TicketTable::on_token_lost`](super::TicketTable::lost).
#[must_use = "an operation ends by one of the table's methods"]
#[derive(Debug, PartialEq, Eq)]
pub struct Operation<S> {
    name: OperationName,
    stage: PhantomData<S>,
}

impl<S> Operation<S> {
    pub(crate) fn new(name: OperationName) -> Operation<S> {
        Operation { name, stage: PhantomData }
    }

    pub(crate) fn into_name(self) -> OperationName {
        self.name
    }

    /// Which operation it is.
    pub fn name(&self) -> &OperationName {
        &self.name
    }
}

impl Operation<Received> {
    /// Notes that the operation holds whatever it needs to run.
    pub fn admit(self) -> Operation<Admitted> {
        Operation::new(self.name)
    }
}
