//! Guards against schedules that are parsed wrongly, and against changes that make the configuration text
//! invalid or edit the wrong entry.

use limpet_bench::{
    example::{
        ExampleFleet,
        ExampleUser,
        render_config, //
    },
    load::{
        ScheduledChange,
        edit_config_text,
        parse_schedule, //
    },
};
use limpet_config::Config;
use limpet_fakes::target::Fault;

#[test]
fn parses_every_kind_of_change() {
    let steps = parse_schedule(
        r#"[{"at_s": 1, "change": {"zone_out": {"zone": "zone-b"}}},
            {"at_s": 1, "change": {"zone_in": {"zone": "zone-b"}}},
            {"at_s": 2.5, "change": {"revoke_keys": {"team": "web"}}},
            {"at_s": 3, "change": {"fault": {"targets": ["a", "b"], "fault": "turn_cold"}}},
            {"at_s": 4, "change": {"fault": {"targets": ["a"], "fault": {"shed": 7}}}}]"#,
    )
    .unwrap();
    let zone = Box::<str>::from("zone-b");
    assert_eq!(
        steps[0].change,
        ScheduledChange::ZoneOut { zone: zone.clone() }
    );
    assert_eq!(steps[1].change, ScheduledChange::ZoneIn { zone });
    assert_eq!(steps[2].at_s, 2.5);
    assert_eq!(
        steps[2].change,
        ScheduledChange::RevokeKeys { team: "web".into() }
    );
    let turn_cold = ScheduledChange::Fault {
        targets: vec!["a".into(), "b".into()],
        fault: Fault::TurnCold,
    };
    assert_eq!(steps[3].change, turn_cold);
    assert!(matches!(
        &steps[4].change,
        ScheduledChange::Fault {
            fault: Fault::Shed(7),
            ..
        }
    ));
}

limpet_testkit::cases! {
    invalid_schedules_are_rejected:
    not_a_list => r#"{"at_s": 1}"#,
    unknown_change => r#"[{"at_s": 1, "change": {"zone_off": {"zone": "a"}}}]"#,
    unknown_fault => r#"[{"at_s": 1, "change": {"fault": {"targets": ["a"], "fault": "burn"}}}]"#,
    unknown_field => r#"[{"at_s": 1, "change": {"zone_in": {"zone": "a", "x": 1}}}]"#,
    no_time => r#"[{"change": {"zone_in": {"zone": "a"}}}]"#,
    negative_time => r#"[{"at_s": -1, "change": {"zone_in": {"zone": "a"}}}]"#,
    times_out_of_order => r#"[{"at_s": 2, "change": {"zone_in": {"zone": "a"}}},
        {"at_s": 1, "change": {"zone_in": {"zone": "a"}}}]"#,
}

fn invalid_schedules_are_rejected(text: &str) {
    assert!(parse_schedule(text).is_err());
}

fn authority_text() -> String {
    render_config(&ExampleFleet::for_user(ExampleUser::Authority), 9_000)
}

#[test]
fn zone_in_reverts_zone_out() {
    let text = authority_text();
    let zone = Box::<str>::from("zone-b");
    let edited = edit_config_text(&text, &ScheduledChange::ZoneOut { zone: zone.clone() });
    let text_without_zone = edited.unwrap().unwrap();
    let config = Config::parse(&text_without_zone).unwrap();
    let is_disabled = |zone: &str| config.is_zone_disabled(zone);
    assert!(is_disabled("zone-b") && !is_disabled("zone-a") && !is_disabled("zone-c"));
    let restored = edit_config_text(&text_without_zone, &ScheduledChange::ZoneIn { zone });
    assert_eq!(restored.unwrap().unwrap(), text);
}

#[test]
fn only_the_named_team_loses_its_keys() {
    let team = Box::<str>::from("trade");
    let edited = edit_config_text(&authority_text(), &ScheduledChange::RevokeKeys { team });
    let config = Config::parse(&edited.unwrap().unwrap()).unwrap();
    for team in &config.teams {
        assert_eq!(team.key_digests.is_empty(), &*team.name == "trade");
    }
}

limpet_testkit::cases! {
    changes_of_unknown_names_are_rejected:
    zone => ScheduledChange::ZoneOut { zone: "zone-x".into() },
    team => ScheduledChange::RevokeKeys { team: "nobody".into() },
    // Only entries of the table of teams count: the name of a zone must not match as a team.
    zone_as_team => ScheduledChange::RevokeKeys { team: "zone-a".into() },
}

fn changes_of_unknown_names_are_rejected(change: ScheduledChange) {
    assert!(edit_config_text(&authority_text(), &change).is_err());
}
