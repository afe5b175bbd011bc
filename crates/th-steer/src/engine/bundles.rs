//! Results of the adapter's fetches, probes and membership checks.

use std::net::SocketAddr;

use th_protocol::{
    BackendId, BundleHead, CheckAnswer, Digest, Heartbeat, Incarnation, IndirectCheck, LoadReport,
    Millis, PeerRecord, Time, VmId,
};

use super::Engine;
use crate::member::{FetchResult, ManifestInfo, NotReady, RejectedHead, Source};

impl<A: Clone> Engine<A> {
    /// Applies the bundle head that the store or a peer names.
    pub fn on_head(&mut self, from: Source, head: BundleHead) {
        self.spread.on_head(from, head);
    }

    /// Handles the result of fetching a manifest.
    pub fn on_manifest(
        &mut self,
        head: BundleHead,
        from: &Source,
        fetched: FetchResult<ManifestInfo>,
        now: Time,
    ) {
        self.spread.on_manifest(head, from, fetched, now, &mut self.rng);
    }

    /// Handles the result of fetching a part of a bundle.
    pub fn on_bundle_part(
        &mut self,
        digest: Digest,
        from: &Source,
        fetched: FetchResult<()>,
        now: Time,
    ) {
        self.spread.on_part(digest, from, fetched, now, &mut self.rng);
    }

    /// Returns the head of the bundle in force, or why this VM is not ready.
    pub fn ready(&self) -> Result<BundleHead, NotReady> {
        self.spread.ready()
    }

    /// The rejected bundle heads, newest last.
    pub fn rejected_heads(&self) -> &[RejectedHead] {
        self.spread.rejected()
    }

    /// Returns the heartbeat to send for a peer's indirect check.
    pub fn on_check(&mut self, message: &IndirectCheck) -> Heartbeat {
        self.members.on_check(message)
    }

    /// Handles the answer to an indirect check.
    pub fn on_check_answer(&mut self, answer: &CheckAnswer, now: Time) {
        self.members.on_check_answer(answer, now);
    }

    /// The peer listener's address of another entry VM.
    pub fn peer_address(&self, vm: &VmId) -> Option<SocketAddr> {
        self.members.record(vm).map(|it| it.address)
    }

    /// Merges all records of a peer. A VM fetches them once after its start.
    pub fn on_records(&mut self, records: &[PeerRecord], now: Time) {
        self.members.on_records(records, now);
    }

    /// The number of known entry VMs, including this one.
    pub fn member_count(&self) -> usize {
        self.members.records().count() + 1
    }

    /// Handles the result of probing a backend server's health endpoint.
    pub fn on_probe(&mut self, backend: &BackendId, good: bool, now: Time) {
        self.backends.on_probe(backend, good, now);
    }

    /// Handles a backend server's load report that was requested at `requested`.
    pub fn on_report(
        &mut self,
        backend: &BackendId,
        report: LoadReport,
        requested: Time,
        now: Time,
    ) {
        self.backends.on_report(backend, report, requested, now);
    }

    /// How long the bundle has been in force on this VM.
    pub fn age(&self, now: Time) -> Millis {
        now.since(self.bundle_since)
    }

    /// The incarnation of a later start of this VM, if one is known. This process must then accept no
    /// more requests.
    pub fn replaced(&self) -> Option<Incarnation> {
        self.members.replaced_by()
    }

    /// Whether this VM has stopped accepting new requests.
    pub fn stopping(&self) -> bool {
        self.stopping
    }
}
