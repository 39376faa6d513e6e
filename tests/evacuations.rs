//! The set of evacuated data centres, from the store and from other entries.

use yuccalatch::direct::{
    constraint::{
        Constraint,
        Evacuations, //
    },
    platform::{
        ObjectChange,
        ObjectChanges,
        Topic, //
    },
    platform_state::PlatformState,
};

fn apply(state: &mut PlatformState, names: &[&str], revision: u64, is_listing: bool) {
    let evacuated = |name: &&str| ObjectChange::Evacuated((*name).into());
    let changes = ObjectChanges {
        changes: names.iter().map(evacuated).collect(),
        revision,
    };
    state.apply(Topic::Evacuations, changes, is_listing, None, 0);
}

fn is_evacuated(state: &PlatformState, name: &str) -> bool {
    !Constraint::new(state).allows(Some(&name.into()))
}

/// Guards against a data centre that stays evacuated because its return was missed.
#[test]
fn a_listing_ends_evacuations_that_it_does_not_have() {
    let mut state = PlatformState::default();
    apply(&mut state, &["north", "south"], 3, true);
    apply(&mut state, &["south"], 4, false);
    assert!(is_evacuated(&state, "north") && is_evacuated(&state, "south"));
    apply(&mut state, &["south"], 9, true);
    assert!(!is_evacuated(&state, "north") && is_evacuated(&state, "south"));
}

/// Guards against an evacuation that is undone by a late answer of the store or by an
/// entry that knows less.
#[test]
fn an_older_set_does_not_replace_a_later_one() {
    let mut state = PlatformState::default();
    apply(&mut state, &[], 3, true);
    let data_centres = ["north".into()].into();
    assert!(state.adopt_evacuations(Evacuations {
        revision: 7,
        data_centres
    }));
    apply(&mut state, &[], 5, true);
    assert!(!state.adopt_evacuations(Evacuations {
        revision: 6,
        ..Evacuations::default()
    }));
    assert!(is_evacuated(&state, "north"));
    // A watch that began before the received set ends after it.
    apply(&mut state, &["south"], 8, false);
    assert!(is_evacuated(&state, "north") && is_evacuated(&state, "south"));
}
