//! Which of the ranked nodes count a seat's operations.

/// Where a node stands.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct NodeLocality<'a> {
    /// Its zone.
    pub zone: &'a str,
    /// The region of its zone, if that is known.
    pub region: Option<&'a str>,
}

/// Chooses so many of the nodes at these places, which are in the order of their ranks: each one where
/// the fewest of those before it stand, by region and then by zone. Gives their indices.
///
/// By rank alone three nodes of three regions with as many nodes stand in one region for one seat in
/// nine (worked out), and its loss takes all that may count the seat's tenants.
pub fn select_diverse_nodes(localities: &[NodeLocality<'_>], count: usize) -> Vec<usize> {
    let mut chosen: Vec<usize> = Vec::new();
    while chosen.len() < count.min(localities.len()) {
        let remaining = (0..localities.len()).filter(|index| !chosen.contains(index));
        // The first of the least.
        let next = remaining.min_by_key(|index| colocated_counts(localities, &chosen, *index));
        chosen.extend(next);
    }
    chosen
}

/// How many of the chosen stand in the region and in the zone of a node.
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
