//! Records of the key-value store: keys and values.

use admission_control::plan::Plan;
use hierarchical_quota::TreeSpec;
use jaspertiller::admission::shared::{self, PLAN_KEY};
use jaspertiller::fleet::{MACHINE_TYPES_KEY, MachineTypeSpec};
use jaspertiller::jobs::cache::JobCache;
use jaspertiller::jobs::record::{
    JobRecord, decode_page, encode_page, job_key, page_key, parse_page_key,
};
use jaspertiller::jobs::{JobKind, JobSpec, Phase, Placement, PriorityClass, Task};
use jaspertiller::lease::{
    ControllerRecord, LEADER_KEY, LeaderRecord, LeaseChange, Leases, ShardRecord, Tenure,
    controller_key, shard_key,
};
use jaspertiller::quota::hierarchical::{
    HierarchicalQuota, PendingTreeWrite, TREE_HEAD_KEY, TreeStatus, group_name,
};
use jaspertiller::quota::{AllocationRecord, QuotaAllocation, QuotaAllocations, allocation_key};
use jaspertiller::types::{
    AgentEpoch, Attempt, ControllerId, FencingToken, LeaseId, Millis, Resources, Revision, ShardId,
};

use crate::Fixtures;
use crate::settings::settings;

pub(crate) fn shard(text: &str) -> ShardId {
    ShardId::parse(text).expect("valid shard id")
}

fn controller_id(text: &str) -> ControllerId {
    text.into()
}

/// A record with every field set, each to a different number.
pub(crate) fn full_spec() -> JobSpec {
    JobSpec {
        class: "nightly-batch".into(),
        team: "huye-slotting".into(),
        kind: JobKind::Array,
        priority: PriorityClass::Normal,
        tasks: 300,
        resources: Resources {
            cpus: 7.5,
            gpus: 2.0,
            memory_gb: 61.25,
        },
        image: "img-forecast-7".into(),
        image_gb: 11.5,
        machine_types: Some(vec!["g8".into(), "c16".into()]),
        zone: Some("a".into()),
        one_zone: true,
        spread: true,
        spot: true,
        estimate_s: 840.0,
        checkpoint_s: 90.5,
        save_s: 12.0,
        due_s: Some(3600.5),
    }
}

/// A record without the optional fields and with all flags off.
pub(crate) fn bare_spec() -> JobSpec {
    JobSpec {
        machine_types: None,
        zone: None,
        one_zone: false,
        spread: false,
        spot: false,
        due_s: None,
        ..full_spec()
    }
}

pub(crate) fn spec_of(kind: JobKind, priority: PriorityClass) -> JobSpec {
    JobSpec {
        kind,
        priority,
        ..bare_spec()
    }
}

fn job(phase: Phase, spec: Option<JobSpec>) -> JobRecord {
    JobRecord {
        phase,
        owner: controller_id("n2"),
        tasks: 300,
        page_size: 64,
        spec,
    }
}

fn placed(machine_id: &str, at: &str, agent_epoch: u64, attempt: u64) -> Task {
    Task::Placed(Placement {
        machine_id: machine_id.into(),
        shard: shard(at),
        agent_epoch: AgentEpoch(agent_epoch),
        attempt: Attempt(attempt),
    })
}

fn waiting(last_attempt: u64) -> Task {
    Task::Waiting {
        last_attempt: Attempt(last_attempt),
    }
}

fn type_specs() -> Vec<MachineTypeSpec> {
    vec![
        MachineTypeSpec {
            id: "g8".into(),
            resources: Resources {
                cpus: 96.0,
                gpus: 8.0,
                memory_gb: 768.5,
            },
            cache_gb: 200.0,
            fetch_gb_per_s: 0.25,
            price: 9.75,
            spot_price: 3.125,
            boot_s: 45.5,
            zones: vec!["a".into(), "b".into()],
        },
        MachineTypeSpec {
            id: "c16".into(),
            resources: Resources {
                cpus: 16.0,
                gpus: 0.0,
                memory_gb: 64.0,
            },
            cache_gb: 50.0,
            fetch_gb_per_s: 1.0,
            price: 0.5,
            spot_price: 0.0,
            boot_s: 20.0,
            zones: vec![],
        },
    ]
}

fn allocation_record() -> AllocationRecord {
    let allocation = |cpus, gpus| QuotaAllocation { cpus, gpus };
    AllocationRecord::from([
        ("huye-slotting".into(), allocation(12.5, 4.0)),
        (group_name("association"), allocation(0.0, 64.25)),
    ])
}

fn plan() -> Plan {
    let rates = |a, b| [("n1".to_string(), a), ("n2".to_string(), b)].into();
    Plan {
        shares: rates(12.5, 3.75),
        upper_bounds: rates(14.0, 30.5),
    }
}

