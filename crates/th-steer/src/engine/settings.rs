//! Settings of all decisions of an entry VM.

use th_protocol::Millis;

use crate::{
    backend::BackendSettings,
    explain,
    limit::HolderSettings,
    member::{MemberSettings, SpreadSettings},
    queue::QueueSettings,
    retry::RetrySettings,
    route,
    ticket::TicketSettings,
};

/// Settings of all decisions of an entry VM.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct EngineSettings {
    /// Look-ups.
    pub route: route::Settings,
    /// Tickets.
    pub tickets: TicketSettings,
    /// Queues.
    pub queue: QueueSettings,
    /// Retries and hedges.
    pub retry: RetrySettings,
    /// Backend servers.
    pub backend: BackendSettings,
    /// Membership.
    pub member: MemberSettings,
    /// Spread of bundles.
    pub spread: SpreadSettings,
    /// Leased grants.
    pub holder: HolderSettings,
    /// Explanations.
    pub explain: explain::Settings,
    /// Time between tries to own a shard.
    pub claim_period: Millis,
    /// A longer time without a tick means that the process was paused, and its shards may be
    /// another VM's.
    pub pause_limit: Millis,
    /// The shards of a data centre are taken over when it has had no listed entry VM for so long.
    pub adopt_delay: Millis,
    /// A larger share that a new bundle gives is spent only after this time, when the bundle is in
    /// force at the VMs whose share it makes smaller.
    pub settle_delay: Millis,
    /// Time between refreshes of the table of entry VMs that look-ups use.
    pub refresh_period: Millis,
    /// A digest of headroom older than this is not used to place requests.
    pub digest_age: Millis,
}

impl Default for EngineSettings {
    fn default() -> EngineSettings {
        EngineSettings {
            route: route::Settings::default(),
            tickets: TicketSettings::default(),
            queue: QueueSettings::default(),
            retry: RetrySettings::default(),
            backend: BackendSettings::default(),
            member: MemberSettings::default(),
            spread: SpreadSettings::default(),
            holder: HolderSettings::default(),
            explain: explain::Settings::default(),
            claim_period: Millis(1_000),
            pause_limit: Millis(2_000),
            adopt_delay: Millis(10_000),
            settle_delay: Millis(7_000),
            refresh_period: Millis(500),
            digest_age: Millis(10_000),
        }
    }
}
