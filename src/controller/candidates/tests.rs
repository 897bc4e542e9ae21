use super::*;
use crate::controller::Controller;
use crate::controller::commits::tests::controller;
use crate::jobs::api::{parse, tests::body};
use crate::jobs::record::{JobRecord, encode_page, job_key, page_key};
use crate::jobs::{JobKind, JobSpec, Phase, Placement, PriorityClass, Task};
use crate::types::{
    AgentEpoch, Attempt, FencingToken, JobId, Resources, Revision, ShardId, WorkerToken,
};
use crate::workers::Machine;

const NOW: Millis = Millis(10_000);

fn spec(gpus: f64, priority: PriorityClass) -> JobSpec {
    let (_, mut spec) = parse(body().to_string().as_bytes()).unwrap();
    (spec.kind, spec.tasks, spec.priority) = (JobKind::Array, 4, priority);
    spec.resources = Resources {
        cpus: gpus * 10.0,
        gpus,
        memory_gb: gpus * 60.0,
    };
    (spec.one_zone, spec.spread, spec.machine_types) = (false, false, None);
    spec
}

fn machine_id(index: usize) -> MachineId {
    format!("vm-{index:05}").into()
}

/// A controller that holds all machines, some of them fully allocated to an array.
fn fleet(machines: usize, allocated: impl Fn(usize) -> bool) -> (Controller, JobId) {
    let (mut controller, id) = controller(
        spec(1.0, PriorityClass::Urgent),
        vec![Task::NEVER_PLACED; 4],
    );
    controller.machines.clear();
    controller.now = NOW;
    let shard = ShardId::parse("a.0").unwrap();
    for index in 0..machines {
        let (machine_id, zone) = (machine_id(index), "a".into());
        let mut machine = Machine::new(
            machine_id,
            "g8".into(),
            zone,
            false,
            shard.clone(),
            "n0".into(),
        );
        machine.reachability.confirm();
        (machine.last_contact, machine.last_heartbeat) = (NOW, NOW);
        machine.worker_token = WorkerToken::connected(FencingToken(5));
        machine.last_answer = Some((FencingToken(5), NOW));
        controller
            .machines
            .insert(machine.machine_id.clone(), machine);
    }
    let placed = (0..machines)
        .filter(|index| allocated(*index))
        .map(|index| {
            Task::Placed(Placement {
                machine_id: machine_id(index),
                shard: shard.clone(),
                agent_epoch: AgentEpoch(1),
                attempt: Attempt(1),
            })
        });
    let tasks: Vec<Task> = placed.collect();
    if !tasks.is_empty() {
        occupy(&mut controller, tasks);
    }
    controller.refresh_candidates();
    (controller, id)
}

fn occupy(controller: &mut Controller, tasks: Vec<Task>) {
    let mut spec = spec(8.0, PriorityClass::Normal);
    spec.tasks = tasks.len() as u32;
    let id = JobId::from("job-7");
    let record = JobRecord {
        phase: Phase::Active,
        owner: "n1".into(),
        tasks: spec.tasks,
        page_size: spec.tasks,
        spec: Some(spec),
    };
    let record = serde_json::to_string(&record).unwrap();
    controller.apply(&job_key(&id), Some(&record), Revision(20));
    let page = encode_page(&tasks);
    controller.apply(&page_key(&id, 0), Some(&page), Revision(21));
}

