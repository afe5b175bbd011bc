//! How far an old observation is believed.

use th_protocol::Millis;

use super::Settings;

/// Trust in an observation of this age, from 1 to 0.
///
/// 1 up to `fresh`, then linear down to 0 at `stale`; never rises with age.
pub fn trust(age: Millis, settings: &Settings) -> f32 {
    if age <= settings.fresh {
        return 1.0;
    }
    if settings.stale <= age {
        return 0.0;
    }
    let remaining = settings.stale.minus(age).0 as f32;
    remaining / settings.stale.minus(settings.fresh).0 as f32
}
