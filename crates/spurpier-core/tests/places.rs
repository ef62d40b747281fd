//! The regions that a route and a tenant allow.

use spurpier_core::locality::AllowedRegions;

fn only(names: &[&str]) -> AllowedRegions {
    AllowedRegions::only(names.iter().map(|name| (*name).to_owned()))
}

#[test]
fn unrestricted_regions_allow_known_and_unknown_regions() {
    assert!(AllowedRegions::ANYWHERE.allows(Some("north")));
    assert!(AllowedRegions::ANYWHERE.allows(None));
}

#[test]
fn a_restriction_allows_only_its_regions() {
    let north = only(&["north"]);
    assert!(north.allows(Some("north")));
    assert!(!north.allows(Some("south")));
    assert!(!north.allows(None));
}

#[test]
fn an_intersection_allows_what_both_restrictions_allow() {
    let both = only(&["north", "south"]).intersection(&only(&["south", "west"]));
    assert_eq!(both, only(&["south"]));
    assert_eq!(AllowedRegions::ANYWHERE.intersection(&both), both);
    assert_eq!(both.intersection(&AllowedRegions::ANYWHERE), both);
}

#[test]
fn disjoint_restrictions_allow_no_region() {
    let none = only(&["north"]).intersection(&only(&["south"]));
    assert!(none.is_nowhere());
    assert!(!none.is_anywhere());
    assert!(!none.allows(Some("north")));
}
