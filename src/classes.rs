//! Numbers for classes and plans that never change their meaning. A class number stands for a name with its rules
//! (deadline, aim, worth, repeats) for as long as the program runs, so that whatever is open keeps the rules that it
//! came under. Decides numbers; knows neither files nor requests.

use crate::config::Names;
use crate::interface::{Class, Micros, Plan, Settings};
use std::time::Duration;

/// A class that clients can name no more has no aim that others would be measured by.
const NO_AIM: Micros = Micros::MAX / 2;

/// What a front looks names up in: those that are in force now.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Directory {
    classes: Vec<(String, usize, Duration)>,
    plans: Vec<(String, usize)>,
}

impl Directory {
    /// The class's number, and how long its clients wait at most.
    pub fn class(&self, name: &str) -> Option<(usize, Duration)> {
        self.classes.iter().find(|(known, ..)| known == name).map(|(_, number, wait)| (*number, *wait))
    }

    pub fn plan(&self, name: &str) -> Option<usize> {
        self.plans.iter().find(|(known, _)| known == name).map(|(_, number)| *number)
    }
}

#[derive(Clone, Debug)]
struct Row {
    /// `None`: a class that another front added of its own.
    name: Option<String>,
    class: Class,
    in_force: bool,
}

/// All that had a number so far. Grows with each set of rules that was not there before, and with nothing else.
#[derive(Debug)]
pub struct Numbers {
    rows: Vec<Row>,
    plans: Vec<(String, Plan)>,
    /// So many first numbers are held by other fronts: their classes stay in force.
    pinned: usize,
}

impl Numbers {
    /// The numbers as the settings of the start count them. `pinned`: other fronts hold some of them.
    pub fn new(names: &Names, settings: &Settings, pinned: bool) -> Numbers {
        let row = |(i, class): (usize, &Class)| Row {
            name: names.classes.get(i).cloned(),
            class: class.clone(),
            in_force: true,
        };
        let rows: Vec<Row> = settings.classes.iter().enumerate().map(row).collect();
        let plans = names.plans.iter().cloned().zip(settings.plans.iter().copied()).collect();
        Numbers { pinned: if pinned { rows.len() } else { 0 }, rows, plans }
    }

    /// Takes new settings over: the same number where name and rules are the same, a new one otherwise. Gives back the
    /// settings in these numbers, and the names that are in force.
    pub fn adopt(&mut self, names: &Names, settings: &Settings) -> (Settings, Directory) {
        let pinned = self.pinned;
        self.rows.iter_mut().enumerate().for_each(|(i, row)| row.in_force = i < pinned || row.name.is_none());
        let mut directory = Directory::default();
        for (name, class) in names.classes.iter().zip(&settings.classes) {
            let same = |row: &Row| row.name.as_ref() == Some(name) && row.class == *class;
            let number = self.rows.iter().position(same).unwrap_or_else(|| {
                let (name, class) = (Some(name.clone()), class.clone());
                self.rows.push(Row { name, class, in_force: true });
                self.rows.len() - 1
            });
            self.rows[number].in_force = true;
            directory.classes.push((name.clone(), number, Duration::from_micros(class.deadline)));
        }
        for (name, plan) in names.plans.iter().zip(&settings.plans) {
            let number = self.plans.iter().position(|(known, _)| known == name).unwrap_or_else(|| {
                self.plans.push((name.clone(), *plan));
                self.plans.len() - 1
            });
            self.plans[number].1 = *plan;
            directory.plans.push((name.clone(), number));
        }
        let classes = self.rows.iter().map(|row| match row.in_force {
            true => row.class.clone(),
            false => Class { aim: NO_AIM, ..row.class.clone() },
        });
        let plans = self.plans.iter().map(|(_, plan)| *plan).collect();
        (Settings { classes: classes.collect(), plans, ..settings.clone() }, directory)
    }

