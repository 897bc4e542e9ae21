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
        let applied = settings.apply_ini("scale.ini", text);
        let checked = applied.and_then(|()| settings.check("scale.ini"));
        let error = checked.expect_err(text).to_string();
        assert!(error.starts_with("scale.ini: "), "{error}");
        assert!(error.contains(key), "{error}");
        assert!(error.contains(reason), "{error}");
    }
}

#[test]
fn a_fraction_of_the_target_can_be_simulated() {
    for fraction in [0.1, 0.25, 0.5, 1.0] {
        let settings = ScaleSettings::fraction_of_target(fraction);
        assert!(settings.check("target").is_ok(), "{fraction}: {settings:?}");
        let config = settings.config();
        assert_eq!(config.capacity as u64, settings.machines);
    }
    assert!(ScaleSettings::default().check("default").is_ok());
}
