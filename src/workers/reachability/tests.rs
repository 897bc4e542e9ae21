use super::*;

const LEASE: Millis = Millis(26_000);

#[test]
fn reachability_is_proved_by_effect_only() {
    let plain = HeartbeatObservation {
        agent_epoch: AgentEpoch(1),
        after_silence: false,
        epoch_ended_early: false,
        starts_shown: None,
    };
    let unexpected = HeartbeatObservation {
        after_silence: true,
        ..plain
    };
    let obeyed = |yes| HeartbeatObservation {
        starts_shown: Some(yes),
        ..plain
    };
    let broken = HeartbeatObservation {
        agent_epoch: AgentEpoch(2),
        epoch_ended_early: true,
        ..plain
    };
    let again = |agent_epoch| HeartbeatObservation {
        agent_epoch: AgentEpoch(agent_epoch),
        ..plain
    };
    // Seconds at which a heartbeat reports an effect, `None` for a direct response; proved after each.
    type Step = (u64, Option<HeartbeatObservation>, bool);
    let cases: [(&str, Vec<Step>); 7] = [
        (
            "one that is new is asked first",
            vec![(1, Some(unexpected), false), (1, None, true)],
        ),
        (
            "reports alone prove nothing",
            vec![
                (1, Some(unexpected), false),
                (5, Some(plain), false),
                (9, Some(plain), false),
            ],
        ),
        (
            "a session that outlives a lease does",
            vec![(1, Some(unexpected), false), (28, Some(plain), true)],
        ),
        (
            "one that is over in between does not",
            vec![
                (1, Some(unexpected), false),
                (26, Some(again(2)), false),
                (29, Some(again(2)), false),
            ],
        ),
        (
            "a start that is shown does",
            vec![(1, Some(unexpected), false), (3, Some(obeyed(true)), true)],
        ),
        (
            "one lost answer is no doubt, two in a row are",
            vec![
                (1, None, true),
                (2, Some(obeyed(false)), true),
                (3, Some(obeyed(true)), true),
                (4, Some(obeyed(false)), true),
                (5, Some(obeyed(false)), false),
            ],
        ),
        (
            "a session that ends though it was answered is",
            vec![(1, None, true), (20, Some(broken), false), (21, None, true)],
        ),
    ];
    for (name, steps) in cases {
        let mut reachability = Reachability::default();
        for (index, (at, said, proved)) in steps.into_iter().enumerate() {
            let now = Millis(at * 1_000);
            match said {
                Some(said) => reachability.observe_heartbeat(said, LEASE, now),
                None => reachability.confirm(),
            }
            assert_eq!(reachability.is_confirmed(), proved, "{name}, step {index}");
        }
    }
}
