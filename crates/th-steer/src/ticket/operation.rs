//! Tokens for operations in progress. Each stage transition consumes the token of the stage before.

use std::marker::PhantomData;

use super::name::OperationName;

/// Stage: the request was received from the caller.
#[derive(Debug, PartialEq, Eq)]
pub enum Received {}

/// Stage: the operation holds all that it needs to run.
#[derive(Debug, PartialEq, Eq)]
pub enum Admitted {}

/// Stage: the first byte may have been sent.
#[derive(Debug, PartialEq, Eq)]
pub enum Dispatched {}

mod sealed {
    /// Prevents other modules from adding stages.
    pub trait Sealed {}
    impl Sealed for super::Received {}
    impl Sealed for super::Admitted {}
}

/// Stages in which the operation has certainly not run.
pub trait Undispatched: sealed::Sealed {}

impl Undispatched for Received {}
impl Undispatched for Admitted {}

/// The only token of an operation in progress.
///
/// It is not `Clone`, and each transition in the table consumes it. A token that is dropped has to
/// be reported with [`TicketTable::on_token_lost`](super::TicketTable::on_token_lost).
#[must_use = "an operation must be ended by one of the table's methods"]
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

    /// Returns the identity of the operation.
    pub fn name(&self) -> &OperationName {
        &self.name
    }
}

impl Operation<Received> {
    /// Marks that the operation holds all that it needs to run.
    pub fn admit(self) -> Operation<Admitted> {
        Operation::new(self.name)
    }
}
