//! The measured demand of a service in each region.

use std::collections::BTreeMap;

use keeljunction_core::Millis;
use keeljunction_core::serving::capacity::Demand;
use keeljunction_core::serving::configuration::Service;
use keeljunction_core::serving::demand::DemandTotals;

use super::Node;

/// The window over which demand is measured.
pub(super) const WINDOW_MS: Millis = 4_000;

/// Returns the demand of each region; `None` if it is not known yet.
pub(super) fn get_demands(
    node: &Node,
    name: &str,
    service: &Service,
    now: Millis,
) -> Option<BTreeMap<String, Demand>> {
    let slots = service.engine.as_ref().map_or(1, |engine| engine.slots);
    let (totals, covered, throughput, in_flight) = node.with(|state| {
        let (totals, covered) = state.demand.get_recent(now, name, WINDOW_MS)?;
        let throughput = state.throughputs.get(name)?.get_prefill_rate()?;
        Some((totals, covered, throughput, state.demand.get_in_flight(now, name)))
    })?;
    let demand = |(region, totals): (&String, &DemandTotals)| {
        let demand = Demand {
            tokens_per_second: totals.prompt_tokens as f64 / covered as f64 * 1_000.0,
            server_tokens_per_second: throughput * 1_000.0,
            in_flight: f64::from(in_flight.get(region).copied().unwrap_or(0)),
            slots: f64::from(slots),
        };
        (region.clone(), demand)
    };
    Some(totals.iter().map(demand).collect())
}

/// Returns the prompt tokens per second that arrive in a region; 0 if unknown.
pub(super) fn get_tokens_per_second(
    demands: Option<&BTreeMap<String, Demand>>,
    region: &str,
) -> f64 {
    demands.and_then(|demands| demands.get(region)).map_or(0.0, |demand| demand.tokens_per_second)
}
