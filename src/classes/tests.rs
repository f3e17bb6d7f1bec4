use super::*;
use crate::interface::Repeats;

fn class(deadline: Micros, repeats: Repeats) -> Class {
    Class { target: deadline / 2, deadline, value: 1.0, repeats, ..Class::default() }
}

fn given(classes: &[(&str, Class)], plans: &[(&str, f64)]) -> (Names, Settings) {
    let plan = |limit: f64| Plan { limit, weight: 1.0, ..Plan::default() };
    let names = Names {
        classes: classes.iter().map(|(name, _)| name.to_string()).collect(),
        plans: plans.iter().map(|(name, _)| name.to_string()).collect(),
        ..Names::default()
    };
    let settings = Settings {
        classes: classes.iter().map(|(_, class)| class.clone()).collect(),
        plans: plans.iter().map(|(_, limit)| plan(*limit)).collect(),
        ..Settings::default()
    };
    (names, settings)
}

#[test]
fn a_class_number_keeps_its_meaning_as_classes_change() {
    let (safe, keyed) = (class(1_000, Repeats::Safe), class(2_000, Repeats::Keyed));
    let (names, settings) = given(&[("read", safe.clone()), ("write", keyed.clone())], &[("gold", 0.0)]);
    let mut numbers = Numbers::new(&names, &settings, false);
    let mut meanings: Vec<(String, Class)> = Vec::new();
    for (step, classes, wanted) in [
        ("unchanged", &[("read", safe.clone()), ("write", keyed.clone())][..], &[0, 1][..]),
        ("in another order", &[("write", keyed.clone()), ("read", safe.clone())], &[1, 0]),
        ("other rules", &[("read", keyed.clone()), ("write", keyed.clone())], &[2, 1]),
        ("dropped and new", &[("read", safe.clone()), ("export", safe)], &[0, 3]),
        ("restored", &[("read", keyed.clone()), ("write", keyed.clone())], &[2, 1]),
        ("fewer", &[("write", keyed)], &[1]),
    ] {
        let (names, settings) = given(classes, &[("gold", 0.0)]);
        let (settings, directory) = numbers.adopt(&names, &settings);
        let got: Vec<usize> = classes.iter().map(|(name, _)| directory.class(name).unwrap().0).collect();
        assert_eq!(got, wanted, "{step}");
        for ((name, class), number) in classes.iter().zip(&got) {
            assert_eq!(settings.classes[*number], *class, "{step}");
            assert_eq!(numbers.names()[*number], *name, "{step}");
        }
        for (i, (name, class)) in meanings.iter().enumerate() {
            let now = Class { target: class.target, ..settings.classes[i].clone() };
            assert_eq!((&numbers.names()[i], &now), (name, class), "{step}: number {i}");
        }
        meanings = numbers.rows.iter().map(|row| (row.name.clone().unwrap(), row.class.clone())).collect();
        assert_eq!(directory.class("none"), None);
    }
    assert_eq!(numbers.rows.len(), 4, "adopting known classes adds no rows");
}

#[test]
fn only_classes_in_force_or_held_by_other_fronts_have_a_target() {
    let (fast, slow) = (class(1_000, Repeats::Safe), class(9_000, Repeats::Safe));
    for (pinned, target) in [(false, NO_TARGET), (true, 500)] {
        let (names, mut settings) = given(&[("fast", fast.clone()), ("slow", slow.clone())], &[]);
        settings.classes.push(slow.clone());
        let mut numbers = Numbers::new(&names, &settings, pinned);
        let (names, settings) = given(&[("slow", slow.clone())], &[]);
        let (settings, directory) = numbers.adopt(&names, &settings);
        assert_eq!(settings.classes.iter().map(|c| c.target).collect::<Vec<_>>(), [target, 4_500, 4_500]);
        assert_eq!(directory.class("fast"), None);
    }
}

#[test]
fn a_plan_keeps_its_number_and_takes_its_new_settings() {
    let (names, settings) = given(&[], &[("starter", 8.0), ("gold", 0.0)]);
    let mut numbers = Numbers::new(&names, &settings, false);
    let (names, settings) = given(&[], &[("gold", 0.0), ("new", 3.0), ("starter", 6.0)]);
    let (settings, directory) = numbers.adopt(&names, &settings);
    assert_eq!(["starter", "gold", "new"].map(|name| directory.plan(name)), [Some(0), Some(1), Some(2)]);
    assert_eq!(settings.plans.iter().map(|plan| plan.limit).collect::<Vec<_>>(), [6.0, 0.0, 3.0]);
    let (names, settings) = given(&[], &[("gold", 0.0)]);
    assert_eq!(numbers.adopt(&names, &settings).1.plan("starter"), None);
}
