//! What befalls model servers.

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
            Fault::ZoneLost => (0..self.servers.len()).filter(zone).collect(),
            _ => (0..self.servers.len())
                .filter(sixth)
                .filter(|number| !self.servers[*number].is_down())
                .collect(),
        };
        for number in &struck {
            match fault {
                Fault::Grey => self.servers[*number].trouble = Some(Trouble::Grey),
                Fault::Lying => self.servers[*number].trouble = Some(Trouble::Lying),
                Fault::Flap => {}
                Fault::SpotNotice => self.give_notice(*number),
                Fault::ZoneLost => self.end_server(*number, Trouble::Gone),
            }
        }
        self.flapping = fault == Fault::Flap;
        self.struck = struck.into_iter().collect();
    }

    pub fn heal(&mut self) {
        self.flapping = false;
        for number in std::mem::take(&mut self.struck) {
            if self.servers[number].gone_at.is_none() && self.servers[number].trouble != Some(Trouble::Gone) {
                self.servers[number].trouble = None;
            }
            self.struck.insert(number);
        }
    }

    pub fn cut_a_head_off_from_servers(&mut self, head: usize) {
        self.heads[head].cut_off = true;
    }

    pub(super) fn give_notice(&mut self, number: usize) {
        let server = &mut self.servers[number];
        server.told.state = ModelServerState::Draining;
        server.told.sequence += 1;
        server.told.remaining_ms = NOTICE;
        server.gone_at = Some(self.now + NOTICE);
        server.closed_since = Some(self.now);
        self.heartbeat(number);
    }

    /// Whatever runs at a model server breaks off.
    pub(super) fn end_server(&mut self, number: usize, trouble: Trouble) {
        self.servers[number].trouble = Some(trouble);
        self.servers[number].loading = None;
        let lost: Vec<u64> = std::mem::take(&mut self.servers[number].running).into_keys().collect();
        let could_move = |id: &&u64| self.tries.get(id).is_some_and(|attempt| attempt.offer.resumable);
        self.cut_short += lost.iter().filter(could_move).count();
        lost.into_iter().for_each(|request| self.ended(request, AttemptOutcome::Failed, None));
    }

    pub(super) fn flap(&mut self) {
        let down = (self.now / FLAP).is_multiple_of(2);
        for number in self.struck.clone() {
            match down {
                true => self.end_server(number, Trouble::Down),
                false => self.servers[number].trouble = None,
            }
        }
    }
}
