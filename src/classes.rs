//! Numbers for classes and plans that never change their meaning. A class number stands for a name with its rules
//! (deadline, target, worth, repeats) for as long as the program runs, so that whatever is open keeps the rules that it
//! came under. Decides numbers; knows neither files nor requests.

use crate::config::Names;
use crate::interface::{Class, Micros, Plan, Settings};
use std::time::Duration;

/// A class that clients can name no more has no target that others would be measured by.
const NO_TARGET: Micros = Micros::MAX / 2;

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

    /// A plan's number by its name.
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
            false => Class { target: NO_TARGET, ..row.class.clone() },
        });
        let plans = self.plans.iter().map(|(_, plan)| *plan).collect();
        (Settings { classes: classes.collect(), plans, ..settings.clone() }, directory)
    }

    /// The same with plans.
    pub fn rule_names(&self) -> crate::agree::rules::Names {
        let plans = self.plans.iter().map(|(name, _)| name.clone()).collect();
        crate::agree::rules::Names { classes: self.names(), plans }
    }

    /// Every number's name, for metrics and the log; another front's own has none.
    pub fn names(&self) -> Vec<String> {
        self.rows.iter().map(|row| row.name.clone().unwrap_or_default()).collect()
    }
}

#[cfg(test)]
mod tests;
