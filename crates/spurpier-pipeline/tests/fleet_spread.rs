//! Cost of distributing the store's tables at growing fleet sizes.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use proptest::prelude::*;
use spurpier_core::directory::Incarnation;
use spurpier_core::store_version::{StoreEra, StoreVersion};
use spurpier_core::time::Timestamp;
use spurpier_pipeline::homes::Homes;
use spurpier_pipeline::node_entry::{LeaseScope, ListedNode, NodeEntry};
use spurpier_pipeline::ports::{
    Configuration, EntryField, EntryFormat, Row, ServerEntry, ServerRole, Shard, Table,
    UnusableEntry,
};
use spurpier_pipeline::server_rows;
use spurpier_pipeline::settings::PipelineSettings;

const ZONES: usize = 6;
const SIZES: [usize; 4] = [300, 1_000, 2_000, 6_100];
/// Maximum followers of one watcher. Sending 200 KB of servers to each of 25 followers takes 2 s of
/// a 20 Mbit/s link.
const MAX_FOLLOWERS: usize = 64;
/// How long a starting fleet waits for its list of nodes, and the writes that a shard accepts.
const LISTED_WITHIN_S: usize = 3;
const SHARD_WRITES_PER_S: usize = 200;

fn name(number: usize) -> String {
    format!("front-hall-{number}")
}

fn zone(number: usize) -> String {
    format!("zone-{}", number % ZONES)
}

fn settings() -> PipelineSettings {
    let zones = (0..ZONES).map(|zone| format!("zone-{zone} = \"region-{}\"\n", zone / 2));
    let zones: String = zones.collect();
    let text = format!(
        r#"
        [node]
        name = "front-hall-0"
        zone = "zone-0"
        region = "region-0"
        [listen]
        client = "127.0.0.1:1"
        ready = "127.0.0.1:2"
        internal = "127.0.0.1:3"
        control = "127.0.0.1:4"
        [platform]
        store = "127.0.0.1:5"
        promotion = "127.0.0.1:6"
        [zones]
        {zones}"#
    );
    PipelineSettings::parse(&text).expect("whole settings")
}

fn fleet(size: usize) -> BTreeMap<String, ListedNode> {
    let listed = |number: usize| {
        let entry = NodeEntry {
            address: SocketAddr::from(([10, 0, 0, 1], 1_000)),
            zone: zone(number),
            weight: 0.12,
            link_mbps: 20.0,
            leaving: false,
            leases: LeaseScope::default(),
        };
        (
            name(number),
            ListedNode {
                entry,
                version: StoreVersion::from_bits(1),
            },
        )
    };
    (0..size).map(listed).collect()
}

#[test]
fn followers_per_watcher_are_bounded_at_every_fleet_size() {
    for size in SIZES {
        let homes = Homes::new(&settings());
        homes.replace(fleet(size), StoreEra::UNREPORTED, Timestamp::ZERO);
        let mut followers: BTreeMap<String, usize> = BTreeMap::new();
        let mut watchers = 0;
        for number in 0..size {
            let assignment = homes.watchers_for(&name(number), &zone(number));
            let assignment = assignment.expect("the list is known");
            if assignment.is_watcher {
                watchers += 1;
                continue;
            }
            assert!(
                assignment.nodes.0.len() <= 8,
                "the answer of a seed is bounded"
            );
            assert_eq!(
                assignment.nodes.0[0].zone,
                zone(number),
                "the own zone first"
            );
            *followers
                .entry(assignment.nodes.0[0].name.clone())
                .or_default() += 1;
        }
        let most = followers.values().max().copied().unwrap_or_default();
        assert!(most <= MAX_FOLLOWERS, "{size} nodes: {most} follow one");
        assert!(
            watchers * 16 <= size + 96,
            "{size} nodes: {watchers} watchers"
        );
    }
}

#[test]
fn all_nodes_of_a_fleet_are_listed_in_time() {
    for size in SIZES {
        let mut writes: BTreeMap<Shard, usize> = BTreeMap::new();
        for number in 0..size {
            *writes.entry(Shard::of_node(&name(number))).or_default() += 1;
        }
        let most = writes.values().max().copied().unwrap_or_default();
        let takes_s = most as f64 / SHARD_WRITES_PER_S as f64;
        assert!(
            takes_s <= LISTED_WITHIN_S as f64,
            "{size} nodes take {takes_s} s"
        );
    }
}

