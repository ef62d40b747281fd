//! Selects the authorities of a quota shard in different regions and zones.

/// The zone and the region of a node.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct NodeLocality<'a> {
    /// The node's zone.
    pub zone: &'a str,
    /// The region of the zone; none if it is not known.
    pub region: Option<&'a str>,
}

/// Selects up to `count` nodes that share regions, and then zones, as little as possible.
///
/// `localities` are those of the nodes in the order of their ranks. Each step selects the node with
/// the fewest selected nodes in its region, and among equals the fewest in its zone; then the rank
/// decides. Returns indices into `localities`.
///
/// By rank alone, with three regions of equal size, the three authorities of one shard in nine
/// would be in a single region, and its loss would leave the shard's tenants without an authority.
pub fn select_diverse_nodes(localities: &[NodeLocality<'_>], count: usize) -> Vec<usize> {
    let mut chosen: Vec<usize> = Vec::new();
    while chosen.len() < count.min(localities.len()) {
        let remaining = (0..localities.len()).filter(|index| !chosen.contains(index));
        // `min_by_key` returns the first of equal elements, which is the best-ranked one.
        let next = remaining.min_by_key(|index| colocated_counts(localities, &chosen, *index));
        chosen.extend(next);
    }
    chosen
}

/// The number of chosen nodes in the region and in the zone of a node.
fn colocated_counts(
    localities: &[NodeLocality<'_>],
    chosen: &[usize],
    index: usize,
) -> (usize, usize) {
    let locality = localities[index];
    let others = || chosen.iter().map(|other| localities[*other]);
    let in_zone = others().filter(|other| other.zone == locality.zone).count();
    let is_same_region = |other: &NodeLocality<'_>| {
        other.zone == locality.zone || (other.region.is_some() && other.region == locality.region)
    };
    (others().filter(is_same_region).count(), in_zone)
}
