use super::*;

#[test]
fn an_invalid_field_is_named_in_the_error() {
    let good = "[region]\ncontrollers = 2\nzones = x y\n[team t]\ngpus = 3\n";
    let config = Config::parse("f", good).unwrap();
    assert_eq!((config.controllers, config.zones.len()), (2, 2));
    assert_eq!(config.teams[0].gpus, 3.0);
    let cases = [
        ("[region]\ncontrollers = 0\n", "[region] controllers"),
        ("[region]\nzones =\n", "[region] zones"),
        ("[machines]\ncapacity = many\n", "[machines] capacity"),
        ("[machines]\nwheels = 4\n", "[machines] wheels"),
        ("[team t]\ngpus = NaN\n", "[team t] gpus"),
        ("[team t]\nbikes = 1\n", "[team t] bikes"),
    ];
    for (text, field) in cases {
        let error = Config::parse("f.ini", text).unwrap_err().to_string();
        assert!(error.starts_with(&format!("f.ini: {field}: ")), "{error}");
    }
}
