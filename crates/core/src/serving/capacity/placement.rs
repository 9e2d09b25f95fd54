//! In which data centres servers stand.

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

/// On-demand servers stand in two data centres at least, where there are two.
const LEAST_PARTS: usize = 2;

/// Fills data centres from the cheapest on, none of them with more than its part of all but one, as
/// far as there is room; what finds none is spread over all.
pub(super) fn fill(
    data_centres: &[&str],
    count: u32,
    most: u32,
    taken: &BTreeMap<String, u32>,
) -> BTreeMap<String, u32> {
    let parts = data_centres.len().saturating_sub(1).max(LEAST_PARTS) as u32;
    let part = count.div_ceil(parts);
    let mut filled = BTreeMap::new();
    let mut left = count;
    for data_centre in data_centres {
        let room = most.saturating_sub(taken.get(*data_centre).copied().unwrap_or(0));
        let held = part.min(room).min(left);
        filled.insert((*data_centre).to_owned(), held);
        left -= held;
    }
    if left > 0 { spread(data_centres, count, most, taken) } else { filled }
}

/// Spreads servers, one in each data centre in turn from the cheapest, up to `most` beside those
/// `taken`.
pub(super) fn spread(
    data_centres: &[&str],
    count: u32,
    most: u32,
    taken: &BTreeMap<String, u32>,
) -> BTreeMap<String, u32> {
    let mut spread: BTreeMap<String, u32> =
        data_centres.iter().map(|data_centre| ((*data_centre).to_owned(), 0)).collect();
    let mut left = count;
    while left > 0 {
        let before = left;
        for data_centre in data_centres {
            let held = spread.entry((*data_centre).to_owned()).or_default();
            let room = most.saturating_sub(taken.get(*data_centre).copied().unwrap_or(0));
            if left > 0 && *held < room {
                *held += 1;
                left -= 1;
            }
        }
        if left == before {
            break;
        }
    }
    spread
}
