//! Answers to what the adapter was asked to fetch or to check.

use std::net::SocketAddr;

use th_protocol::{
    BackendId, BundleHead, CheckAnswer, Digest, Heartbeat, Incarnation, IndirectCheck, LoadReport,
    Millis, PeerRecord, Time, VmId,
};

use super::Engine;
use crate::member::{Fetched, ManifestInfo, NotReady, RefusedHead, Source};

impl<A: Clone> Engine<A> {
    /// Takes the head that the store names.
    pub fn on_head(&mut self, from: Source, head: BundleHead) {
        self.spread.on_head(from, head);
    }

    /// Takes the end of a manifest's fetch.
    pub fn on_manifest(
        &mut self,
        head: BundleHead,
        from: &Source,
        fetched: Fetched<ManifestInfo>,
        now: Time,
    ) {
        self.spread.on_manifest(head, from, fetched, now, &mut self.rng);
    }

    /// Takes the end of a part's fetch.
    pub fn on_bundle_part(&mut self, hash: Digest, from: &Source, fetched: Fetched<()>, now: Time) {
        self.spread.on_part(hash, from, fetched, now, &mut self.rng);
    }

    /// The head of the bundle in force, or why there is none.
    pub fn ready(&self) -> Result<BundleHead, NotReady> {
        self.spread.ready()
    }

    /// The heads that were refused, latest last.
    pub fn refused_heads(&self) -> &[RefusedHead] {
        self.spread.refused()
    }

    /// The heartbeat to send on behalf of a peer's indirect check.
    pub fn on_check(&mut self, message: &IndirectCheck) -> Heartbeat {
        self.members.on_check(message)
    }

    /// Takes the answer to an indirect check.
    pub fn on_check_answer(&mut self, answer: &CheckAnswer, now: Time) {
        self.members.on_check_answer(answer, now);
    }

    /// The peer listener of another entry VM.
    pub fn peer_address(&self, vm: &VmId) -> Option<SocketAddr> {
        self.members.record(vm).map(|it| it.address)
    }

    /// Takes all records of a peer, as a VM does once after its start.
    pub fn on_records(&mut self, records: &[PeerRecord], now: Time) {
        self.members.on_records(records, now);
    }

    /// The number of entry VMs that are known, this one included.
    pub fn member_count(&self) -> usize {
        self.members.records().count() + 1
    }

    /// Takes the result of a probe of a backend server's health endpoint.
    pub fn on_probe(&mut self, backend: &BackendId, good: bool, now: Time) {
        self.backends.on_probe(backend, good, now);
    }

    /// Takes a backend server's load report, which was asked for at `asked`.
    pub fn on_report(&mut self, backend: &BackendId, report: LoadReport, asked: Time, now: Time) {
        self.backends.on_report(backend, report, asked, now);
    }

    /// For how long the bundle has been in force here.
    pub fn age(&self, now: Time) -> Millis {
        now.since(self.bundle_since)
    }

    /// A later start of this VM's process, if one is known: this one must take nothing more.
    pub fn replaced(&self) -> Option<Incarnation> {
        self.members.replaced()
    }

    /// Whether requests are no longer taken.
    pub fn stopping(&self) -> bool {
        self.stopping
    }
}
