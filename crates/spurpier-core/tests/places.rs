//! Where work may run.

use spurpier_core::locality::AllowedRegions;

fn only(names: &[&str]) -> AllowedRegions {
    AllowedRegions::only(names.iter().map(|name| (*name).to_owned()))
}

#[test]
fn without_a_bound_every_region_is_allowed_also_one_that_is_not_known() {
    assert!(AllowedRegions::ANYWHERE.allows(Some("north")));
    assert!(AllowedRegions::ANYWHERE.allows(None));
}

#[test]
fn a_bound_allows_its_regions_alone() {
    let north = only(&["north"]);
    assert!(north.allows(Some("north")));
    assert!(!north.allows(Some("south")));
    assert!(!north.allows(None));
}

#[test]
fn two_bounds_leave_what_both_allow() {
    let both = only(&["north", "south"]).intersection(&only(&["south", "west"]));
    assert_eq!(both, only(&["south"]));
    assert_eq!(AllowedRegions::ANYWHERE.intersection(&both), both);
    assert_eq!(both.intersection(&AllowedRegions::ANYWHERE), both);
}

#[test]
fn bounds_without_a_common_region_allow_none_rather_than_all() {
    let none = only(&["north"]).intersection(&only(&["south"]));
    assert!(none.is_nowhere());
    assert!(!none.is_anywhere());
    assert!(!none.allows(Some("north")));
}
