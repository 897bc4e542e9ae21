use serde_json::json;

use super::*;
use crate::controller::commits::tests::controller;
use crate::jobs::api::{parse, tests::body};
use crate::jobs::{Placement, Task};
use crate::types::{Baton, Revision, Session};

/// A machine came back at once and said so in its answer to direct commands. Its last answered
/// report was of the agent epoch before, so its lease was taken for over while its tasks ran, and
/// they were started elsewhere.
#[test]
fn a_session_that_a_direct_answer_shows_has_its_whole_lease() {
    let (_, mut spec) = parse(body().to_string().as_bytes()).unwrap();
    (spec.shape, spec.tasks) = (Shape::Array, 1);
    let here = Task::Placed(Placement {
        host: "vm-a".into(),
        block: BlockId::parse("a.0").unwrap(),
        session: Session(2),
        attempt: Attempt(1),
    });
    let (mut controller, id) = controller(spec, vec![here]);
    let lease = Millis::from_secs(controller.settings.deployment.workers.lease_s);
    let host = HostId::from("vm-a");
    let machine = controller.machines.get_mut(&host).unwrap();
    machine.baton = Baton::of(Token(5));
    machine.answered = Some((Token(5), Millis(1_000)));
    let report = json!({"host": "vm-a", "address": "", "rig": "g8", "yard": "a",
        "loaners": false, "shift": 2, "tally": 9, "baton": Baton::of(Token(5)),
        "picks": [{"pick": format!("{id}/0"), "try": 1, "stage": "running"}]});
    controller.now = lease;
    let report = Some(serde_json::from_value(report).unwrap());
    controller.on_direct(&host, Some(DirectAnswer { report }));
    let released = |c: &Controller| !c.jobs.get(&id).unwrap().changes.is_empty();
    for (after_s, gone) in [(5.0, false), (40.0, true)] {
        controller.now = lease + Millis::from_secs(after_s);
        controller.notice_silence();
        assert_eq!(released(&controller), gone, "{after_s} s after");
    }
}

/// A new holder's answer to a heartbeat was lost, so the worker went on with the holder before, and
/// was renewed there until it was shown the new token directly. Then it fell silent. Its lease was
/// taken for over by the answer that it had never heard, while its tasks ran for ten seconds more.
#[test]
fn silence_counts_from_when_the_worker_was_known_to_have_seen_our_token() {
    type Heard = Option<u64>;
    let cases: [(Heard, u64, Heard, f64, bool); 5] = [
        // report that we answered, the worker showed our token, next answered report; s after
        // its showing; gone
        (Some(1), 16, None, 20.0, false),
        (Some(1), 16, None, 40.0, true),
        (Some(15), 16, Some(30), 36.0, false),
        (Some(15), 16, Some(30), 60.0, true),
        (None, 16, None, 40.0, true),
    ];
    for (before, shown, after, then_s, gone) in cases {
        let (_, mut spec) = parse(body().to_string().as_bytes()).unwrap();
        (spec.shape, spec.tasks) = (Shape::Array, 1);
        let here = Task::Placed(Placement {
            host: "vm-2".into(),
            block: BlockId::parse("a.0").unwrap(),
            session: Session(1),
            attempt: Attempt(1),
        });
        let (mut controller, id) = controller(spec, vec![here]);
        let lease_s = controller.settings.deployment.workers.lease_s;
        assert!(
            (21.0..27.0).contains(&lease_s),
            "the cases are for {lease_s}"
        );
        let (host, rig, zone) = (HostId::from("vm-2"), "g8".into(), "a".into());
        let block = BlockId::parse("a.0").unwrap();
        let machine = Machine::new(host.clone(), rig, zone, false, block, "n0".into());
        controller.machines.insert(host.clone(), machine);
        let report = |tally: u64, seen: Token| {
            let report = json!({"host": "vm-2", "address": "10.0.0.9:1", "rig": "g8", "yard": "a",
                "loaners": false, "shift": 1, "tally": tally, "baton": Baton::of(seen),
                "picks": [{"pick": format!("{id}/0"), "try": 1, "stage": "running"}]});
            serde_json::from_value::<Report>(report).unwrap()
        };
        if let Some(before) = before {
            controller.now = Millis(before * 1_000);
            controller.answer_report(report(1, Token(4)));
        }
        controller.now = Millis(shown * 1_000);
        let report_of_answer = Some(report(2, Token(5)));
        let answer = DirectAnswer {
            report: report_of_answer,
        };
        controller.on_direct(&host, Some(answer));
        if let Some(after) = after {
            controller.now = Millis(after * 1_000);
            controller.answer_report(report(3, Token(5)));
        }
        controller.now = Millis(shown * 1_000) + Millis::from_secs(then_s);
        controller.notice_silence();
        let released = !controller.jobs.get(&id).unwrap().changes.is_empty();
        assert_eq!(
            released, gone,
            "{before:?}, {shown}, {after:?}, {then_s} s later"
        );
    }
}

