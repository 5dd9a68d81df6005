//! The merged server list of one tenant.

use super::*;

impl TenantEntry {
    /// Returns the server list merged from all sources, with the drain filter applied.
    pub(super) fn servers(&mut self) -> ServerList {
        if self.view.state != TenantState::Active {
            return ServerList { complete: true, ..ServerList::default() };
        }
        let sources = self.sources();
        let (mut servers, next_change) = (sources.merged_list(), sources.time_to_change());
        self.next_change = next_change.map(|next_change| Instant::now() + next_change);
        self.drain_filter.borrow().apply(&mut servers);
        servers
    }

    /// Returns the merged sources; creates them from the catalogue's servers if necessary.
    pub(super) fn sources(&mut self) -> &mut MergedSources {
        let members = &self.view.members;
        self.sources.get_or_insert_with(|| {
            let mut sources = Box::new(MergedSources::new("catalogue", trusting_limits()));
            sources.apply_update(LIST_SOURCE, catalogue_update(members));
            sources
        })
    }

    /// Sends the current server list to all pools of the tenant.
    pub(super) fn send_server_list(&mut self) {
        self.pools.retain(|pool| pool.strong_count() > 0);
        if self.pools.is_empty() {
            return;
        }
        let servers = self.servers();
        let empty = is_empty(&servers);
        self.admissions
            .iter()
            .filter_map(Weak::upgrade)
            .for_each(|admission| admission.set_pool_empty(empty));
        for pool in self.pools.iter().filter_map(mpsc::WeakUnboundedSender::upgrade) {
            let _ = pool.send(DriverMessage::MergedList(servers.clone()));
        }
    }

    /// Applies the servers read at the tenant's registration path.
    pub(super) fn apply_path_servers(&mut self, paths: &mut EphemeralPools) {
        let Some((path, _)) = &self.path else { return };
        let Some((source, update, is_unreachable)) = paths.source_update(path) else { return };
        let Some(sources) = &mut self.sources else { return };
        sources.apply_update(source, update);
        if is_unreachable {
            sources.apply_update(source, SourceUpdate::Unreachable);
        }
        if let Some((old, source)) = self.previous_path.take() {
            sources.remove_source(source);
            paths.remove_tenant(&old, self.view.uid);
        }
    }
}
