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

fn quota_with(file: Option<&TreeSpec>) -> HierarchicalQuota {
    HierarchicalQuota::new(&[team("a", 2.0, 0.0), team("b", 0.0, 0.0)], file, 0.2)
}

/// Writes the tree file of one controller until nothing is pending, and delivers each write to all
/// controllers. Returns the number of writes.
fn publish(
    writer: &mut HierarchicalQuota,
    others: &mut [&mut HierarchicalQuota],
    revision: &mut u64,
) -> usize {
    let mut writes = 0;
    loop {
        let changes = match writer.pending_write(1) {
            PendingTreeWrite::Nothing => return writes,
            PendingTreeWrite::Pages(pages) => pages,
            PendingTreeWrite::Head(text, _) => vec![(TREE_HEAD_KEY.to_string(), text)],
        };
        for (key, text) in changes {
            *revision += 1;
            writes += 1;
            writer.apply(&key, Some(&text), Revision(*revision));
            for other in others.iter_mut() {
                other.apply(&key, Some(&text), Revision(*revision));
            }
        }
    }
}

#[test]
fn all_controllers_activate_the_tree_with_the_highest_revision() {
    let (old, new, conflicting) = (spec(1, 8), spec(2, 12), spec(2, 99));
    let (mut with_old, mut with_new) = (quota_with(Some(&old)), quota_with(Some(&new)));
    let (mut with_conflicting, mut without_file) =
        (quota_with(Some(&conflicting)), quota_with(None));
    let mut revision = 10;
    let first = {
        let mut others = [&mut with_new, &mut with_conflicting, &mut without_file];
        publish(&mut with_old, &mut others, &mut revision)
    };
    assert!(first > 2, "{first} writes: pages and a head");
    assert_eq!(with_new.tree_status(), TreeStatus::Newer);
    assert_eq!(without_file.limits(&"b".into())[0].gpus_max, 8.0);
    let mut others = [&mut with_old, &mut with_conflicting, &mut without_file];
    publish(&mut with_new, &mut others, &mut revision);
    let all = [&with_old, &with_new, &with_conflicting, &without_file];
    let statuses = [
        TreeStatus::Outdated,
        TreeStatus::Active,
        TreeStatus::Conflicting,
        TreeStatus::NoFile,
    ];
    for (quota, status) in all.into_iter().zip(statuses) {
        assert_eq!(quota.tree_status(), status);
        assert!(quota.newest_head_is_active());
        assert_eq!(quota.active_version(), Revision(revision));
        assert_eq!(quota.limits(&"b".into())[0].gpus_max, 12.0);
        assert_eq!(quota.pending_write(9), PendingTreeWrite::Nothing);
    }
    // The pages of the old tree are obsolete; those of the active tree are not.
    assert_eq!(without_file.obsolete_pages().count(), first - 1);
}

/// The store may return JSON with a different key order. A hash of the pages' text then did not
/// match, so other controllers rejected the tree and placed no more tasks.
#[test]
fn reformatted_records_are_accepted() {
    let file = spec(4, 8);
    let (mut writer, mut reader) = (quota_with(Some(&file)), quota_with(None));
    publish(&mut writer, &mut [], &mut 10);
    for (key, StoredPage { text, version }) in writer.pages.by_key.clone() {
        let value: serde_json::Value = serde_json::from_str(&text).unwrap();
        let reformatted = serde_json::to_string_pretty(&value).unwrap();
        assert_ne!(text, reformatted);
        reader.apply(&key, Some(&reformatted), version);
    }
    let head = serde_json::to_string_pretty(writer.head.as_ref().unwrap()).unwrap();
    assert!(reader.apply(TREE_HEAD_KEY, Some(&head), writer.head_version));
    assert!(reader.newest_head_is_active());
}

/// A snapshot read delivers the head before its pages. Decisions under the previous tree must not be
/// written, so the active version, which they are conditioned on, stays that of the previous tree.
#[test]
fn a_head_is_not_activated_before_its_pages() {
    let new = spec(3, 8);
    let mut writer = quota_with(Some(&new));
    let mut revision = 10;
    publish(&mut writer, &mut [], &mut revision);
    let mut reader = quota_with(None);
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
fn the_limits_of_all_levels_apply_to_a_team() {
    let file = spec(1, 8);
    let mut quota = quota_with(Some(&file));
    let flat = quota.limits(&"a".into());
    assert!(flat.is_empty(), "{flat:?}");
    publish(&mut quota, &mut [], &mut 10);
    let names = |team: &str| -> Vec<String> {
        let limits = quota.limits(&team.into()).iter();
        limits
            .map(|limit| format!("{} {}", limit.name, limit.gpus_max))
            .collect()
    };
    assert_eq!(names("a"), ["a 6", "#top 8"]);
    assert_eq!(names("b"), ["#top 8"]);
    assert_eq!(quota.all_limits().len(), 2);
    assert!(quota.share_a_limit(&"a".into(), &"b".into()));
    let disabled = TreeSpec::parse("f", "[tree]\nrevision = 2\nenabled = no\n").unwrap();
    quota.file = Some(PagedTree::new(&disabled, 8.0));
    publish(&mut quota, &mut [], &mut 100);
    assert!(quota.active_tree().is_none() && quota.limits(&"b".into()).is_empty());
}
