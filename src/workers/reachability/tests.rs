use super::*;

const LEASE: Millis = Millis(26_000);

#[test]
fn contact_is_confirmed_by_effects_only() {
    let plain = HeartbeatObservation {
        agent_epoch: AgentEpoch(1),
        after_silence: false,
        epoch_ended_early: false,
        starts_shown: None,
    };
    let after_silence = HeartbeatObservation {
        after_silence: true,
        ..plain
    };
    let starts_shown = |shown| HeartbeatObservation {
        starts_shown: Some(shown),
        ..plain
    };
    let ended_early = HeartbeatObservation {
        agent_epoch: AgentEpoch(2),
        epoch_ended_early: true,
        ..plain
    };
    let in_epoch = |agent_epoch| HeartbeatObservation {
        agent_epoch: AgentEpoch(agent_epoch),
        ..plain
    };
    // Second; observation of a heartbeat, or `None` for a direct response; whether the contact is then
    // confirmed.
    type Step = (u64, Option<HeartbeatObservation>, bool);
    let cases: [(&str, Vec<Step>); 7] = [
        (
            "a new machine is unconfirmed until it responds to a direct request",
            vec![(1, Some(after_silence), false), (1, None, true)],
        ),
        (
            "heartbeats alone prove nothing",
            vec![
                (1, Some(after_silence), false),
                (5, Some(plain), false),
                (9, Some(plain), false),
            ],
        ),
        (
            "an agent epoch that outlives a lease confirms",
            vec![(1, Some(after_silence), false), (28, Some(plain), true)],
        ),
        (
            "a new agent epoch restarts the unconfirmed period",
            vec![
                (1, Some(after_silence), false),
                (26, Some(in_epoch(2)), false),
                (29, Some(in_epoch(2)), false),
            ],
        ),
        (
            "a start that a heartbeat shows confirms",
            vec![
                (1, Some(after_silence), false),
                (3, Some(starts_shown(true)), true),
            ],
        ),
        (
            "a single lost answer is tolerated, two in a row are not",
            vec![
                (1, None, true),
                (2, Some(starts_shown(false)), true),
                (3, Some(starts_shown(true)), true),
                (4, Some(starts_shown(false)), true),
                (5, Some(starts_shown(false)), false),
            ],
        ),
        (
            "an agent epoch that ends although it was answered is not confirmed",
            vec![
                (1, None, true),
                (20, Some(ended_early), false),
                (21, None, true),
            ],
        ),
    ];
    for (name, steps) in cases {
        let mut reachability = Reachability::default();
        for (index, (at, observation, confirmed)) in steps.into_iter().enumerate() {
            let now = Millis(at * 1_000);
            match observation {
                Some(observation) => reachability.observe_heartbeat(observation, LEASE, now),
                None => reachability.confirm(),
            }
            assert_eq!(
                reachability.is_confirmed(),
                confirmed,
                "{name}, step {index}"
            );
        }
    }
}
