//! Trust in an observation, depending on its age.

use th_protocol::Millis;

use super::Settings;

/// Returns the trust in an observation of this age, from 1 to 0.
///
/// The trust is 1 up to the age `fresh`, then falls linearly to 0 at `stale`. It never rises with
/// age.
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
