use super::*;

#[test]
fn an_unsupported_file_is_rejected_with_key_and_reason() {
    let cases = [
        ("[scale]\nmachines = 0", "machines", "between 1"),
        ("[scale]\nmachines = many", "machines", "whole number"),
        ("[scale]\ncontrollers = 100", "controllers", "between 1"),
        ("[scale]\nrooms = 3", "rooms", "unknown key"),
        ("[size]\nmachines = 3", "machines", "unknown key"),
        ("[scale]\ntasks = 100000", "tasks", "room for"),
        ("[scale]\ngang = 50", "gang", "one zone"),
    ];
    for (text, key, reason) in cases {
        let mut settings = ScaleSettings::default();
        let taken = settings.apply_ini("scale.ini", text);
        let refused = taken.and_then(|()| settings.check("scale.ini"));
        let refused = refused.expect_err(text).to_string();
        assert!(refused.starts_with("scale.ini: "), "{refused}");
        assert!(refused.contains(key), "{refused}");
        assert!(refused.contains(reason), "{refused}");
    }
}

#[test]
fn a_fraction_of_the_target_can_be_simulated() {
    for part in [0.1, 0.25, 0.5, 1.0] {
        let settings = ScaleSettings::part_of_target(part);
        assert!(settings.check("target").is_ok(), "{part}: {settings:?}");
        let config = settings.config();
        assert_eq!(config.capacity as u64, settings.machines);
    }
    assert!(ScaleSettings::default().check("default").is_ok());
}
