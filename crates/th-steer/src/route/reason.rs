//! Explains why a look-up was answered as it was.

use th_protocol::{Millis, Time};

use super::{Answer, PendingEffects, Planner, PlannerInputs, RegionIx, ServiceIx};
use crate::explain::{self, Limit, Outcome, Quantity, Record, Rule};

/// Builds the journal record that explains an answer, from the tables that produced it.
///
/// To be called only if the journal records this answer. The record has no request and no attempt.
pub fn explain_lookup(
    inputs: &PlannerInputs,
    planner: &Planner,
    effects: &PendingEffects,
    service: ServiceIx,
    answer: &Answer,
    now: Time,
) -> Record {
    let (rule, limit) = find_rule(inputs, planner, service, answer);
    let is_rejected = answer.vms.is_empty();
    let mut record = Record {
        time: now,
        service: inputs.map.services()[service.row()].clone(),
        request: None,
        attempt: None,
        inputs: explain::Inputs::default(),
        limit,
        rule,
        outcome: if is_rejected { Outcome::Refused } else { Outcome::Accepted },
        reason: None,
    };
    let list = &mut record.inputs;
    let demand = inputs.demand.age(service, now).unwrap_or(Millis(now.0));
    list.push(Quantity::Trust, planner.trust(service).into(), Millis::ZERO);
    list.push(Quantity::Demand, inputs.demand.total(service).into(), demand);
    let Some(region) = answer.region else { return record };
    let measured = inputs.loads.age(service, region, now).unwrap_or(Millis(now.0));
    let expected = planner.expected_load(inputs.map, service, region).slots;
    let busy = expected + inputs.loads.background(service, region);
    let headroom = inputs.map.limit(service, region) - busy;
    let weight = planner.in_force().row(service, answer.block.class)[region.row()];
    list.push(Quantity::Headroom, headroom.into(), measured);
    list.push(Quantity::Pending, effects.pending(service, region).into(), Millis::ZERO);
    list.push(Quantity::Weight, weight.into(), Millis::ZERO);
    record
}

fn find_rule(
    inputs: &PlannerInputs,
    planner: &Planner,
    service: ServiceIx,
    answer: &Answer,
) -> (Rule, Limit) {
    if answer.diverted || answer.vms.is_empty() {
        return (Rule::Divert, Limit::Usable);
    }
    if planner.trust(service) <= 0.0 {
        return (Rule::StaticPlan, Limit::None);
    }
    for &region in inputs.map.delay_order(answer.block.class) {
        let region = RegionIx(region.into());
        if inputs.map.planned_share(service, region) <= 0.0 {
            continue;
        }
        if Some(region) == answer.region {
            return (Rule::Nearest, Limit::None);
        }
        break;
    }
    (Rule::Spill, Limit::RegionCap)
}
