use super::*;
use crate::types::{Attempt, TaskId, Token};

fn errand(name: &str, orders: bool) -> Errand {
    let task = TaskId::parse("job-1/0").unwrap();
    let attempt = Attempt(1);
    let order = Order::Start { task, attempt };
    Errand {
        host: name.into(),
        address: ([127, 0, 0, 1], 9).into(),
        what: What::Orders {
            baton: Baton::of(Token(1)),
            session: Session(1),
            orders: if orders { vec![order] } else { Vec::new() },
        },
    }
}

/// A shard that changed hands had its token shown to hundreds of machines at once, most of them
/// behind a cut: each took a socket for seconds, and starts waited for them.
#[test]
fn shows_of_a_token_take_half_of_the_turns_and_late_orders_none() {
    let mut turns = Turns::new(4);
    for index in 0..5 {
        turns.push(errand(&format!("s{index}"), false), Millis(0));
    }
    let leave = |turns: &mut Turns, at: u64| -> Vec<(String, bool)> {
        let next = std::iter::from_fn(|| turns.next(Millis(at)));
        next.map(|(errand, late)| (errand.host.to_string(), late))
            .collect()
    };
    let named = |names: &[(&str, bool)]| -> Vec<(String, bool)> {
        names
            .iter()
            .map(|(name, late)| (name.to_string(), *late))
            .collect()
    };
    assert_eq!(leave(&mut turns, 0), named(&[("s0", false), ("s1", false)]));
    for index in 0..3 {
        turns.push(errand(&format!("o{index}"), true), Millis(10));
    }
    assert_eq!(
        leave(&mut turns, 10),
        named(&[("o0", false), ("o1", false)])
    );
    turns.done(true);
    assert_eq!(leave(&mut turns, 20), named(&[("o2", false)]));
    turns.push(errand("o3", true), Millis(30));
    assert_eq!(leave(&mut turns, 2_030), named(&[]));
    assert_eq!(leave(&mut turns, 2_031), named(&[("o3", true)]));
    turns.done(false);
    assert_eq!(leave(&mut turns, 2_032), named(&[("s2", false)]));
}
