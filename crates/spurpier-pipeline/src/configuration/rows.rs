//! The configuration as the rows that nodes send to each other.
//!
//! The store keeps the whole configuration in one row, and each evacuated zone in a row of its own.
//! Nodes exchange one row for each route, tenant and evacuated zone, and one for everything else,
//! so that only changed rows are sent. A change of two of 1,400 routes sends 187 bytes; with a
//! single row it sent 263 KB (counted at the sender's link in the test `large_configuration`).

use std::collections::{BTreeMap, BTreeSet};

use bytes::Bytes;
use nanoserde::{DeBin, SerBin};
use spurpier_core::locality::AllowedRegions;
use spurpier_core::store_version::StoreVersion;
use spurpier_core::wire::{List, LongText};

use crate::follow::assign_row_versions;
use crate::forward::{WireFreshness, duration, millis};
use crate::ports::{Configuration, GroupSettings, KeyDigest, Quota, Route, Row, Tenant};

/// Key prefix of a route's row, followed by the name of the database.
const ROUTE_PREFIX: &str = "route/";
/// Key prefix of a tenant's row, followed by the name of the tenant.
const TENANT_PREFIX: &str = "tenant/";
/// Key prefix of an evacuated zone's row, followed by the name of the zone. The row has no value.
const EVACUATED_PREFIX: &str = "evacuated/";
/// Key of the row that holds everything but routes, tenants and evacuated zones.
const SETTINGS_KEY: &str = "settings";

#[derive(Debug, SerBin, DeBin)]
struct RouteRow {
    group: LongText,
    freshness: WireFreshness,
    timeout_ms: u32,
    target_ms: u32,
    is_public: bool,
    allowed_regions: Option<List<LongText>>,
}

#[derive(Debug, SerBin, DeBin)]
struct TenantRow {
    keys: List<KeyDigest>,
    quota: Option<Quota>,
    allowed_regions: Option<List<LongText>>,
}

#[derive(Debug, SerBin, DeBin)]
struct SettingsRow {
    version: u64,
    transaction_idle_ms: u32,
    /// Whether clients are identified as tenants by their keys.
    has_tenants: bool,
    groups: List<GroupRow>,
}

#[derive(Debug, SerBin, DeBin)]
struct GroupRow {
    name: LongText,
    connections: u32,
    synchronous_replicas: u32,
    cold_per_second: Option<f64>,
}

/// Splits a configuration that the store wrote at `version` into rows. A row that is unchanged from
/// `known` keeps its known version, so that it is not sent again.
///
/// `known` and the returned rows are sorted by key. Of two routes for one database, the first one
/// applies.
pub fn split(configuration: &Configuration, version: StoreVersion, known: &[Row]) -> Vec<Row> {
    let mut rows: Vec<Row> = configuration.routes.iter().map(route_row).collect();
    let tenants = configuration.tenants.iter().flatten();
    rows.extend(tenants.map(tenant_row));
    rows.push(settings_row(configuration));
    // The sort is stable: the first of two routes for one database stays first and is kept.
    rows.sort_by(|one, other| one.key.cmp(&other.key));
    rows.dedup_by(|later, first| later.key == first.key);
    assign_row_versions(&mut rows, known, version);
    rows
}

fn row(key: String, value: &impl SerBin) -> Row {
    Row {
        key,
        value: Bytes::from(value.serialize_bin()),
        version: StoreVersion::NONE,
        gone: false,
    }
}

fn route_row(route: &Route) -> Row {
    let value = RouteRow {
        group: LongText(route.group.clone()),
        freshness: route.freshness.into(),
        timeout_ms: millis(route.timeout),
        target_ms: millis(route.target),
        is_public: route.is_public,
        allowed_regions: region_names(&route.allowed_regions),
    };
    row(format!("{ROUTE_PREFIX}{}", route.database), &value)
}

fn tenant_row(tenant: &Tenant) -> Row {
    let value = TenantRow {
        keys: List(tenant.keys.clone()),
        quota: tenant.quota,
        allowed_regions: region_names(&tenant.allowed_regions),
    };
    row(format!("{TENANT_PREFIX}{}", tenant.name), &value)
}

fn settings_row(configuration: &Configuration) -> Row {
    let value = SettingsRow {
        version: configuration.version,
        transaction_idle_ms: millis(configuration.transaction_idle),
        has_tenants: configuration.tenants.is_some(),
        groups: List(configuration.groups.iter().map(group_row).collect()),
    };
    row(SETTINGS_KEY.to_owned(), &value)
}

fn group_row(group: &GroupSettings) -> GroupRow {
    let count = |count: usize| u32::try_from(count).unwrap_or(u32::MAX);
    GroupRow {
        name: LongText(group.name.clone()),
        connections: count(group.connections),
        synchronous_replicas: count(group.synchronous_replicas),
        cold_per_second: group.cold_per_second,
    }
}