#[test]
fn node_rows_are_not_in_the_platform_shard() {
    for table in [Table::Cluster, Table::Duty] {
        assert!(!Shard::all(table).contains(&Shard::Platform));
    }
    let nodes = (0..100).map(|number| Shard::of_node(&name(number)));
    for shard in nodes {
        assert!(Shard::all(Table::Cluster).contains(&shard));
    }
}

#[test]
fn promotion_lease_holder_has_an_entry_of_the_same_size() {
    let scope = |is_all| LeaseScope {
        groups: (0..20).map(|number| format!("group-{number}")).collect(),
        is_all,
    };
    let (holder, other) = (scope(true), scope(false));
    assert!(holder.contains("group-9600") && !other.contains("group-9600"));
    assert!(holder.covers(&other) && !other.covers(&holder));
    let size = |leases| {
        use nanoserde::SerBin;
        let mut entry = fleet(1).remove(&name(0)).expect("it is listed").entry;
        entry.leases = leases;
        entry.serialize_bin().len()
    };
    assert_eq!(size(holder), size(other));
}

/// An entry format that returns the same result for every row.
struct Entries(Result<ServerEntry, UnusableEntry>);

impl EntryFormat for Entries {
    fn server(&self, _: &Row) -> Result<ServerEntry, UnusableEntry> {
        self.0.clone()
    }

    fn evacuated_zone(&self, _: &Row) -> Option<String> {
        None
    }

    fn configuration(&self, _: &Row) -> Option<Configuration> {
        None
    }
}

fn peer_row(read: &Result<ServerEntry, UnusableEntry>) -> Row {
    let row = Row {
        key: "i-7f3a91c2".to_owned(),
        value: vec![b'x'; 250].into(),
        version: StoreVersion::from_bits(9),
        gone: false,
    };
    server_rows::to_peer_row(&Entries(read.clone()), row)
}

fn server() -> impl Strategy<Value = ServerEntry> {
    (
        prop::option::of(any::<u64>()),
        "[a-z0-9]{1,12}",
        any::<(u32, u16)>(),
        any::<(u32, bool, bool)>(),
        0u64..86_400_000,
    )
        .prop_map(|(started_ms, group, (host, port), flags, cold_ms)| {
            let (slots, draining, leads) = flags;
            ServerEntry {
                incarnation: Incarnation::new("i-7f3a91c2", started_ms),
                zone: format!("{group}-hall"),
                group,
                address: SocketAddr::from((host.to_be_bytes(), port)),
                slots: slots as usize,
                draining,
                role: if leads {
                    ServerRole::Primary
                } else {
                    ServerRole::Replica
                },
                cold_for: Duration::from_millis(cold_ms),
            }
        })
}

proptest! {
    #[test]
    fn peer_rows_keep_server_entries_in_a_third_of_the_bytes(entry in server()) {
        let read = Ok(entry);
        let row = peer_row(&read);
        prop_assert_eq!(row.version, StoreVersion::from_bits(9));
        prop_assert!(row.value.len() <= 250 / 3, "{} bytes", row.value.len());
        prop_assert_eq!(server_rows::read(&row), read);
    }

    #[test]
    fn decoder_of_peer_rows_never_panics(value in prop::collection::vec(any::<u8>(), 0..80)) {
        let row = Row { key: "i-1".to_owned(), value: value.into(), version: StoreVersion::from_bits(1), gone: false };
        let _ = server_rows::read(&row);
    }
}

#[test]
fn peer_rows_keep_the_reason_why_an_entry_is_unusable() {
    let reasons = [
        UnusableEntry::Unreadable,
        UnusableEntry::UnknownState,
        UnusableEntry::UnknownRole,
        UnusableEntry::NoStart,
    ];
    let fields = EntryField::ALL.map(UnusableEntry::Field);
    for why in reasons.into_iter().chain(fields) {
        assert_eq!(server_rows::read(&peer_row(&Err(why))), Err(why));
    }
}
