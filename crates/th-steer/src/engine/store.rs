//! Answers of the platform's service and of the data centre's lease holder.

use th_protocol::{Revision, Time, VmRecord};

use super::{Action, Claims, Engine, ShardAction};
use crate::limit::{Answer, Holder, PartAnswer, PartAsk};

impl<A: Clone> Engine<A> {
    /// Whether the data centre has fewer entry VMs than shards.
    fn spare(&self) -> bool {
        let listed = self.neighbours.len();
        0 < listed && listed < self.capacity.shards().count() as usize
    }

    /// Takes the claims of this data centre's shards; `None` where the read failed. Gives the
    /// writes that are due.
    ///
    /// `list` must be the answer to a call that was made after the claims were read: an earlier
    /// list may lack a VM that has claimed a shard since.
    pub fn on_shard_read(
        &mut self,
        read: Option<&Claims>,
        list: &[VmRecord],
        now: Time,
    ) -> Vec<ShardAction> {
        if read.is_some() {
            self.on_vms(list, now);
        }
        let spare = self.spare();
        let actions = self.capacity.on_shard_read(read, spare, now);
        self.set_allowances(now);
        actions
    }

    /// Gives up all shards, since this VM has nothing in flight and stops.
    pub fn release_shards(&mut self) -> Vec<ShardAction> {
        self.capacity.release_shards()
    }

    /// Takes how the write of a shard's claim ended.
    pub fn on_shard_write(&mut self, index: u32, answer: &Answer<Revision>, now: Time) {
        self.capacity.on_shard_write(index, answer, now);
        self.set_allowances(now);
        self.serve_queues(now);
    }

    /// The state of the data centre's lease, which takes the answers of grant calls.
    pub fn holder(&mut self) -> &mut Holder {
        self.capacity.holder()
    }

    /// Answers a VM of the data centre that asks for a part of a grant.
    pub fn on_ask(&mut self, ask: &PartAsk, now: Time) -> PartAnswer {
        self.capacity.on_ask(ask, now)
    }

    /// Takes the part of a grant that was asked for at `asked`.
    pub fn on_part(&mut self, answer: &PartAnswer, asked: Time, now: Time) {
        self.capacity.on_part(answer, asked);
        self.serve_queues(now);
    }

    /// The calls for grants that are due.
    pub(crate) fn tick_grants(&mut self, now: Time, actions: &mut Vec<Action>) {
        let live = self.live_neighbours();
        let spare = self.spare();
        for it in self.capacity.tick_shards(&live, spare, now) {
            actions.push(Action::Shard(it));
        }
        let lead = live.first() == Some(&self.me.vm);
        if lead {
            for it in self.capacity.tick_holder(now) {
                actions.push(Action::Grant(it));
            }
        }
        for ask in self.capacity.asks(self.settings.claim, now) {
            if lead {
                let answer = self.capacity.on_ask(&ask, now);
                self.capacity.on_part(&answer, now);
                continue;
            }
            let holder = live.first().and_then(|it| self.members.record(it));
            if let Some(record) = holder {
                let (vm, address) = (record.vm.clone(), record.address);
                actions.push(Action::Part { vm, address, ask });
            }
        }
    }
}
