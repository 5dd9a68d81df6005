//! The settings of a pool, derived from the catalogue's documents.

use super::*;

/// Returns whether no server of the list accepts new requests.
pub(super) fn is_empty(list: &ServerList) -> bool {
    !list.entries.iter().any(|entry| entry.state == ServerState::InService)
}

/// Converts the catalogue's servers to a full source update.
pub(super) fn catalogue_update(members: &[MemberView]) -> SourceUpdate {
    let entry = |member: &MemberView| SourceEntry {
        id: member.id.clone(),
        address: member.address,
        transport: member.transport.clone(),
        zone: member.zone.clone(),
        cell: member.cell,
        kind: String::new(),
        size: member.size,
        started_ms: Some(member.since_ms),
        draining: !member.in_service,
    };
    SourceUpdate::Full(members.iter().map(entry).collect())
}

/// Derives a pool's balancer settings and class names from the tenant's specification.
pub(super) fn balancer_settings(spec: &TenantSpec, nodes: u32) -> (BalancerSettings, ClassTenantNames) {
    let micros = |ms: u64| ms.saturating_mul(1_000);
    let classes = spec.classes.values().map(|class| RequestClass {
        target_latency: micros(class.aim_ms.unwrap_or(class.deadline_ms)),
        deadline: micros(class.deadline_ms),
        worth: class.worth,
        late_worth_share: class.late_share,
        semantics: match class.repeat {
            Repeat::Safe => Semantics::Safe,
            Repeat::Unsafe => Semantics::Unsafe,
            Repeat::Keyed => Semantics::Keyed {
                scope: match class.scope {
                    Scope::All => KeyScope::All,
                    Scope::Zone => KeyScope::Zone,
                    Scope::Cell => KeyScope::Cell,
                },
                ttl: micros(class.window_ms),
            },
        },
        in_order: class.in_order,
    });
    let pool = &spec.pool;
    let settings = BalancerSettings {
        node_count: nodes,
        classes: classes.collect(),
        worth_basis: WorthBasis::Request,
        weight_source: WeightSource::Nominal,
        discovery: DiscoveryMode::Push,
        key_affinity: pool.warm_keys,
        can_cancel: true,
        can_probe: pool.may_probe,
        allows_hedging: pool.second_copies,
        max_attempts: pool.max_attempts,
        advises_retry_after: true,
        max_retry_after: MAX_RETRY_AFTER.as_micros() as u64,
        initial_capacity: pool.start_capacity,
        slow_start_window: micros(pool.ramp_ms),
        connect_timeout: micros(pool.dial_timeout_ms),
        overload_multiple: pool.fall_multiple,
        utilization_field: pool.report.iter().position(|field| field == "util"),
        ..BalancerSettings::default()
    };
    (settings, ClassTenantNames::new(spec.classes.keys().cloned().collect(), Vec::new()))
}
