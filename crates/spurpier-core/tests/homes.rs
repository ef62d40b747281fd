//! Homes follow the membership, are the same on every node, and move as little as possible.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use proptest::prelude::*;
use spurpier_core::homes::{HomeTable, RankedHomes, budgeted_interval};
use spurpier_core::identity::{DatabaseName, NodeName, RegionName, ZoneName};
use spurpier_core::membership::{MemberAddresses, MemberIdentity};

const DATABASES: usize = 40;

fn identity(number: u16) -> Arc<MemberIdentity> {
    let address = SocketAddr::from(([127, 0, 0, 1], number));
    Arc::new(MemberIdentity {
        name: NodeName::from(format!("node-{number}")),
        zone: ZoneName::from(format!("zone-{}", number % 3)),
        region: RegionName::from("region"),
        addresses: MemberAddresses {
            gossip: address,
            internal: address,
            postgres: address,
        },
    })
}

fn databases() -> Vec<DatabaseName> {
    (0..DATABASES)
        .map(|number| DatabaseName::from(format!("database-{number}")))
        .collect()
}

fn all_homes(table: &HomeTable) -> Vec<RankedHomes> {
    databases()
        .iter()
        .map(|database| table.homes_of(database).expect("the database is known"))
        .collect()
}

proptest! {
    #[test]
    fn incremental_updates_match_recomputation(
        changes in prop::collection::vec((0u16..12, any::<bool>()), 0..40),
        per_zone in 0usize..4,
    ) {
        let mut table = HomeTable::new(databases(), per_zone);
        let mut live: BTreeMap<u16, ()> = BTreeMap::new();
        for (number, added) in changes {
            if added {
                table.add(&identity(number));
                live.insert(number, ());
            } else {
                table.remove(identity(number).key());
                live.remove(&number);
            }
        }
        let mut recomputed = HomeTable::new(databases(), per_zone);
        for number in live.keys().rev() {
            recomputed.add(&identity(*number));
        }
        prop_assert_eq!(all_homes(&table), all_homes(&recomputed));
    }

    #[test]
    fn repeated_messages_stay_within_their_budget(
        messages in 0usize..1_000,
        message_bytes in 1usize..2_000,
        budget in 1usize..10_000,
    ) {
        let minimum = Duration::from_millis(100);
        let interval = budgeted_interval(minimum, messages, message_bytes, budget);
        prop_assert!(interval >= minimum);
        let rate = (messages * message_bytes) as f64 / interval.as_secs_f64();
        prop_assert!(rate <= budget as f64 * 1.001);
        if interval > minimum {
            prop_assert!(rate >= budget as f64 * 0.999);
        }
    }

    #[test]
    fn a_joining_node_moves_no_homes_between_other_nodes(
        nodes in prop::collection::btree_set(0u16..30, 4..20),
        joining in 30u16..60,
    ) {
        let mut table = HomeTable::new(databases(), 2);
        for number in &nodes {
            table.add(&identity(*number));
        }
        let before = all_homes(&table);
        let newcomer = identity(joining).key();
        let gained = table.add(&identity(joining));
        for (index, (before, after)) in before.iter().zip(all_homes(&table)).enumerate() {
            let name = &databases()[index];
            prop_assert_eq!(gained.contains(name), after.contains(newcomer));
            for zone in &after.zones {
                let others = zone.nodes.iter().filter(|node| **node != newcomer);
                for node in others {
                    prop_assert!(before.in_zone(&zone.zone).contains(node));
                }
            }
        }
        table.remove(newcomer);
        prop_assert_eq!(all_homes(&table), before);
    }
}

#[test]
fn each_zone_has_the_configured_number_of_homes_and_one_home_is_first() {
    let mut table = HomeTable::new(databases(), 2);
    for number in 0..12 {
        table.add(&identity(number));
    }
    for (database, homes) in databases().iter().zip(all_homes(&table)) {
        assert_eq!(homes.zones.len(), 3);
        assert!(homes.zones.iter().all(|zone| zone.nodes.len() == 2));
        let first = homes.first.expect("there are homes");
        assert!(homes.contains(first));
        let first_homes = (0..12)
            .filter(|number| table.is_first_home(database, identity(*number).key()))
            .count();
        assert_eq!(first_homes, 1);
    }
}

#[test]
fn every_node_is_a_home_with_zero_homes_per_zone() {
    let mut table = HomeTable::new(databases(), 0);
    for number in 0..7 {
        table.add(&identity(number));
    }
    for database in databases() {
        assert!((0..7).all(|number| table.is_home(&database, identity(number).key())));
        let homes = table.homes_of(&database).expect("the database is known");
        let count: usize = homes.zones.iter().map(|zone| zone.nodes.len()).sum();
        assert_eq!(count, 7);
    }
}
