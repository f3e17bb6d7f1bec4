//! What befalls bricks.

use super::*;

impl World {
    pub fn draw_fault(&mut self) -> Fault {
        let faults = [Fault::Grey, Fault::Lying, Fault::Flap, Fault::SpotNotice];
        faults[(self.draw() * faults.len() as f64) as usize]
    }

    pub fn strike(&mut self, fault: Fault) {
        let zone = |number: &usize| number.is_multiple_of(ZONES);
        let sixth = |number: &usize| number % 6 == 3;
        let struck: Vec<usize> = match fault {
            Fault::ZoneLost => (0..self.bricks.len()).filter(zone).collect(),
            _ => (0..self.bricks.len())
                .filter(sixth)
                .filter(|number| !self.bricks[*number].is_down())
                .collect(),
        };
        for number in &struck {
            match fault {
                Fault::Grey => self.bricks[*number].trouble = Some(Trouble::Grey),
                Fault::Lying => self.bricks[*number].trouble = Some(Trouble::Lying),
                Fault::Flap => {}
                Fault::SpotNotice => self.give_notice(*number),
                Fault::ZoneLost => self.end_brick(*number, Trouble::Gone),
            }
        }
        self.flapping = fault == Fault::Flap;
        self.struck = struck.into_iter().collect();
    }

    pub fn heal(&mut self) {
        self.flapping = false;
        for number in std::mem::take(&mut self.struck) {
            if self.bricks[number].gone_at.is_none() && self.bricks[number].trouble != Some(Trouble::Gone) {
                self.bricks[number].trouble = None;
            }
            self.struck.insert(number);
        }
    }

    pub fn cut_a_head_off_from_bricks(&mut self, head: usize) {
        self.heads[head].cut_off = true;
    }

    pub(super) fn give_notice(&mut self, number: usize) {
        let brick = &mut self.bricks[number];
        brick.told.state = BrickState::Draining;
        brick.told.sequence += 1;
        brick.told.remaining_ms = NOTICE;
        brick.gone_at = Some(self.now + NOTICE);
        brick.closed_since = Some(self.now);
        self.heartbeat(number);
    }

    /// Whatever runs at a brick breaks off.
    pub(super) fn end_brick(&mut self, number: usize, trouble: Trouble) {
        self.bricks[number].trouble = Some(trouble);
        self.bricks[number].loading = None;
        let lost: Vec<u64> = std::mem::take(&mut self.bricks[number].running).into_keys().collect();
        let could_move = |id: &&u64| self.tries.get(id).is_some_and(|attempt| attempt.offer.resumable);
        self.cut_short += lost.iter().filter(could_move).count();
        lost.into_iter().for_each(|request| self.ended(request, BrickOutcome::Failed, None));
    }

    pub(super) fn flap(&mut self) {
        let down = (self.now / FLAP).is_multiple_of(2);
        for number in self.struck.clone() {
            match down {
                true => self.end_brick(number, Trouble::Down),
                false => self.bricks[number].trouble = None,
            }
        }
    }
}