#[test]
fn keys() {
    let mut fixtures = Fixtures::new("keys.txt", include_str!("fixtures/keys.txt"));
    let job = "job-000412".into();
    let cases = [
        ("job", job_key(&job)),
        ("task-page-first", page_key(&job, 0)),
        ("task-page", page_key(&job, 17)),
        ("controller", controller_key(&controller_id("n2"))),
        ("leader", LEADER_KEY.to_string()),
        ("block", shard_key(&shard("a.1"))),
        ("share", allocation_key(&shard("a.1"))),
        ("admission-plan", PLAN_KEY.to_string()),
        ("machine-types", MACHINE_TYPES_KEY.to_string()),
        ("quota-tree-head", TREE_HEAD_KEY.to_string()),
    ];
    for (name, key) in &cases {
        fixtures.check_encoded(name, key);
    }
    let page = fixtures.text("task-page");
    let read = parse_page_key(page);
    fixtures.check("task-page", "decoded value differs", read, Some((job, 17)));
    fixtures.finish();
}

#[test]
fn jobs() {
    let mut fixtures = Fixtures::new("jobs.txt", include_str!("fixtures/jobs.txt"));
    let active = |spec| job(Phase::Active, Some(spec));
    let cases = [
        ("active-every-field", active(full_spec())),
        ("active-no-optional-field", active(bare_spec())),
        (
            "active-array-best-effort",
            active(spec_of(JobKind::Array, PriorityClass::BestEffort)),
        ),
        (
            "active-gang-urgent",
            active(spec_of(JobKind::Gang, PriorityClass::Urgent)),
        ),
        (
            "active-service-critical",
            active(spec_of(JobKind::Service, PriorityClass::Critical)),
        ),
        ("aborting", job(Phase::Aborting, Some(full_spec()))),
        ("done-spec-kept", job(Phase::Done, Some(bare_spec()))),
        ("done-spec-dropped", job(Phase::Done, None)),
        ("aborted-spec-kept", job(Phase::Aborted, Some(bare_spec()))),
        ("aborted-spec-dropped", job(Phase::Aborted, None)),
    ];
    for (name, record) in &cases {
        fixtures.check_round_trip(name, record);
        // The cache reads it as well.
        let mut jobs = JobCache::default();
        let text = fixtures.texts.get(name).copied();
        let id = "job-000412".into();
        jobs.apply("jt/job/job-000412", text, Revision(5), Millis(1));
        let kept = jobs.get(&id).map(|job| &job.record);
        let expected = Some(record).filter(|record| record.spec.is_some());
        fixtures.check(name, "cached record differs", kept, expected);
        let ended = jobs.get(&id).is_none() && jobs.state(&id).is_some();
        fixtures.check(name, "job has ended", ended, record.spec.is_none());
    }
    fixtures.finish();
}

#[test]
fn task_pages() {
    let mut fixtures = Fixtures::new("task-pages.txt", include_str!("fixtures/task-pages.txt"));
    let cases = [
        ("never-placed", vec![Task::NEVER_PLACED; 64]),
        ("waiting", vec![waiting(7); 3]),
        ("done", vec![Task::Done; 5]),
        ("placed", vec![placed("vm-000231", "a.1", 41, 6)]),
        (
            "mixed",
            vec![
                Task::NEVER_PLACED,
                Task::NEVER_PLACED,
                waiting(3),
                placed("vm-1", "a.0", 2, 4),
                placed("vm-1", "a.0", 2, 4),
                placed("vm-2", "zone-b.12", 9, 5),
                Task::Done,
                Task::Done,
                waiting(4),
            ],
        ),
        ("empty", vec![]),
    ];
    for (name, tasks) in cases {
        fixtures.check_encoded(name, &encode_page(&tasks));
        let read = decode_page(fixtures.text(name), tasks.len() as u32);
        fixtures.check(name, "decoded value differs", read, Some(tasks));
    }
    fixtures.finish();
}

#[test]
fn leases() {
    let mut fixtures = Fixtures::new("leases.txt", include_str!("fixtures/leases.txt"));
    let controller = |receives_heartbeats| ControllerRecord {
        lease_id: LeaseId(7001),
        zone: "a".into(),
        receives_heartbeats,
    };
    fixtures.check_round_trip("controller-reached-by-workers", &controller(true));
    fixtures.check_round_trip("controller-not-reached", &controller(false));
    let leader = LeaderRecord {
        leader: controller_id("n2"),
        lease_id: LeaseId(7001),
    };
    fixtures.check_round_trip("leader", &leader);
    let holder = ShardRecord {
        holder: controller_id("n2"),
        lease_id: LeaseId(7002),
        acquired: None,
    };
    fixtures.check_round_trip("block", &holder);
    let raised = ShardRecord {
        acquired: Some(FencingToken(33)),
        ..holder
    };
    fixtures.check_round_trip("block-with-raised-token", &raised);

    // The watch decodes the same records.
    let mut leases = Leases::default();
    let own_id = controller_id("n1");
    let apply = [
        ("jt/node/n2", "controller-reached-by-workers"),
        ("jt/lead", "leader"),
        ("jt/block/a.1", "block"),
    ];
    for (at, (key, name)) in (31..).zip(apply) {
        let text = fixtures.text(name);
        let change = leases.apply(&own_id, key, Some(text), Revision(at));
        fixtures.check(name, "changes the leases", change.is_some(), true);
    }
    let known = leases.controllers.get(&controller_id("n2")).cloned();
    let expected = Some((controller(true), Revision(31)));
    fixtures.check(
        "controller-reached-by-workers",
        "decoded by the watch",
        known,
        expected,
    );
    let expected = Some((controller_id("n2"), Revision(32)));
    fixtures.check(
        "leader",
        "decoded by the watch",
        leases.leader.clone(),
        expected,
    );
    let token = leases
        .held_token(&shard("a.1"), &controller_id("n2"))
        .map(|token| token.0);
    fixtures.check("block", "fencing token", token, Some(33));

    let text = fixtures.text("block-with-raised-token");
    let change = leases.apply(&own_id, "jt/block/a.1", Some(text), Revision(40));
    let expected = Some(LeaseChange::Token(shard("a.1")));
    fixtures.check(
        "block-with-raised-token",
        "changes the token",
        change,
        expected,
    );
    let tenure = leases.held_tenure(&shard("a.1"), &controller_id("n2"));
    let expected = Some(Tenure {
        acquired: FencingToken(33),
        token: FencingToken(40),
    });
    fixtures.check(
        "block-with-raised-token",
        "decoded by the watch",
        tenure,
        expected,
    );
    fixtures.finish();
}

