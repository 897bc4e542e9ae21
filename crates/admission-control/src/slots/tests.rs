use super::*;

#[test]
fn known_names_get_their_own_slots_and_unknown_names_are_bounded() {
    let names = ["b", "a", "b", "c"].map(String::from);
    let slots = Slots::new(names);
    let known: Vec<Slot> = ["a", "b", "c"].map(|name| slots.of(name)).to_vec();
    assert_eq!(known, [0, 1, 2]);
    assert_eq!((slots.name(1), slots.name(3)), (Some("b"), None));
    let unknown: std::collections::BTreeSet<Slot> =
        (0..10_000).map(|n| slots.of(&format!("x{n}"))).collect();
    assert!(unknown.len() <= usize::from(UNKNOWN_SLOTS) && unknown.iter().all(|slot| *slot > 2));
}
