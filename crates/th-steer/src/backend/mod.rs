//! Backend servers: their health, connections and drains, and the choice of one for a request.

mod candidate;
mod connection;
mod drain;
mod health;
mod outcome;
mod settings;
mod table;

pub use connection::{Generation, Pool, PoolSettings, PoolState};
pub use drain::{Drain, MAX_NOTICE_AGE, RETURN_DELAY};
pub use health::{Health, HealthSettings};
pub use outcome::Outcome;
pub use settings::BackendSettings;
pub use table::{Backends, Choice, Rejection};
