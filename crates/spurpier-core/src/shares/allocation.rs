//! Divides a limit among the demands of its holders.

/// Divides `limit` among holders by max-min fairness.
///
/// No holder gets more than its demand, and none gets less than another unless its demand is lower.
/// A remainder that cannot be divided evenly goes to the holders with lower demands, and among equal
/// demands to the earlier ones. Returns one share for each demand, in the same order.
pub fn max_min_fair_shares(limit: u32, demands: &[u32]) -> Vec<u32> {
    let mut order: Vec<usize> = (0..demands.len()).collect();
    order.sort_by_key(|index| demands[*index]);
    let mut shares = vec![0; demands.len()];
    let mut unassigned = limit;
    for (position, index) in order.iter().enumerate() {
        let remaining = (order.len() - position) as u32;
        let even_share = unassigned.div_ceil(remaining);
        let share = demands[*index].min(even_share);
        shares[*index] = share;
        unassigned -= share;
    }
    shares
}

/// The connections that one holder needs and wants.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ShareDemand {
    /// The connections that its mean demand needs.
    pub needed: u32,
    /// The connections that its peak demand would use; at least `needed`.
    pub wanted: u32,
}

/// Divides `limit` in two rounds of max-min fairness: first by what the holders need, then the rest
/// by what they want beyond that.
pub fn needs_first_shares(limit: u32, demands: &[ShareDemand]) -> Vec<u32> {
    let needs: Vec<u32> = demands.iter().map(|demand| demand.needed).collect();
    let need_shares = max_min_fair_shares(limit, &needs);
    let unassigned = limit - need_shares.iter().sum::<u32>();
    let extra_demands: Vec<u32> = demands
        .iter()
        .zip(&need_shares)
        .map(|(demand, share)| demand.wanted.saturating_sub(*share))
        .collect();
    let extra_shares = max_min_fair_shares(unassigned, &extra_demands);
    need_shares
        .iter()
        .zip(extra_shares)
        .map(|(need, extra)| need + extra)
        .collect()
}
