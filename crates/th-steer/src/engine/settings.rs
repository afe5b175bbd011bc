//! Settings of the decision engine.

use th_protocol::Millis;

use crate::{
    backend::BackendSettings,
    explain,
    limit::LeaseHolderSettings,
    member::{MemberSettings, SpreadSettings},
    queue::QueueSettings,
    retry::RetrySettings,
    route,
    ticket::TicketSettings,
};

/// Settings of the decision engine of an entry VM.
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
    /// Distribution of bundles.
    pub spread: SpreadSettings,
    /// Leased grants.
    pub holder: LeaseHolderSettings,
    /// Explanations.
    pub explain: explain::Settings,
    /// Time between attempts to claim a shard, and between requests for parts of a grant.
    pub claim_period: Millis,
    /// Without a tick for this long, the process counts as paused, and its shards may belong to another
    /// VM.
    pub pause_limit: Millis,
    /// Time without a listed entry VM after which the shards of a data centre are adopted.
    pub adopt_delay: Millis,
    /// Time after which a larger share from a new bundle may be used: by then the bundle is in force at
    /// the VMs whose share it reduces.
    pub settle_delay: Millis,
    /// Time between refreshes of the table of entry VMs that look-ups use.
    pub refresh_period: Millis,
    /// Maximum age of a headroom digest that is used to place requests.
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
            holder: LeaseHolderSettings::default(),
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