    /// The same with plans.
    pub fn rule_names(&self) -> crate::agree::rules::Names {
        let plans = self.plans.iter().map(|(name, _)| name.clone()).collect();
        crate::agree::rules::Names { classes: self.names(), plans }
    }

    /// Every number's name, for figures and the log; another front's own has none.
    pub fn names(&self) -> Vec<String> {
        self.rows.iter().map(|row| row.name.clone().unwrap_or_default()).collect()
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::interface::Repeats;

    fn class(deadline: Micros, repeats: Repeats) -> Class {
        Class { aim: deadline / 2, deadline, worth: 1.0, repeats, ..Class::default() }
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
    fn a_number_never_changes_its_meaning_while_classes_come_go_and_come_back() {
        let (safe, keyed) = (class(1_000, Repeats::Safe), class(2_000, Repeats::Keyed));
        let (names, settings) = given(&[("read", safe.clone()), ("write", keyed.clone())], &[("gold", 0.0)]);
        let mut numbers = Numbers::new(&names, &settings, false);
        let mut meanings: Vec<(String, Class)> = Vec::new();
        for (step, classes, wanted) in [
            ("unchanged", &[("read", safe.clone()), ("write", keyed.clone())][..], &[0, 1][..]),
            ("in another order", &[("write", keyed.clone()), ("read", safe.clone())], &[1, 0]),
            ("other rules", &[("read", keyed.clone()), ("write", keyed.clone())], &[2, 1]),
            ("dropped and new", &[("read", safe.clone()), ("export", safe.clone())], &[0, 3]),
            ("back again", &[("read", keyed.clone()), ("write", keyed.clone())], &[2, 1]),
            ("fewer", &[("write", keyed.clone())], &[1]),
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
                let now = Class { aim: class.aim, ..settings.classes[i].clone() };
                assert_eq!((&numbers.names()[i], &now), (name, class), "{step}: number {i}");
            }
            meanings =
                numbers.rows.iter().map(|row| (row.name.clone().unwrap(), row.class.clone())).collect();
            assert_eq!(directory.class("none"), None);
        }
        assert_eq!(numbers.rows.len(), 4, "nothing grows where nothing is new");
    }

    #[test]
    fn only_what_can_still_be_asked_for_has_an_aim() {
        let (fast, slow) = (class(1_000, Repeats::Safe), class(9_000, Repeats::Safe));
        for (pinned, aim) in [(false, NO_AIM), (true, 500)] {
            let (names, mut settings) = given(&[("fast", fast.clone()), ("slow", slow.clone())], &[]);
            settings.classes.push(slow.clone());
            let mut numbers = Numbers::new(&names, &settings, pinned);
            let (names, settings) = given(&[("slow", slow.clone())], &[]);
            let (settings, directory) = numbers.adopt(&names, &settings);
            assert_eq!(settings.classes.iter().map(|c| c.aim).collect::<Vec<_>>(), [aim, 4_500, 4_500]);
            assert_eq!(directory.class("fast"), None);
        }
    }

    #[test]
    fn a_plan_keeps_its_number_and_takes_its_new_figures() {
        let (names, settings) = given(&[], &[("starter", 8.0), ("gold", 0.0)]);
        let mut numbers = Numbers::new(&names, &settings, false);
        let (names, settings) = given(&[], &[("gold", 0.0), ("new", 3.0), ("starter", 6.0)]);
        let (settings, directory) = numbers.adopt(&names, &settings);
        assert_eq!(["starter", "gold", "new"].map(|name| directory.plan(name)), [Some(0), Some(1), Some(2)]);
        assert_eq!(settings.plans.iter().map(|plan| plan.limit).collect::<Vec<_>>(), [6.0, 0.0, 3.0]);
        let (names, settings) = given(&[], &[("gold", 0.0)]);
        assert_eq!(numbers.adopt(&names, &settings).1.plan("starter"), None);
    }
}
