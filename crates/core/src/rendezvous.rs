//! Which node owns a key, and who comes after it.
//!
//! Every node computes the same ordered list of nodes for a key, by rendezvous hashing, from the
//! names alone. The first live node of the list owns the key; when it goes, only its keys move.

use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Returns the function that weighs names for a key: the owner is the heaviest.
pub fn make_weight_fn(key: &str) -> impl Fn(&str) -> u64 {
    let seed = xxh3_64_with_seed(key.as_bytes(), 0);
    move |name| weight(seed, name)
}

/// Orders names by their weight for a key, the owner first.
pub fn rank<'a>(key: &str, names: impl Iterator<Item = &'a str>) -> Vec<&'a str> {
    let weigh = make_weight_fn(key);
    let mut weighed: Vec<(u64, &str)> = names.map(|name| (weigh(name), name)).collect();
    weighed.sort_unstable_by(|a, b| b.cmp(a));
    weighed.into_iter().map(|(_, name)| name).collect()
}

/// Finds the owner of a key without ordering the rest.
pub fn owner<'a>(key: &str, names: impl Iterator<Item = &'a str>) -> Option<&'a str> {
    owner_of_hash(xxh3_64_with_seed(key.as_bytes(), 0), names)
}

/// Finds the owner of a key that is a number drawn evenly, such as a hash.
pub fn owner_of_hash<'a>(key: u64, names: impl Iterator<Item = &'a str>) -> Option<&'a str> {
    names.max_by_key(|name| (weight(key, name), *name))
}

/// Picks the node that holds the copy of a request's record.
///
/// It is the first of the succession list that is not the entry node itself and, where there is
/// a choice, stands in another data centre. `nodes` gives names with their data centres.
pub fn replica<'a>(
    key: &str,
    me: &str,
    my_data_centre: &str,
    nodes: &'a [(String, String)],
) -> Option<&'a str> {
    let others = nodes.iter().filter(|(name, _)| name != me);
    let ordered = rank(key, others.map(|(name, _)| name.as_str()));
    let is_away = |name: &&&str| nodes.iter().any(|(n, dc)| n == **name && dc != my_data_centre);
    ordered.iter().find(is_away).or(ordered.first()).copied()
}

fn weight(seed: u64, name: &str) -> u64 {
    xxh3_64_with_seed(name.as_bytes(), seed)
}
