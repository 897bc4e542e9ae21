//! Publication of the operator's tree file: writes it to the store, and deletes replaced trees.

use super::super::calls::CallPurpose;
use super::super::{Controller, quota_allocation::Quota};
use crate::quota::hierarchical::{PendingTreeWrite, TREE_HEAD_KEY, TreeStatus};
use crate::store::{CallClass, StoreResponse, Transaction, WriteGate};
use crate::types::Millis;

/// Time between comparisons of the tree file with the store; the file is written if it is newer. An
/// operator changes the tree a few times a day at most.
const PUBLICATION_INTERVAL: Millis = Millis(2_000);

/// Maximum number of pages in one transaction, which with values of 8 KiB stays below 64 KiB.
const MAX_PAGES_PER_TRANSACTION: usize = 6;

/// Progress of writing the tree file to the store.
#[derive(Default)]
pub(in crate::controller) struct TreePublication {
    /// When the file was last compared with the store.
    checked_at: Millis,
    /// The status of the file when it was last logged.
    logged_status: TreeStatus,
    /// When tree records may be written or deleted again.
    write: WriteGate,
}

impl TreePublication {
    /// Logs the status of the file if it has changed.
    fn log_status(&mut self, status: TreeStatus) {
        if status == self.logged_status {
            return;
        }
        self.logged_status = status;
        match status {
            TreeStatus::Conflicting => tracing::error!(
                "quota tree file differs from the active tree of the same revision; raise its revision to publish it"
            ),
            TreeStatus::Outdated => {
                tracing::info!("quota tree file is older than the active tree; ignoring it")
            }
            TreeStatus::Newer => {
                tracing::info!("quota tree file is newer than the active tree; publishing it")
            }
            TreeStatus::NoFile | TreeStatus::Active => {}
        }
    }
}

impl Quota {
    /// The next transaction towards a store that contains the file's tree and no replaced pages. It
    /// is empty if there is nothing to do. Only the leader deletes replaced pages. `max_changes` is
    /// the number of changes that the store accepts in a transaction.
    fn tree_transaction(&self, max_changes: usize, is_leader: bool) -> Transaction {
        let mut txn = Transaction::default();
        let max_pages = max_changes.min(MAX_PAGES_PER_TRANSACTION);
        match self.hierarchy.pending_write(max_pages) {
            PendingTreeWrite::Pages(pages) => {
                for (key, text) in pages {
                    txn.require(key.clone(), self.hierarchy.page_version(&key));
                    txn.put_json(key, text, None);
                }
            }
            PendingTreeWrite::Head(text, version) => {
                txn.require(TREE_HEAD_KEY.into(), version);
                txn.put_json(TREE_HEAD_KEY.into(), text, None);
            }
            PendingTreeWrite::Nothing if is_leader => {
                for key in self.hierarchy.obsolete_pages().take(max_changes) {
                    txn.require(key.clone(), self.hierarchy.page_version(key));
                    txn.delete(key.clone());
                }
            }
            PendingTreeWrite::Nothing => {}
        }
        txn
    }
}

impl Controller {
    /// Writes the next part of the tree file to the store if the file is newer than the tree there,
    /// or deletes replaced pages. Only one such transaction is in flight at a time.
    pub(super) fn publish_tree(&mut self) {
        if self.now.since(self.quota.tree_publication.checked_at) < PUBLICATION_INTERVAL
            || !self.store_sync.synced
            || !self.may_place()
        {
            return;
        }
        self.quota.tree_publication.checked_at = self.now;
        let status = self.quota.hierarchy.tree_status();
        self.quota.tree_publication.log_status(status);
        if !self
            .quota
            .tree_publication
            .write
            .is_open(self.store_sync.applied, self.now)
        {
            return;
        }
        let max_changes = self.settings.deployment.state.txn_ops;
        let txn = self.quota.tree_transaction(max_changes, self.is_leading());
        if !txn.changes.is_empty() {
            self.quota.tree_publication.write.begin(self.now);
            self.transact(CallClass::Background, txn, CallPurpose::QuotaTree);
        }
    }

    /// Handles the response to a transaction that wrote or deleted tree records.
    pub(in crate::controller) fn on_tree_written(&mut self, response: &StoreResponse) {
        let publication = &mut self.quota.tree_publication;
        publication.write.end(response);
        // After a commit the next part follows without waiting for the interval.
        if matches!(response, StoreResponse::Committed(_)) {
            publication.checked_at = Millis(0);
        }
    }
}
