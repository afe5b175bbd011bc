//! Calls for leased grants and shard claims, and the answers to them.

use th_protocol::Time;

use super::{Action, Engine};
use crate::limit::{LeaseHolder, PartAnswer, PartRequest};

impl<A: Clone> Engine<A> {
    /// The state of the data centre's lease, which handles the answers to grant calls.
    pub fn holder(&mut self) -> &mut LeaseHolder {
        &mut self.capacity.holder
    }

    /// Answers a VM of the data centre that requests a part of a grant.
    pub fn on_part_request(&mut self, request: &PartRequest, now: Time) -> PartAnswer {
        self.capacity.on_part_request(request, now)
    }

    /// Applies a part of a grant that was requested at `requested`.
    pub fn on_part(&mut self, answer: &PartAnswer, requested: Time, now: Time) {
        self.capacity.on_part(answer, requested);
        self.serve_queues(now);
    }

    /// Adds the calls for shards and grants that are due. If this VM is the lease holder, it answers its
    /// own requests for parts of grants at once.
    pub(crate) fn tick_grants(&mut self, now: Time, actions: &mut Vec<Action>) {
        for it in self.tick_shards(now) {
            actions.push(Action::Shard(it));
        }
        let live = self.live_neighbours();
        let is_holder = live.first() == Some(&self.me.vm);
        if is_holder {
            for it in self.capacity.tick_holder(now) {
                actions.push(Action::Grant(it));
            }
        }
        for request in self.capacity.due_part_requests(self.settings.claim_period, now) {
            if is_holder {
                let answer = self.capacity.on_part_request(&request, now);
                self.capacity.on_part(&answer, now);
                continue;
            }
            let holder = live.first().and_then(|it| self.members.record(it));
            if let Some(record) = holder {
                let (vm, address) = (record.vm.clone(), record.address);
                actions.push(Action::Part { vm, address, request });
            }
        }
    }
}
