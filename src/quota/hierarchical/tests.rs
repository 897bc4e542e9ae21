use super::pages::StoredPage;
use super::*;

fn team(name: &str, gpus: f64, gpus_max: f64) -> TeamSettings {
    TeamSettings {
        name: name.into(),
        cpus: 0.0,
        cpus_max: 0.0,
        gpus,
        gpus_max,
    }
}

fn spec(revision: u64, limit: u32) -> TreeSpec {
    let text = format!(
        "[tree]\nrevision = {revision}\n[node top]\ngpus_max = {limit}\n\
         [node a]\nparent = top\nteam = a\ngpus_max = 6\n[node b]\nparent = top\nteam = b\n"
    );
    TreeSpec::parse("f", &text).unwrap()
}

fn nested(file: Option<&TreeSpec>) -> HierarchicalQuota {
    HierarchicalQuota::new(&[team("a", 2.0, 0.0), team("b", 0.0, 0.0)], file, 0.2)
}

/// A key-value store with a single client.
fn write(
    nested: &mut HierarchicalQuota,
    others: &mut [&mut HierarchicalQuota],
    revision: &mut u64,
) -> usize {
    let mut writes = 0;
    loop {
        let changes = match nested.pending_write(1) {
            PendingTreeWrite::Nothing => return writes,
            PendingTreeWrite::Pages(pages) => pages,
            PendingTreeWrite::Head(text, _) => vec![(TREE_HEAD_KEY.to_string(), text)],
        };
        for (key, text) in changes {
            *revision += 1;
            writes += 1;
            nested.apply(&key, Some(&text), Revision(*revision));
            for other in others.iter_mut() {
                other.apply(&key, Some(&text), Revision(*revision));
            }
        }
    }
}

#[test]
fn the_highest_revision_takes_effect_everywhere() {
    let (old, new, odd) = (spec(1, 8), spec(2, 12), spec(2, 99));
    let (mut holds_old, mut holds_new) = (nested(Some(&old)), nested(Some(&new)));
    let (mut holds_odd, mut has_none) = (nested(Some(&odd)), nested(None));
    let mut revision = 10;
    let first = {
        let mut others = [&mut holds_new, &mut holds_odd, &mut has_none];
        write(&mut holds_old, &mut others, &mut revision)
    };
    assert!(first > 2, "{first} writes: pages and a head");
    assert_eq!(holds_new.tree_status(), TreeStatus::Newer);
    assert_eq!(has_none.limits(&"b".into())[0].gpus_max, 8.0);
    let mut others = [&mut holds_old, &mut holds_odd, &mut has_none];
    write(&mut holds_new, &mut others, &mut revision);
    let all = [&holds_old, &holds_new, &holds_odd, &has_none];
    let standings = [
        TreeStatus::Outdated,
        TreeStatus::Active,
        TreeStatus::Conflicting,
        TreeStatus::NoFile,
    ];
    for (nested, standing) in all.into_iter().zip(standings) {
        assert_eq!(nested.tree_status(), standing);
        assert!(nested.newest_head_is_active());
        assert_eq!(nested.active_version(), Revision(revision));
        assert_eq!(nested.limits(&"b".into())[0].gpus_max, 12.0);
        assert_eq!(nested.pending_write(9), PendingTreeWrite::Nothing);
    }
    // Its pages are obsolete; those of the tree in force are not.
    assert_eq!(has_none.obsolete_pages().count(), first - 1);
}

/// Other controllers rejected pages that were read back with their keys in a different order, and placed
/// nothing any more.
#[test]
fn reformatted_pages_are_equal() {
    let file = spec(4, 8);
    let (mut writer, mut reader) = (nested(Some(&file)), nested(None));
    write(&mut writer, &mut [], &mut 10);
    for (key, StoredPage { text, version }) in writer.pages.by_key.clone() {
        let value: serde_json::Value = serde_json::from_str(&text).unwrap();
        let other = serde_json::to_string_pretty(&value).unwrap();
        assert_ne!(text, other);
        reader.apply(&key, Some(&other), version);
    }
    let head = serde_json::to_string_pretty(writer.head.as_ref().unwrap()).unwrap();
    assert!(reader.apply(TREE_HEAD_KEY, Some(&head), writer.head_version));
    assert!(reader.newest_head_is_active());
}

/// A snapshot read delivers the head before its pages. Decisions under the previous tree must not be
/// written, so they stay conditional on the version that they were made with.
#[test]
fn a_head_without_its_pages_is_not_in_force() {
    let new = spec(3, 8);
    let mut writer = nested(Some(&new));
    let mut revision = 10;
    write(&mut writer, &mut [], &mut revision);
    let mut reader = nested(None);
    let head = serde_json::to_string(writer.head.as_ref().unwrap()).unwrap();
    assert!(!reader.apply(TREE_HEAD_KEY, Some(&head), Revision(revision)));
    assert!(!reader.newest_head_is_active());
    assert_eq!(reader.active_version(), Revision(0));
    let pages: Vec<_> = writer.pages.by_key.clone().into_iter().collect();
    for (index, (key, StoredPage { text, version })) in pages.iter().enumerate() {
        let last = index == pages.len() - 1;
        assert_eq!(reader.apply(key, Some(text), *version), last);
    }
    assert_eq!(reader.active_version(), Revision(revision));
    assert_eq!(reader.limits(&"a".into()).len(), 2);
}

#[test]
fn limits_of_every_level_cap_a_team() {
    let file = spec(1, 8);
    let mut nested = nested(Some(&file));
    let flat = nested.limits(&"a".into());
    assert!(flat.is_empty(), "{flat:?}");
    write(&mut nested, &mut [], &mut 10);
    let names = |team: &str| -> Vec<String> {
        let limits = nested.limits(&team.into()).iter();
        limits
            .map(|l| format!("{} {}", l.name, l.gpus_max))
            .collect()
    };
    assert_eq!(names("a"), ["a 6", "#top 8"]);
    assert_eq!(names("b"), ["#top 8"]);
    assert_eq!(nested.all_limits().len(), 2);
    assert!(nested.share_a_limit(&"a".into(), &"b".into()));
    let off = TreeSpec::parse("f", "[tree]\nrevision = 2\nenabled = no\n").unwrap();
    nested.file = Some(PagedTree::new(&off, 8.0));
    write(&mut nested, &mut [], &mut 100);
    assert!(nested.active_tree().is_none() && nested.limits(&"b".into()).is_empty());
}
