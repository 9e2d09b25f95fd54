//! The placement of servers in data centres.

use std::collections::BTreeMap;

use super::Inventory;
use crate::serving::configuration::Scaling;

/// Lists the data centres by price, the cheapest first.
pub(super) fn by_price<'a>(
    scaling: &Scaling,
    inventory: &'a BTreeMap<String, Inventory>,
) -> Vec<&'a str> {
    let price =
        |data_centre: &str| scaling.data_centre_prices.get(data_centre).copied().unwrap_or(1.0);
    let mut data_centres: Vec<&str> = inventory.keys().map(String::as_str).collect();
    data_centres.sort_by(|a, b| price(a).total_cmp(&price(b)).then(a.cmp(b)));
    data_centres
}

/// The minimum number of data centres for on-demand servers, if that many exist.
const MIN_DATA_CENTRES: usize = 2;

/// Fills data centres from the cheapest on, each with at most its share of all data centres but
/// one, as far as they have room.
///
/// If some servers do not fit, all are spread over all data centres instead.
pub(super) fn fill(
    data_centres: &[&str],
    count: u32,
    max_servers: u32,
    taken: &BTreeMap<String, u32>,
) -> BTreeMap<String, u32> {
    let parts = data_centres.len().saturating_sub(1).max(MIN_DATA_CENTRES) as u32;
    let part = count.div_ceil(parts);
    let mut filled = BTreeMap::new();
    let mut remaining = count;
    for data_centre in data_centres {
        let room = max_servers.saturating_sub(taken.get(*data_centre).copied().unwrap_or(0));
        let held = part.min(room).min(remaining);
        filled.insert((*data_centre).to_owned(), held);
        remaining -= held;
    }
    if remaining > 0 { spread(data_centres, count, max_servers, taken) } else { filled }
}

/// Spreads servers over data centres in turn, the cheapest first.
///
/// A data centre gets at most `max_servers` servers, less those already `taken`.
pub(super) fn spread(
    data_centres: &[&str],
    count: u32,
    max_servers: u32,
    taken: &BTreeMap<String, u32>,
) -> BTreeMap<String, u32> {
    let mut spread: BTreeMap<String, u32> =
        data_centres.iter().map(|data_centre| ((*data_centre).to_owned(), 0)).collect();
    let mut remaining = count;
    while remaining > 0 {
        let before = remaining;
        for data_centre in data_centres {
            let held = spread.entry((*data_centre).to_owned()).or_default();
            let room = max_servers.saturating_sub(taken.get(*data_centre).copied().unwrap_or(0));
            if remaining > 0 && *held < room {
                *held += 1;
                remaining -= 1;
            }
        }
        if remaining == before {
            break;
        }
    }
    spread
}
