//! Assigns numbers to classes and plans. While the program runs, a class number always stands for the same
//! name and rules (deadline, target, worth, repeats), so that requests in flight keep the rules under which
//! they came. This module reads no files and handles no requests.

use crate::config::Names;
use crate::interface::{Class, Micros, Plan, Settings};
use std::time::Duration;

/// Target of a class that clients can no longer name: so long that it does not affect other classes.
const NO_TARGET: Micros = Micros::MAX / 2;

/// The names of classes and plans that are in force, by which a front looks up their numbers.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Directory {
    classes: Vec<(String, usize, Duration)>,
    plans: Vec<(String, usize)>,
}

impl Directory {
    /// Returns the number of a class and its deadline, the longest time that its clients wait.
    pub fn class(&self, name: &str) -> Option<(usize, Duration)> {
        self.classes.iter().find(|(known, ..)| known == name).map(|(_, number, wait)| (*number, *wait))
    }

    /// Returns the number of a plan.
    pub fn plan(&self, name: &str) -> Option<usize> {
        self.plans.iter().find(|(known, _)| known == name).map(|(_, number)| *number)
    }
}

#[derive(Clone, Debug)]
struct Row {
    /// `None` for a class that another front added itself.
    name: Option<String>,
    class: Class,
    in_force: bool,
}

/// All classes and plans that have ever had a number. Grows only when new settings bring a plan name, or a
/// class name with rules, that is not in it.
#[derive(Debug)]
pub struct Numbers {
    rows: Vec<Row>,
    plans: Vec<(String, Plan)>,
    /// How many of the first numbers other fronts hold; their classes stay in force.
    pinned: usize,
}

impl Numbers {
    /// Numbers the classes and plans in the order of the settings at startup. If `pinned`, other fronts hold
    /// these class numbers, so the classes stay in force.
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

    /// Adopts new settings. A class keeps its number if its name and rules are the same and gets a new one
    /// otherwise; a plan keeps the number of its name. Returns the settings in the order of these numbers,
    /// and the names that are in force.
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
            false => Class { target: NO_TARGET, ..row.class.clone() },
        });
        let plans = self.plans.iter().map(|(_, plan)| *plan).collect();
        (Settings { classes: classes.collect(), plans, ..settings.clone() }, directory)
    }

    /// Returns the names of all classes and plans, by number.
    pub fn rule_names(&self) -> crate::agree::rules::Names {
        let plans = self.plans.iter().map(|(name, _)| name.clone()).collect();
        crate::agree::rules::Names { classes: self.names(), plans }
    }

    /// Returns the name of each class by number, for metrics and the log. The name of a class that another
    /// front added itself is empty.
    pub fn names(&self) -> Vec<String> {
        self.rows.iter().map(|row| row.name.clone().unwrap_or_default()).collect()
    }
}

#[cfg(test)]
mod tests;
