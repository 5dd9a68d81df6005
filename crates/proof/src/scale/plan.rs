//! Plans of a full and of a quick measurement.

use std::time::Duration;

use super::{catalogue, events, node_scaling, registration, requests};

/// Time after which a full measurement is aborted.
const MAX_RUN_DURATION: Duration = Duration::from_secs(600);
/// Time after which a measurement with `--quick` is aborted.
const MAX_QUICK_RUN_DURATION: Duration = Duration::from_secs(60);

/// Plans of all parts of a measurement.
pub(super) struct MeasurementPlan {
    pub(super) catalogue: catalogue::CataloguePlan,
    pub(super) registration: registration::RegistrationPlan,
    pub(super) requests: requests::RequestsPlan,
    pub(super) node_scaling: node_scaling::NodeScalingPlan,
    pub(super) events: events::EventsPlan,
    /// Number of services during the events.
    pub(super) event_services: usize,
    /// Number of registered servers during the events.
    pub(super) event_servers: usize,
    pub(super) max_duration: Duration,
}

impl MeasurementPlan {
    pub(super) fn full() -> MeasurementPlan {
        MeasurementPlan {
            catalogue: catalogue::FULL_PLAN,
            registration: registration::FULL_PLAN,
            requests: requests::FULL_PLAN,
            node_scaling: node_scaling::NodeScalingPlan {
                hollow_nodes: vec![60, 120, 240, 480],
                nodes_per_host: 6,
                real_nodes: 4,
                rounds: 3,
                changes: 10,
                membership_duration: Duration::from_secs(3),
            },
            events: events::EventsPlan {
                rack_hosts: 2,
                zone_hosts: 11,
                restarting_hosts: 5,
                rack_servers: 110,
                nodes_per_host: 6,
                cut_duration: Duration::from_secs(180),
            },
            event_services: 140,
            event_servers: 4_500,
            max_duration: MAX_RUN_DURATION,
        }
    }

    pub(super) fn quick() -> MeasurementPlan {
        let full = MeasurementPlan::full();
        MeasurementPlan {
            catalogue: catalogue::QUICK_PLAN,
            registration: registration::QUICK_PLAN,
            requests: requests::QUICK_PLAN,
            node_scaling: node_scaling::NodeScalingPlan {
                hollow_nodes: vec![12, 18, 24, 36],
                real_nodes: 3,
                rounds: 1,
                changes: 5,
                membership_duration: Duration::from_secs(1),
                ..full.node_scaling
            },
            events: events::EventsPlan {
                rack_hosts: 1,
                zone_hosts: 1,
                restarting_hosts: 1,
                rack_servers: 6,
                cut_duration: Duration::from_secs(3),
                ..full.events
            },
            event_services: 6,
            event_servers: 60,
            max_duration: MAX_QUICK_RUN_DURATION,
        }
    }
}
