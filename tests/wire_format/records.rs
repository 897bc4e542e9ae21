//! Records of the state service: their keys, and what lies under them.

use jaspertiller::admission::shared::{self, PLAN};
use jaspertiller::fleet::{FLAVORS, Flavor};
use jaspertiller::jobs::cache::Jobs;
use jaspertiller::jobs::record::{
    JobRecord, decode_page, encode_page, job_key, page_key, parse_page_key,
};
use jaspertiller::jobs::{Phase, Placement, Rank, Shape, Spec, Task};
use jaspertiller::lease::{
    BlockRecord, LEADER, LeaderRecord, Leases, NodeRecord, block_key, node_key,
};
use jaspertiller::quota::nested::{HEAD, Nested, Owed, Standing, group_name};
use jaspertiller::quota::{Share, ShareRecord, Shares, share_key};
use jaspertiller::types::{Attempt, BlockId, Millis, NodeId, Permit, Revision, Room, Session};
use tiller_admission::plan::Plan;
use tiller_quota::TreeSpec;

use crate::Fixtures;
use crate::settings::settings;

pub fn block(text: &str) -> BlockId {
    BlockId::parse(text).expect("a block's name")
}

fn node(text: &str) -> NodeId {
    text.into()
}

/// Every field set, each number another.
pub fn full_spec() -> Spec {
    Spec {
        class: "nightly-batch".into(),
        team: "huye-slotting".into(),
        shape: Shape::Array,
        rank: Rank::Normal,
        tasks: 300,
        room: Room {
            cpus: 7.5,
            gpus: 2.0,
            memory_gb: 61.25,
        },
        image: "img-forecast-7".into(),
        image_gb: 11.5,
        rigs: Some(vec!["g8".into(), "c16".into()]),
        yard: Some("a".into()),
        one_zone: true,
        spread: true,
        spot: true,
        estimate_s: 840.0,
        checkpoint_s: 90.5,
        save_s: 12.0,
        due_s: Some(3600.5),
    }
}

/// Without the optional fields; the flags are off.
pub fn bare_spec() -> Spec {
    Spec {
        rigs: None,
        yard: None,
        one_zone: false,
        spread: false,
        spot: false,
        due_s: None,
        ..full_spec()
    }
}

pub fn spec_of(shape: Shape, rank: Rank) -> Spec {
    Spec {
        shape,
        rank,
        ..bare_spec()
    }
}

fn job(phase: Phase, spec: Option<Spec>) -> JobRecord {
    JobRecord {
        phase,
        home: node("n2"),
        tasks: 300,
        page: 64,
        spec,
    }
}

fn placed(host: &str, at: &str, session: u64, attempt: u64) -> Task {
    Task::Placed(Placement {
        host: host.into(),
        block: block(at),
        session: Session(session),
        attempt: Attempt(attempt),
    })
}

fn waiting(tried: u64) -> Task {
    Task::Waiting {
        tried: Attempt(tried),
    }
}