/// Guards against cycles that examine more machines as the fleet grows. A leader ran several such
/// cycles for each job, so its work was quadratic in the size of the cluster.
#[test]
fn the_work_of_a_cycle_does_not_grow_with_the_fleet() {
    struct Case {
        name: &'static str,
        allocated: fn(usize) -> bool,
        /// Maximum number of machines that a cycle, or a preemption, may examine.
        max_examined: u64,
        step: fn(&mut Controller, &JobId),
    }
    let choose: fn(&mut Controller, &JobId) = |controller, id| {
        let _ = controller.choose_machine(id, MachineQuery::within(MachineScope::All));
    };
    let cached: fn(&mut Controller, &JobId) = |controller, id| {
        controller.has_cached_capacity(id, MachineScope::All);
    };
    let cases = [
        Case {
            name: "an empty fleet",
            allocated: |_| false,
            max_examined: 16,
            step: choose,
        },
        Case {
            name: "a job that avoids empty machines",
            allocated: |_| false,
            max_examined: 128,
            step: |controller, id| {
                let job = controller.jobs.get_mut(id).unwrap();
                (job.spec.priority, job.first_seen) = (PriorityClass::BestEffort, NOW);
                controller.scheduler.candidates.spare_empty_machines = false;
                let _ = controller.choose_machine(id, MachineQuery::within(MachineScope::All));
            },
        },
        Case {
            name: "a full fleet",
            allocated: |_| true,
            max_examined: 0,
            step: choose,
        },
        Case {
            name: "one machine free",
            allocated: |index| index != 50,
            max_examined: 2,
            step: choose,
        },
        Case {
            name: "an image that no machine has",
            allocated: |_| false,
            max_examined: 0,
            step: cached,
        },
        Case {
            name: "preemption in a full fleet",
            allocated: |_| true,
            // Each site is counted twice: when it is examined and when it is scored.
            max_examined: 2 * 64,
            step: |controller, id| {
                let scope = super::super::preemption::PreemptionScope::Anywhere;
                assert!(controller.preempt(id, scope));
            },
        },
        Case {
            name: "nothing to preempt in a full fleet",
            allocated: |_| true,
            max_examined: 2_048,
            step: |controller, id| {
                controller.jobs.get_mut(id).unwrap().spec.priority = PriorityClass::BestEffort;
                let scope = super::super::preemption::PreemptionScope::Anywhere;
                assert!(!controller.preempt(id, scope));
            },
        },
    ];
    for case in cases {
        for machines in [100, 1_000, 10_000] {
            let (mut controller, id) = fleet(machines, case.allocated);
            let before =
                controller.work_counters.candidates.get() + controller.work_counters.sites.get();
            (case.step)(&mut controller, &id);
            let examined = controller.work_counters.candidates.get()
                + controller.work_counters.sites.get()
                - before;
            let name = case.name;
            assert!(
                examined <= case.max_examined,
                "{name}, {machines}: {examined}"
            );
        }
    }
}

/// The index follows placements, releases, newly cached images, and machines that become
/// unschedulable.
#[test]
fn the_index_equals_a_recount() {
    type Step = (&'static str, fn(&mut Controller));
    let steps: [Step; 5] = [
        ("nothing", |_| {}),
        ("a task is placed", |controller| {
            let placed = Task::Placed(Placement {
                machine_id: machine_id(3),
                shard: ShardId::parse("a.0").unwrap(),
                agent_epoch: AgentEpoch(1),
                attempt: Attempt(1),
            });
            occupy(controller, vec![placed]);
        }),
        ("an image is cached", |controller| {
            let machine = controller.machines.get_mut(&machine_id(4)).unwrap();
            machine.record_image_use(&"img-1".into(), 1.0, 100.0, NOW);
            controller
                .scheduler
                .candidates
                .changed_machines
                .push(machine_id(4));
        }),
        ("a machine falls silent", |controller| {
            controller.now = NOW + Millis(500);
            controller
                .machines
                .get_mut(&machine_id(5))
                .unwrap()
                .last_contact = Millis(0);
            controller.now = NOW + controller.heartbeat_timeout();
        }),
        ("a machine is removed", |controller| {
            controller.machines.remove(&machine_id(6));
            controller.now = NOW + Millis(1_000);
        }),
    ];
    for (name, step) in steps {
        let (mut controller, _) = fleet(12, |index| index % 4 == 0);
        step(&mut controller);
        assert_eq!(
            controller.index_differences(),
            Vec::<String>::new(),
            "{name}"
        );
    }
}

/// The next sweep adds a machine that is missing from the index.
#[test]
fn a_sweep_corrects_the_index() {
    let (mut controller, _) = fleet(12, |_| false);
    controller.scheduler.candidates.index.remove(&machine_id(2));
    controller.now = NOW + Millis(1_000);
    assert_eq!(controller.index_differences(), Vec::<String>::new());
}
