//! Guards against schedules that are misread and against edits that make an invalid text.

use limpet_bench::{
    example::{
        ExampleShape,
        ExampleUser,
        render, //
    },
    load::{
        Change,
        edit_text,
        parse_schedule, //
    },
};
use limpet_config::Config;
use limpet_fakes::target::Fault;

#[test]
fn every_kind_of_step_is_read() {
    let steps = parse_schedule(
        r#"[{"at_s": 1, "change": {"zone_out": {"zone": "zone-b"}}},
            {"at_s": 1, "change": {"zone_in": {"zone": "zone-b"}}},
            {"at_s": 2.5, "change": {"revoke_keys": {"team": "web"}}},
            {"at_s": 3, "change": {"fault": {"targets": ["a", "b"], "fault": "turn_cold"}}},
            {"at_s": 4, "change": {"fault": {"targets": ["a"], "fault": {"shed": 7}}}}]"#,
    )
    .unwrap();
    let zone = Box::<str>::from("zone-b");
    assert_eq!(steps[0].change, Change::ZoneOut { zone: zone.clone() });
    assert_eq!(steps[1].change, Change::ZoneIn { zone });
    assert_eq!(steps[2].at_s, 2.5);
    assert_eq!(steps[2].change, Change::RevokeKeys { team: "web".into() });
    let cold = Change::Fault {
        targets: vec!["a".into(), "b".into()],
        fault: Fault::TurnCold,
    };
    assert_eq!(steps[3].change, cold);
    assert!(matches!(
        &steps[4].change,
        Change::Fault {
            fault: Fault::Shed(7),
            ..
        }
    ));
}

limpet_testkit::cases! {
    a_wrong_schedule_is_refused:
    no_list => r#"{"at_s": 1}"#,
    unknown_change => r#"[{"at_s": 1, "change": {"zone_off": {"zone": "a"}}}]"#,
    unknown_fault => r#"[{"at_s": 1, "change": {"fault": {"targets": ["a"], "fault": "burn"}}}]"#,
    unknown_field => r#"[{"at_s": 1, "change": {"zone_in": {"zone": "a", "x": 1}}}]"#,
    no_time => r#"[{"change": {"zone_in": {"zone": "a"}}}]"#,
    negative_time => r#"[{"at_s": -1, "change": {"zone_in": {"zone": "a"}}}]"#,
    times_out_of_order => r#"[{"at_s": 2, "change": {"zone_in": {"zone": "a"}}},
        {"at_s": 1, "change": {"zone_in": {"zone": "a"}}}]"#,
}

fn a_wrong_schedule_is_refused(text: &str) {
    assert!(parse_schedule(text).is_err());
}

fn authority() -> String {
    render(&ExampleShape::of_user(ExampleUser::Authority), 9_000)
}

#[test]
fn a_zone_goes_out_and_comes_back() {
    let text = authority();
    let zone = Box::<str>::from("zone-b");
    let out = edit_text(&text, &Change::ZoneOut { zone: zone.clone() });
    let out = out.unwrap().unwrap();
    let config = Config::parse(&out).unwrap();
    let is_out = |zone: &str| config.is_zone_disabled(zone);
    assert!(is_out("zone-b") && !is_out("zone-a") && !is_out("zone-c"));
    let back = edit_text(&out, &Change::ZoneIn { zone });
    assert_eq!(back.unwrap().unwrap(), text);
}

#[test]
fn only_the_team_named_loses_its_keys() {
    let team = Box::<str>::from("trade");
    let edited = edit_text(&authority(), &Change::RevokeKeys { team });
    let config = Config::parse(&edited.unwrap().unwrap()).unwrap();
    for team in &config.teams {
        assert_eq!(team.key_digests.is_empty(), &*team.name == "trade");
    }
}

limpet_testkit::cases! {
    an_edit_of_something_unknown_is_refused:
    zone => Change::ZoneOut { zone: "zone-x".into() },
    team => Change::RevokeKeys { team: "nobody".into() },
    // Teams and zones are different tables; a zone must not be taken for a team.
    zone_as_team => Change::RevokeKeys { team: "zone-a".into() },
}

fn an_edit_of_something_unknown_is_refused(change: Change) {
    assert!(edit_text(&authority(), &change).is_err());
}
