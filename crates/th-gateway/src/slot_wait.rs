//! The wait of a request for a slot of a backend server.

use std::rc::Rc;

use th_steer::dispatch::{Job, Placement, Rejection};
use tokio::sync::oneshot;

use crate::{
    call::NO_ROUTES_RETRY_AFTER,
    core::{Core, Slot},
};

/// Places a request; waits if no slot is free. One that another VM passed on, since it reaches no server, is not tried
/// here either while this VM reaches none.
pub(crate) async fn place(core: &Rc<Core>, job: &Job, forwarded: bool) -> Placement {
    if forwarded && core.dispatcher.borrow().is_cut_off() {
        return Placement::Reject(Rejection::Isolated, core.settings.dispatch.backoff_min);
    }
    let (placement, waiter) = core.dispatcher.borrow_mut().place(job.clone(), core.now());
    let Some(number) = waiter else {
        return placement;
    };
    let (sender, receiver) = oneshot::channel();
    core.waiters.borrow_mut().insert(number, sender);
    let wait = SlotWait { core: Rc::clone(core), number, job: job.clone(), receiver };
    wait.placement().await
}

/// A wait for a slot, cancelled on drop, for example when the caller abandons the request.
struct SlotWait {
    core: Rc<Core>,
    number: u64,
    job: Job,
    receiver: oneshot::Receiver<Placement>,
}

impl SlotWait {
    async fn placement(mut self) -> Placement {
        match (&mut self.receiver).await {
            Ok(placement) => placement,
            Err(_) => Placement::Reject(Rejection::Expired, NO_ROUTES_RETRY_AFTER),
        }
    }
}

impl Drop for SlotWait {
    fn drop(&mut self) {
        self.core.waiters.borrow_mut().remove(&self.number);
        self.core.dispatcher.borrow_mut().cancel_wait(self.number);
        // Release a slot that was assigned in the meantime.
        if let Ok(Placement::Send { attempt, .. }) = self.receiver.try_recv() {
            drop(Slot::new(Rc::clone(&self.core), self.job.clone(), attempt));
        }
    }
}
