//! Messages between a VM and the quota keeper.

use serde::{Deserialize, Serialize};
use th_protocol::{OrganisationId, Time, VmId};

/// What a VM used and holds of an organisation's quota.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct UsageEntry {
    /// The organisation.
    pub id: OrganisationId,
    /// Number of requests that the VM admitted in the last window.
    #[serde(default, skip_serializing_if = "is_zero")]
    pub used: u32,
    /// Number of tokens that it holds.
    #[serde(default, skip_serializing_if = "is_zero")]
    pub tokens: u32,
    /// Number of requests that found no token since the last report.
    #[serde(default, skip_serializing_if = "is_zero")]
    pub wanted: u32,
    /// Requests a second that it is asked for, admitted or not.
    #[serde(default)]
    pub asked: f32,
}

#[expect(clippy::trivially_copy_pass_by_ref, reason = "serde passes references")]
fn is_zero(value: &u32) -> bool {
    *value == 0
}

fn yes() -> bool {
    true
}

/// A VM's report to the quota keeper. Each value replaces the last one, so that a lost report does no harm.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct UsageReport {
    /// The VM.
    pub vm: VmId,
    /// When its process started.
    pub start: Time,
    /// Number of the report, counted from the start.
    pub number: u64,
    /// Whether the VM has reported to no other keeper for so long that none counts it.
    #[serde(default)]
    pub settled: bool,
    /// Whether the process started less than a window ago, so that an earlier one may have used tokens.
    #[serde(default = "yes")]
    pub young: bool,
    /// Whether all organisations are listed; else only those with changes.
    #[serde(default)]
    pub full: bool,
    /// The organisations.
    #[serde(default)]
    pub entries: Vec<UsageEntry>,
}

/// A change to the tokens that a VM holds.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct TokenGrant {
    /// The organisation.
    pub id: OrganisationId,
    /// Number of tokens that the VM receives, or gives back if negative.
    #[serde(default)]
    pub change: i32,
}

/// The quota keeper's answer to a report.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct UsageAnswer {
    /// Number of the report.
    pub number: u64,
    /// Whether the keeper does not know the VM and needs a full report.
    #[serde(default)]
    pub unknown: bool,
    /// The changes.
    #[serde(default)]
    pub grants: Vec<TokenGrant>,
}
