//! Training steps on the real programs: control heads, an edge head, stand-in bricks that load and draw.

mod common;

use common::{System, document, until};
use pathbank_rollout::audit::{Audit, Drawn, Told, audit};
use pathbank_system::stand_in::store::WeightStore;
use pathbank_system::stand_in::{StandInSettings, StandInState, drawn};
use pathbank_system::trainer::{SealedStep, StepPlan, Trainer};
use std::sync::Arc;
use std::time::Duration;

const PATIENCE: Duration = Duration::from_secs(40);

/// A system with bricks that share a store.
struct World {
    system: System,
    store: Arc<WeightStore>,
    bricks: Vec<Arc<StandInState>>,
    trainer: Trainer,
    told: Vec<Told>,
}

impl World {
    fn given(bricks: usize) -> World {
        let system = System::started();
        let store: Arc<WeightStore> = Arc::default();
        let trainer = Trainer::new(system.control.clone(), PATIENCE);
        let mut world = World { system, store, bricks: Vec::new(), trainer, told: Vec::new() };
        (0..bricks).for_each(|number| world.start_brick(&format!("w{number}")));
        world.system.configure(0, &document(3));
        world.system.until_ready();
        until("all bricks are known", || {
            world.system.status(0).is_some_and(|status| status["bricks"] == bricks)
        });
        world
    }

    fn start_brick(&mut self, instance: &str) {
        let control = &self.system.control;
        let settings = StandInSettings {
            store: self.store.clone(),
            load_ms: 50,
            ..StandInSettings::new(instance, "llm", "z1", &["m1"], control)
        };
        self.bricks.push(self.system.start_brick(settings));
    }

    fn plan(key: &str, prompts: u64) -> StepPlan {
        StepPlan { key: key.into(), model: "m1".into(), floor: 2, prompts, generation_ms: 3_000 }
    }

    fn play(&mut self, key: &str, prompts: u64) -> SealedStep {
        let sealed = self.trainer.play(&World::plan(key, prompts)).expect("the step is sealed");
        self.note(&sealed);
        sealed
    }

    fn note(&mut self, sealed: &SealedStep) {
        let SealedStep { step, version, results, .. } = sealed;
        self.told.push(Told { step: *step, version: *version, results: results.clone() });
    }

    fn drawn(&self) -> Vec<Drawn> {
        self.bricks.iter().flat_map(|brick| drawn::generations(&brick.drawn.lines())).collect()
    }

    /// What engines drew, what the trainer was told, and what is read back now.
    fn audit(&self) -> Audit {
        let read_back: Vec<Told> = self
            .told
            .iter()
            .map(|told| Told { results: self.trainer.results(told.step).unwrap(), ..told.clone() })
            .collect();
        audit(&self.drawn(), &self.told, &read_back)
    }
}

#[test]
fn step_after_step_is_drawn_from_the_version_that_was_published_before_it() {
    let mut world = World::given(3);
    let first = world.play("one", 20);
    assert_eq!((first.version, first.results.len()), (1, 20));
    world.store.publish().unwrap();
    let second = world.play("two", 20);
    assert_eq!((second.version, second.results.len()), (2, 20));
    let audit = world.audit();
    assert_eq!(audit.problems, Vec::<String>::new());
    assert_eq!((audit.sealed, audit.mixed, audit.overlapping), (2, 0, 0));
}
