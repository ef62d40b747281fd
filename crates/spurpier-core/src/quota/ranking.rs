//! Which of the ranked nodes count a seat's operations.

/// Where a node stands.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct NodePlace<'a> {
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
pub fn choose_apart(places: &[NodePlace<'_>], count: usize) -> Vec<usize> {
    let mut chosen: Vec<usize> = Vec::new();
    while chosen.len() < count.min(places.len()) {
        let left = (0..places.len()).filter(|index| !chosen.contains(index));
        // The first of the least.
        let next = left.min_by_key(|index| crowding(places, &chosen, *index));
        chosen.extend(next);
    }
    chosen
}

/// How many of the chosen stand in the region and in the zone of a node.
fn crowding(places: &[NodePlace<'_>], chosen: &[usize], index: usize) -> (usize, usize) {
    let place = places[index];
    let others = || chosen.iter().map(|other| places[*other]);
    let in_zone = others().filter(|other| other.zone == place.zone).count();
    let is_same_region = |other: &NodePlace<'_>| {
        other.zone == place.zone || (other.region.is_some() && other.region == place.region)
    };
    (others().filter(is_same_region).count(), in_zone)
}