#[test]
fn cluster_wide_records() {
    let mut fixtures = Fixtures::new("shared.txt", include_str!("fixtures/shared.txt"));
    fixtures.check_round_trip("quota-shares-of-a-block", &allocation_record());
    fixtures.check_round_trip("no-quota-shares", &AllocationRecord::new());
    fixtures.check_round_trip("admission-plan", &plan());
    fixtures.check_round_trip("no-admission-plan", &Plan::default());
    fixtures.check_round_trip("machine-types", &type_specs());
    fixtures.check_round_trip("no-machine-types", &Vec::<MachineTypeSpec>::new());

    let mut shares = QuotaAllocations::default();
    let text = fixtures.text("quota-shares-of-a-block");
    shares.apply(shard("a.1"), Some(text), Revision(3));
    let known = shares.record(&shard("a.1"));
    fixtures.check(
        "quota-shares-of-a-block",
        "decoded by the watch",
        known,
        allocation_record(),
    );
    let mut admission = shared::WriteAdmission::default();
    let text = fixtures.text("admission-plan");
    admission.apply(Some(text), Revision(3));
    fixtures.check(
        "admission-plan",
        "decoded by the watch",
        admission.plan,
        plan(),
    );
    fixtures.finish();
}

/// The operator's sample tree, split into pages of at most one kilobyte.
#[test]
fn quota_tree() {
    let mut fixtures = Fixtures::new("quota-tree.txt", include_str!("fixtures/quota-tree.txt"));
    let spec = TreeSpec::parse("f", include_str!("../../deploy/quota-tree.ini")).unwrap();
    let mut off = spec.clone();
    (off.revision, off.hold_s, off.enabled) = (12, 0.25, false);
    let teams = settings().deployment.teams;
    for (name, spec) in [("sample", spec), ("switched-off", off)] {
        let mut writer = HierarchicalQuota::new(&teams, Some(&spec), 0.5);
        let mut reader = HierarchicalQuota::new(&teams, None, 0.5);
        let PendingTreeWrite::Pages(pages) = writer.pending_write(10) else {
            panic!("{name}: pages must be written first");
        };
        for (at, (key, text)) in pages.iter().enumerate() {
            let (key_of, page_of) = (format!("{name}-key-{at}"), format!("{name}-page-{at}"));
            fixtures.check_encoded(&key_of, key);
            fixtures.check_encoded(&page_of, text);
            writer.apply(key, Some(text), Revision(5));
            let (key, text) = (fixtures.text(&key_of), fixtures.text(&page_of));
            reader.apply(key, Some(text), Revision(5));
        }
        let PendingTreeWrite::Head(head, version) = writer.pending_write(10) else {
            panic!("{name}: the head must follow the pages");
        };
        assert_eq!(version, Revision(0));
        let head_of = format!("{name}-head");
        fixtures.check_encoded(&head_of, &head);
        let head = fixtures.text(&head_of);
        writer.apply(TREE_HEAD_KEY, Some(head), Revision(6));
        let tree_active = writer.tree_status() == TreeStatus::Active;
        fixtures.check(name, "is active at the writer", tree_active, true);
        let adopted = reader.apply(TREE_HEAD_KEY, Some(head), Revision(6));
        fixtures.check(name, "is adopted by the reader", adopted, true);
        let nodes = reader
            .active_tree()
            .map(|active| active.entitlements.tree().nodes.len());
        fixtures.check(
            name,
            "nodes of the active tree",
            nodes,
            spec.enabled.then_some(6),
        );
        let held = reader
            .active_tree()
            .map(|active| active.entitlements.tree().hold_ms);
        fixtures.check(name, "hold", held, spec.enabled.then_some(5_000));
    }
    fixtures.finish();
}
