//! Regions in which the requests of a route or an organisation may run.

use std::collections::BTreeMap;

use yuccalatch::{
    direct::{
        constraint::{
            Constraint,
            Evacuations, //
        },
        platform_state::PlatformState,
    },
    names::Name,
    settings::{
        DirectEntrySettings,
        default_text,
        parse, //
    },
};

fn regions() -> BTreeMap<Name, Name> {
    [("north", "eu"), ("south", "eu"), ("west", "us")]
        .map(|(data_centre, region)| (data_centre.into(), region.into()))
        .into()
}

/// Returns the data centres that requests with two lists of regions may reach.
fn allowed(state: &PlatformState, route: &[&str], organisation: &[&str]) -> Vec<&'static str> {
    let names = |list: &[&str]| -> Vec<Name> { list.iter().map(|name| (*name).into()).collect() };
    let (regions, route, organisation) = (regions(), names(route), names(organisation));
    let constraint = Constraint::new(state).within(&regions, [&route, &organisation]);
    ["north", "south", "west", "unlisted"]
        .into_iter()
        .filter(|name| constraint.allows(Some(&(*name).into())))
        .collect()
}

/// Guards against requests that leave their regions: one list only, both, lists without a
/// common region, and a region in which everything is evacuated.
#[test]
fn all_rules_apply_together() {
    let mut state = PlatformState::default();
    assert_eq!(allowed(&state, &[], &[]).len(), 4);
    assert_eq!(allowed(&state, &["eu"], &[]), ["north", "south"]);
    assert_eq!(allowed(&state, &["eu", "us"], &["us"]), ["west"]);
    assert!(allowed(&state, &["eu"], &["us"]).is_empty());
    state.adopt_evacuations(Evacuations {
        revision: 1,
        data_centres: ["north".into(), "south".into()].into(),
    });
    assert!(allowed(&state, &[], &["eu"]).is_empty());
    assert_eq!(allowed(&state, &[], &[]), ["west", "unlisted"]);
}

/// Guards against settings that are refused on deployments without regions or bounds.
#[test]
fn regions_and_bounds_may_be_absent() {
    let text =
        default_text::<DirectEntrySettings>().replace("\"regions\": {}", "\"regions\": null");
    let text = text
        .replace("\"cold_over\": 1.5,", "")
        .replace("\"cold_slack\": 5,", "");
    let settings: DirectEntrySettings = parse("s.json", &text).unwrap();
    assert!(settings.regions.is_empty());
    assert_eq!(
        (settings.cold_over_permille, settings.cold_slack),
        (1_500, 5)
    );
}
