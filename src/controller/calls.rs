//! Calls of this controller to the key-value store and the cloud: sends them, records what each is
//! for, and dispatches the store's answers to the steps that wait for them.

use rustc_hash::FxHashMap as HashMap;

use super::{Controller, Effect};
use crate::fleet::CloudCall;
use crate::jobs::cache::TaskChange;
use crate::quota::ALLOCATION_KEY_PREFIX;
use crate::store::{CallClass, Mutation, StoreCall, StoreResponse, Transaction};
use crate::types::{JobId, LeaseId, Millis, ReplyId, Revision, ShardId};

/// What a call to the key-value store is for.
#[derive(Debug)]
pub(super) enum CallPurpose {
    /// Obtains a lease.
    GrantLease {
        /// When the call was sent: the lease lasts from then, whenever the answer comes.
        sent_at: Millis,
    },
    /// Renews this controller's lease.
    RenewLease {
        /// The lease.
        lease_id: LeaseId,
        /// When the call was sent: the lease lasts from then, whenever the answer comes.
        sent_at: Millis,
    },
    /// Ends the lease of the previous process with this controller's label.
    EndOldLease,
    /// Writes this controller's own record.
    Register {
        /// The lease that the record is attached to.
        lease_id: LeaseId,
    },
    /// Claims the leadership.
    ClaimLeadership {
        /// The lease that the leader's record is attached to.
        lease_id: LeaseId,
    },
    /// Assigns shards to controllers, as the leader.
    AssignShards,
    /// Raises the token of a shard that this controller holds.
    RaiseToken {
        /// The lease that the shard's record is attached to.
        lease_id: LeaseId,
    },
    /// Reads a page of the snapshot of all records.
    Snapshot,
    /// Waits for changes of records.
    Watch,
    /// Reads the store's revision, for read barriers.
    ReadRevision,
    /// Writes a job that a user submitted.
    Submit {
        /// The new job.
        job: JobId,
        /// When the call was sent.
        sent_at: Millis,
    },
    /// Writes the cancellation of a job.
    Cancel {
        /// The user's request.
        reply: ReplyId,
        /// The job to cancel.
        job: JobId,
        /// When the call was sent.
        sent_at: Millis,
    },
    /// Writes placements and ends of a job's tasks.
    TaskChanges {
        /// The job whose tasks change.
        job: JobId,
        /// The changes, by the index of their task.
        changes: Vec<(u32, TaskChange)>,
    },
    /// Writes the final record of a cancelled job, which no longer contains the spec.
    Finalize {
        /// The cancelled job.
        job: JobId,
    },
    /// Deletes pages of finished jobs.
    DeletePages,
    /// Writes new allocations of the teams' quotas to shards.
    AllocateQuota {
        /// A shard and the version of its allocation record that the transaction is conditioned
        /// on.
        expected_version: (ShardId, Revision),
    },
    /// Writes a page of the quota tree.
    QuotaTree,
    /// Fences off a transaction of unknown outcome: if it has not been applied, it never will be.
    FenceOff {
        /// The jobs whose transactions are resolved with it.
        jobs: Vec<JobId>,
        /// The shard whose allocation is written for it.
        shard: ShardId,
    },
    /// Writes the plan that divides the write limit among the controllers.
    AdmissionPlan,
    /// A write whose outcome no step waits for.
    NoFollowUp,
}

/// A record that a transaction writes.
#[derive(Debug)]
pub(super) struct WrittenRecord {
    /// The record's key.
    pub(super) key: String,
    /// Its new contents; `None` if the record is deleted.
    pub(super) data: Option<String>,
}

impl From<&Mutation> for WrittenRecord {
    fn from(mutation: &Mutation) -> Self {
        match mutation {
            Mutation::Put { key, data, .. } => Self {
                key: key.clone(),
                data: Some(data.clone()),
            },
            Mutation::Delete { key } => Self {
                key: key.clone(),
                data: None,
            },
        }
    }
}

/// Whether one of the records is an allocation of quota to a shard.
fn writes_quota_allocation(written: &[WrittenRecord]) -> bool {
    written
        .iter()
        .any(|record| record.key.starts_with(ALLOCATION_KEY_PREFIX))
}

/// A call to the key-value store that is not answered yet.
#[derive(Debug)]
pub(super) struct StoreCallInFlight {
    /// What the call is for.
    pub(super) purpose: CallPurpose,
    /// The records that the call writes; empty if it only reads.
    pub(super) written: Vec<WrittenRecord>,
}

/// Calls in flight, by the tag that their response carries.
#[derive(Debug)]
pub(super) struct Calls {
    /// The tag of the latest call; each call has its own.
    last_tag: u64,
    /// Calls to the key-value store.
    pub(super) store: HashMap<u64, StoreCallInFlight>,
    /// Calls to the cloud.
    pub(super) cloud: HashMap<u64, CloudCall>,
}