/// A copy of a heartbeat came after its machine was deleted. It was taken for the machine, tasks were
/// placed there, and nobody ever saw them leave.
#[test]
fn a_machine_that_is_met_by_a_report_gets_work_once_it_has_answered() {
    let (_, spec) = parse(body().to_string().as_bytes()).unwrap();
    let (mut controller, _) = controller(spec, vec![Task::FRESH]);
    controller.now = Millis(20_000);
    let report = |tally| {
        let report = json!({"host": "vm-2", "address": "10.0.0.9:1", "rig": "g8", "yard": "a",
            "loaners": false, "shift": 1, "tally": tally, "baton": Baton::of(Token(5)),
            "picks": []});
        serde_json::from_value::<Report>(report).unwrap()
    };
    let host = HostId::from("vm-2");
    let fit = |c: &Controller| c.ours(&c.machines[&host]);
    for tally in [4, 5] {
        controller.effects.clear();
        controller.answer_report(report(tally));
        assert!(!fit(&controller), "after report {tally}");
    }
    let asked = |c: &Controller| c.machines[&host].direct.busy;
    assert!(asked(&controller), "it is asked");
    let answer = Some(report(6));
    controller.on_direct(&host, Some(DirectAnswer { report: answer }));
    assert!(fit(&controller), "it answered");
}

/// No worker reached any controller for a while: each gave its shards up to the others, took some, heard nobody
/// and gave them up again, every few seconds.
#[test]
fn blocks_are_not_passed_round_while_nobody_hears_workers() {
    let cases = [
        // a peer's word: none, it hears nobody, it hears workers; give-ups before; given up, then asks after ms
        (None, 0, Some(2_000)),
        (Some(false), 0, None),
        (Some(true), 0, Some(2_000)),
        (Some(true), 1, Some(12_000)),
        (Some(true), 2, Some(22_000)),
        (Some(true), 9, Some(82_000)),
    ];
    for (peer_hears, before, expected) in cases {
        let (_, spec) = parse(body().to_string().as_bytes()).unwrap();
        let (mut controller, _) = controller(spec, vec![Task::FRESH]);
        controller.now = Millis(100_000);
        (controller.hears, controller.gave_up_deaf) = (true, before);
        controller.last_report = controller.now - Millis(controller.silence().0 + 2_001);
        for machine in controller.machines.values_mut() {
            machine.answered = Some((Token(5), Millis(1)));
            (machine.heard, machine.address) = (controller.last_report, "10.0.0.9:1".parse().ok());
        }
        controller.moved.clear();
        for member in controller.settings.members.clone() {
            let said = peer_hears.map(|hears| PeerState {
                heard: controller.now,
                revision: Revision(1),
                without_store: Millis(0),
                hears,
            });
            controller
                .peers
                .extend(said.map(|said| (member.label, said)));
        }
        controller.keep_hearing();
        let case = format!("{peer_hears:?}, {before}");
        assert_eq!(controller.hears, expected.is_none(), "{case}");
        let Some(expected) = expected else { continue };
        let from = controller.now;
        for (after, asks) in [(expected - 1, false), (expected, true)] {
            controller.effects.clear();
            controller.now = from + Millis(after);
            controller.keep_hearing();
            let asked = |effect: &Effect| matches!(effect, Effect::Inspect { .. });
            assert_eq!(
                controller.effects.iter().any(asked),
                asks,
                "{case}, {after}"
            );
        }
    }
}