fn flavors() -> Vec<Flavor> {
    vec![
        Flavor {
            sku: "g8".into(),
            room: Room {
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
        Flavor {
            sku: "c16".into(),
            room: Room {
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

fn share_record() -> ShareRecord {
    let share = |cpus, gpus| Share { cpus, gpus };
    ShareRecord::from([
        ("huye-slotting".into(), share(12.5, 4.0)),
        (group_name("association"), share(0.0, 64.25)),
    ])
}

fn plan() -> Plan {
    let rates = |a, b| [("n1".to_string(), a), ("n2".to_string(), b)].into();
    Plan {
        shares: rates(12.5, 3.75),
        most: rates(14.0, 30.5),
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
        ("controller", node_key(&node("n2"))),
        ("leader", LEADER.to_string()),
        ("block", block_key(&block("a.1"))),
        ("share", share_key(&block("a.1"))),
        ("admission-plan", PLAN.to_string()),
        ("machine-types", FLAVORS.to_string()),
        ("quota-tree-head", HEAD.to_string()),
    ];
    for (name, key) in &cases {
        fixtures.writes(name, key);
    }
    let page = fixtures.text("task-page");
    let read = parse_page_key(page);
    fixtures.check("task-page", "is read differently", read, Some((job, 17)));
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
            active(spec_of(Shape::Array, Rank::BestEffort)),
        ),
        (
            "active-gang-urgent",
            active(spec_of(Shape::Gang, Rank::Urgent)),
        ),
        (
            "active-service-critical",
            active(spec_of(Shape::Service, Rank::Critical)),
        ),
        ("aborting", job(Phase::Aborting, Some(full_spec()))),
        ("done-spec-kept", job(Phase::Done, Some(bare_spec()))),
        ("done-spec-dropped", job(Phase::Done, None)),
        ("aborted-spec-kept", job(Phase::Aborted, Some(bare_spec()))),
        ("aborted-spec-dropped", job(Phase::Aborted, None)),
    ];
    for (name, record) in &cases {
        fixtures.round_trips(name, record);
        // The cache reads it, too.
        let mut jobs = Jobs::default();
        let text = fixtures.texts.get(name).copied();
        let id = "job-000412".into();
        jobs.feed("jt/job/job-000412", text, Revision(5), Millis(1));
        let kept = jobs.get(&id).map(|job| &job.record);
        let expected = Some(record).filter(|record| record.spec.is_some());
        fixtures.check(name, "is cached differently", kept, expected);
        let over = jobs.over(&id).is_some();
        fixtures.check(name, "is over", over, record.spec.is_none());
    }
    fixtures.finish();
}

#[test]
fn task_pages() {
    let mut fixtures = Fixtures::new("task-pages.txt", include_str!("fixtures/task-pages.txt"));
    let cases = [
        ("never-placed", vec![Task::FRESH; 64]),
        ("waiting", vec![waiting(7); 3]),
        ("done", vec![Task::Done; 5]),
        ("placed", vec![placed("vm-000231", "a.1", 41, 6)]),
        (
            "mixed",
            vec![
                Task::FRESH,
                Task::FRESH,
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
        fixtures.writes(name, &encode_page(&tasks));
        let read = decode_page(fixtures.text(name), tasks.len() as u32);
        fixtures.check(name, "is read differently", read, Some(tasks));
    }
    fixtures.finish();
}

#[test]
fn leases() {
    let mut fixtures = Fixtures::new("leases.txt", include_str!("fixtures/leases.txt"));
    let controller = |hears| NodeRecord {
        permit: Permit(7001),
        zone: "a".into(),
        hears,
    };
    fixtures.round_trips("controller-reached-by-workers", &controller(true));
    fixtures.round_trips("controller-not-reached", &controller(false));
    let leader = LeaderRecord {
        leader: node("n2"),
        permit: Permit(7001),
    };
    fixtures.round_trips("leader", &leader);
    let holder = BlockRecord {
        holder: node("n2"),
        permit: Permit(7002),
    };
    fixtures.round_trips("block", &holder);

    // Who watches the records sees the same.
    let mut seen = Leases::default();
    let me = node("n1");
    let feed = [
        ("jt/node/n2", "controller-reached-by-workers"),
        ("jt/lead", "leader"),
        ("jt/block/a.1", "block"),
    ];
    for (at, (key, name)) in (31..).zip(feed) {
        let text = fixtures.text(name);
        let moved = seen.feed(&me, key, Some(text), Revision(at));
        fixtures.check(name, "is news", moved.is_some(), true);
    }
    let known = seen.nodes.get(&node("n2")).cloned();
    let expected = Some((controller(true), Revision(31)));
    fixtures.check("controller-reached-by-workers", "is seen", known, expected);
    let expected = Some((node("n2"), Revision(32)));
    fixtures.check("leader", "is seen", seen.leader.clone(), expected);
    let token = seen.holds(&block("a.1"), &node("n2")).map(|token| token.0);
    fixtures.check("block", "fencing token", token, Some(33));
    fixtures.finish();
}

#[test]
fn shared_by_all() {
    let mut fixtures = Fixtures::new("shared.txt", include_str!("fixtures/shared.txt"));
    fixtures.round_trips("quota-shares-of-a-block", &share_record());
    fixtures.round_trips("no-quota-shares", &ShareRecord::new());
    fixtures.round_trips("admission-plan", &plan());
    fixtures.round_trips("no-admission-plan", &Plan::default());
    fixtures.round_trips("machine-types", &flavors());
    fixtures.round_trips("no-machine-types", &Vec::<Flavor>::new());

    let mut shares = Shares::default();
    let text = fixtures.text("quota-shares-of-a-block");
    shares.feed(block("a.1"), Some(text), Revision(3));
    let known = shares.record(&block("a.1"));
    fixtures.check("quota-shares-of-a-block", "is seen", known, share_record());
    let mut admission = shared::Shared::default();
    let text = fixtures.text("admission-plan");
    admission.feed(Some(text), Revision(3));
    fixtures.check("admission-plan", "is seen", admission.plan, plan());
    fixtures.finish();
}

/// The operator's sample, in pages of at most one kilobyte or less.
#[test]
fn quota_tree() {
    let mut fixtures = Fixtures::new("quota-tree.txt", include_str!("fixtures/quota-tree.txt"));
    let spec = TreeSpec::parse("f", include_str!("../../deploy/quota-tree.ini")).unwrap();
    let mut off = spec.clone();
    (off.revision, off.hold_s, off.enabled) = (12, 0.25, false);
    let teams = settings().deployment.teams;
    for (name, spec) in [("sample", spec), ("switched-off", off)] {
        let mut writer = Nested::new(&teams, Some(&spec), 0.5);
        let mut reader = Nested::new(&teams, None, 0.5);
        let Owed::Pages(pages) = writer.owed(10) else {
            panic!("{name}: the pages come first");
        };
        for (at, (key, text)) in pages.iter().enumerate() {
            let (key_of, page_of) = (format!("{name}-key-{at}"), format!("{name}-page-{at}"));
            fixtures.writes(&key_of, key);
            fixtures.writes(&page_of, text);
            writer.feed(key, Some(text), Revision(5));
            let (key, text) = (fixtures.text(&key_of), fixtures.text(&page_of));
            reader.feed(key, Some(text), Revision(5));
        }
        let Owed::Head(head, version) = writer.owed(10) else {
            panic!("{name}: the head follows the pages");
        };
        assert_eq!(version, Revision(0));
        let head_of = format!("{name}-head");
        fixtures.writes(&head_of, &head);
        let head = fixtures.text(&head_of);
        writer.feed(HEAD, Some(head), Revision(6));
        let in_force = writer.standing() == Standing::InForce;
        fixtures.check(name, "is the writer's own", in_force, true);
        let adopted = reader.feed(HEAD, Some(head), Revision(6));
        fixtures.check(name, "is adopted", adopted, true);
        let nodes = reader.force().map(|force| force.shares.tree().nodes.len());
        fixtures.check(name, "nodes in force", nodes, spec.enabled.then_some(6));
        let held = reader.force().map(|force| force.shares.tree().hold_ms);
        fixtures.check(name, "hold", held, spec.enabled.then_some(5_000));
    }
    fixtures.finish();
}
