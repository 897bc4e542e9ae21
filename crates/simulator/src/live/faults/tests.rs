use super::*;

#[test]
fn an_invalid_plan_is_rejected_naming_the_field() {
    let good = "[fault 1]\nat_s=9\nkind=kill\ntarget=n1\nfor_s=3\n\
        [fault 2]\nat_s=4\nkind=outage\nfor_s=5\n";
    let plan = parse_plan("f", good, 3).unwrap();
    assert_eq!(plan[0].fault.kind, Kind::Outage);
    let cases = [
        ("[default]\nat_s=1\n", "[default]"),
        ("[fault]\nkind=kill\ntarget=n1\n", "[fault] at_s"),
        ("[fault]\nat_s=1\n", "[fault] kind"),
        ("[fault]\nat_s=1\nkind=flood\n", "[fault] kind"),
        ("[fault]\nat_s=-1\nkind=outage\n", "[fault] at_s"),
        ("[fault]\nat_s=1\nkind=cut\ntarget=n3\n", "[fault]"),
        ("[fault]\nat_s=1\nkind=hang\n", "[fault]"),
        ("[fault]\nat_s=1\nkind=outage\nfor_s=5000\n", "[fault]"),
        ("[fault]\nwhen=1\n", "[fault] when"),
    ];
    for (text, field) in cases {
        let error = parse_plan("f.ini", text, 3).unwrap_err().to_string();
        assert!(error.starts_with(&format!("f.ini: {field}: ")), "{error}");
    }
}