impl Calls {
    /// No calls in flight.
    pub(super) fn new() -> Self {
        Self {
            last_tag: 1,
            store: HashMap::default(),
            cloud: HashMap::default(),
        }
    }

    /// The tag of the next call.
    fn allocate_tag(&mut self) -> u64 {
        self.last_tag += 1;
        self.last_tag
    }
}

impl Controller {
    /// A tag for a new call.
    pub(super) fn next_tag(&mut self) -> u64 {
        self.calls.allocate_tag()
    }

    /// Sends a call that writes no records. Its answer comes back to the step that `purpose` names.
    pub(super) fn call_store(&mut self, class: CallClass, call: StoreCall, purpose: CallPurpose) {
        let tag = self.next_tag();
        let written = Vec::new();
        let in_flight = StoreCallInFlight { purpose, written };
        self.calls.store.insert(tag, in_flight);
        self.effects.push(Effect::Store { tag, class, call });
    }

    /// Sends a transaction. Its records are applied to the cache as soon as it is known to be
    /// committed.
    pub(super) fn transact(&mut self, class: CallClass, txn: Transaction, purpose: CallPurpose) {
        let tag = self.next_tag();
        let written: Vec<WrittenRecord> = txn.changes.iter().map(WrittenRecord::from).collect();
        if writes_quota_allocation(&written) {
            self.quota.allocations_in_flight += 1;
        }
        self.commits.admission.record_writes(written.len());
        tracing::debug!(?purpose, changes = written.len(), "transaction sent");
        let in_flight = StoreCallInFlight { purpose, written };
        self.calls.store.insert(tag, in_flight);
        let call = StoreCall::Transaction(txn);
        self.effects.push(Effect::Store { tag, class, call });
    }

    /// Handles an answer of the store. Whatever the call was for, this first records whether the
    /// store responded and applies committed records, then runs the step that waits for the answer.
    pub(super) fn on_store(&mut self, tag: u64, response: StoreResponse) {
        let Some(StoreCallInFlight { purpose, written }) = self.calls.store.remove(&tag) else {
            return;
        };
        if writes_quota_allocation(&written) {
            self.quota.allocations_in_flight -= 1;
        }
        if !matches!(response, StoreResponse::Refused | StoreResponse::Unknown) {
            self.store_sync.last_response = self.now;
            self.leave_partition_mode();
        }
        match response {
            StoreResponse::Committed(revision) => self.apply_committed(written, revision),
            StoreResponse::Conflict(revision) => {
                let applied = self.store_sync.applied.0;
                tracing::debug!(
                    ?purpose,
                    revision = revision.0,
                    applied,
                    "transaction refused"
                );
            }
            _ => {}
        }
        self.dispatch_store_response(purpose, response);
        self.answer_cancellations();
    }

    /// Passes the answer to the step that waits for it.
    fn dispatch_store_response(&mut self, purpose: CallPurpose, response: StoreResponse) {
        match purpose {
            CallPurpose::GrantLease { sent_at } => self.on_lease_granted(sent_at, response),
            CallPurpose::RenewLease { lease_id, sent_at } => {
                self.on_lease_renewed(lease_id, sent_at, &response);
            }
            CallPurpose::EndOldLease => self.on_old_lease_ended(&response),
            CallPurpose::Register { lease_id } => self.on_registered(lease_id, &response),
            CallPurpose::ClaimLeadership { lease_id } => {
                self.on_leadership_written(lease_id, &response);
            }
            CallPurpose::AssignShards => self.on_shards_assigned(&response),
            CallPurpose::RaiseToken { lease_id } => {
                self.on_token_raise_answered(lease_id, &response);
            }
            CallPurpose::Snapshot => self.on_snapshot(response),
            CallPurpose::Watch => self.on_watch(response),
            CallPurpose::ReadRevision => self.on_revision(response),
            CallPurpose::Submit { job, sent_at } => self.on_submitted(job, sent_at, response),
            CallPurpose::Cancel {
                reply,
                job,
                sent_at,
            } => self.on_cancel_committed(reply, job, sent_at, response),
            CallPurpose::TaskChanges { job, changes } => {
                self.on_task_changes_written(job, changes, response)
            }
            CallPurpose::Finalize { job } => self.on_finalized(job),
            CallPurpose::DeletePages => self.commits.page_deletion.end(&response),
            CallPurpose::AllocateQuota { expected_version } => {
                self.on_allocated(expected_version, response)
            }
            CallPurpose::QuotaTree => self.on_tree_written(&response),
            CallPurpose::FenceOff { jobs, shard } => self.on_fenced_off(jobs, shard, response),
            CallPurpose::AdmissionPlan => self.commits.admission.plan_write.end(&response),
            CallPurpose::NoFollowUp => {}
        }
    }
}