/// Assembles a configuration from its rows, without the rows of evacuated zones.
///
/// # Errors
///
/// Returns the key of the first row that cannot be decoded, or the key of the settings row if that
/// is missing or cannot be decoded.
pub fn join(rows: &[Row]) -> Result<Configuration, String> {
    let mut routes = Vec::with_capacity(rows.len());
    let mut settings = None;
    let mut tenants = Vec::new();
    for row in rows {
        if row.key == SETTINGS_KEY {
            settings = SettingsRow::deserialize_bin(&row.value).ok();
        } else if row.key.starts_with(TENANT_PREFIX) {
            tenants.push(tenant(row).ok_or_else(|| row.key.clone())?);
        } else {
            routes.push(route(row).ok_or_else(|| row.key.clone())?);
        }
    }
    let settings = settings.ok_or_else(|| SETTINGS_KEY.to_owned())?;
    Ok(Configuration {
        version: settings.version,
        routes,
        groups: settings.groups.0.into_iter().map(group_settings).collect(),
        tenants: settings.has_tenants.then_some(tenants),
        transaction_idle: duration(settings.transaction_idle_ms),
    })
}

/// Returns the configuration version in the settings row; none if that row is missing or cannot be
/// decoded.
pub fn document_version(rows: &[Row]) -> Option<u64> {
    let settings = rows.iter().find(|row| row.key == SETTINGS_KEY)?;
    let settings = SettingsRow::deserialize_bin(&settings.value).ok()?;
    Some(settings.version)
}

/// Returns the rows of evacuated zones after an answer of the store.
///
/// `stored` holds all rows of the store if `is_whole`, else the changed ones. `known` holds the
/// previous rows of evacuated zones. `zone_of` decodes the zone of a row of the store.
pub fn evacuated_rows(
    stored: &[Row],
    is_whole: bool,
    known: &[Row],
    zone_of: impl Fn(&Row) -> Option<String>,
) -> Vec<Row> {
    let kept = known.iter().filter(|_| !is_whole).cloned();
    let mut rows: BTreeMap<String, Row> = kept.map(|row| (row.key.clone(), row)).collect();
    for row in stored {
        let Some(zone) = zone_of(row) else {
            continue;
        };
        let key = format!("{EVACUATED_PREFIX}{zone}");
        if row.gone {
            rows.remove(&key);
            continue;
        }
        let known = known.iter().find(|known| known.key == key);
        let version = known.map_or(row.version, |known| known.version);
        let evacuated = Row {
            key: key.clone(),
            value: Bytes::new(),
            version,
            gone: false,
        };
        rows.insert(key, evacuated);
    }
    rows.into_values().collect()
}

/// Whether a row marks an evacuated zone.
pub fn is_evacuated(row: &Row) -> bool {
    row.key.starts_with(EVACUATED_PREFIX)
}

/// Returns the names of the evacuated zones among rows.
pub fn evacuated_zones(rows: &[Row]) -> BTreeSet<String> {
    let names = rows
        .iter()
        .filter_map(|row| row.key.strip_prefix(EVACUATED_PREFIX));
    names.map(str::to_owned).collect()
}

fn route(row: &Row) -> Option<Route> {
    let database = row.key.strip_prefix(ROUTE_PREFIX)?;
    let value = RouteRow::deserialize_bin(&row.value).ok()?;
    Some(Route {
        database: database.to_owned(),
        group: value.group.0,
        freshness: value.freshness.into(),
        timeout: duration(value.timeout_ms),
        target: duration(value.target_ms),
        is_public: value.is_public,
        allowed_regions: allowed_regions(value.allowed_regions),
    })
}

fn tenant(row: &Row) -> Option<Tenant> {
    let name = row.key.strip_prefix(TENANT_PREFIX)?;
    let value = TenantRow::deserialize_bin(&row.value).ok()?;
    Some(Tenant {
        name: name.to_owned(),
        keys: value.keys.0,
        quota: value.quota,
        allowed_regions: allowed_regions(value.allowed_regions),
    })
}

fn group_settings(group: GroupRow) -> GroupSettings {
    GroupSettings {
        name: group.name.0,
        connections: group.connections as usize,
        synchronous_replicas: group.synchronous_replicas as usize,
        cold_per_second: group.cold_per_second,
    }
}

/// Encodes allowed regions for a message; none if every region is allowed.
pub fn region_names(allowed: &AllowedRegions) -> Option<List<LongText>> {
    let names = allowed.names()?;
    Some(List(names.iter().cloned().map(LongText).collect()))
}

/// Decodes allowed regions from a message; none allows every region.
pub fn allowed_regions(names: Option<List<LongText>>) -> AllowedRegions {
    names.map_or(AllowedRegions::ANYWHERE, |names| {
        AllowedRegions::only(names.0.into_iter().map(|name| name.0))
    })
}
