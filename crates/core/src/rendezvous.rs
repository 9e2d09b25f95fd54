//! Rendezvous hashing: which node owns a key, and which nodes succeed it.
//!
//! Every node computes the same ranking of nodes for a key from the node names alone. The first
//! live node of the ranking owns the key; when a node fails, only its keys move.

use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Returns the weight function of a key. The node with the highest weight owns the key.
pub fn make_weight_fn(key: &str) -> impl Fn(&str) -> u64 {
    let seed = xxh3_64_with_seed(key.as_bytes(), 0);
    move |name| weigh(seed, name)
}

/// Returns the names ranked by their weight for a key, the owner first.
pub fn rank<'a>(key: &str, names: impl Iterator<Item = &'a str>) -> Vec<&'a str> {
    let weight_of = make_weight_fn(key);
    let mut weighted: Vec<(u64, &str)> = names.map(|name| (weight_of(name), name)).collect();
    weighted.sort_unstable_by(|a, b| b.cmp(a));
    weighted.into_iter().map(|(_, name)| name).collect()
}

/// Returns the owner of a key without ranking the others.
pub fn owner<'a>(key: &str, names: impl Iterator<Item = &'a str>) -> Option<&'a str> {
    owner_of_hash(xxh3_64_with_seed(key.as_bytes(), 0), names)
}

/// Returns the owner of a key that is a uniformly distributed number, such as a hash.
pub fn owner_of_hash<'a>(key: u64, names: impl Iterator<Item = &'a str>) -> Option<&'a str> {
    names.max_by_key(|name| (weigh(key, name), *name))
}

/// Returns the node that keeps the replica of a request's record.
///
/// It is the first node of the ranking that is not the entry node itself and, if possible, runs in
/// another data centre. `nodes` holds names with their data centres.
pub fn replica<'a>(
    key: &str,
    own_name: &str,
    own_data_centre: &str,
    nodes: &'a [(String, String)],
) -> Option<&'a str> {
    let others = nodes.iter().filter(|(name, _)| name != own_name);
    let ranked = rank(key, others.map(|(name, _)| name.as_str()));
    let is_remote = |name: &&&str| nodes.iter().any(|(n, dc)| n == **name && dc != own_data_centre);
    ranked.iter().find(is_remote).or(ranked.first()).copied()
}

/// Returns the weight of a name for a key that is a uniformly distributed number, such as a hash.
pub fn weigh(key: u64, name: &str) -> u64 {
    xxh3_64_with_seed(name.as_bytes(), key)
}
