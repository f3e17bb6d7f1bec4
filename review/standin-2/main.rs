//! The cases of this review that are scripts: `standin CASE RECORD`.

#[allow(dead_code)]
mod rig;

mod burst_of_bodies;
mod capacity_one;
mod gone_behind_bytes;
mod last_tenant;
mod no_brick_left;
mod retired_model;
mod slow_reader;

fn main() {
    let arguments: Vec<String> = std::env::args().collect();
    let (Some(case), Some(path)) = (arguments.get(1), arguments.get(2)) else {
        eprintln!("standin CASE RECORD");
        std::process::exit(2);
    };
    if !rig::exists(rig::PROGRAM) {
        eprintln!("{} is not built", rig::PROGRAM);
        std::process::exit(2);
    }
    let record = rig::Record::new(path);
    let broken = std::panic::catch_unwind(|| match case.as_str() {
        "burst-of-bodies" => burst_of_bodies::run(&record),
        "capacity-one" => capacity_one::run(&record),
        "gone-behind-bytes" => gone_behind_bytes::run(&record),
        "last-tenant" => last_tenant::run(&record),
        "no-brick-left" => no_brick_left::run(&record),
        "retired-model" => retired_model::run(&record),
        "slow-reader" => slow_reader::run(&record),
        other => {
            eprintln!("no case {other}");
            std::process::exit(2);
        }
    });
    // An unwound case has ended its processes and could not run.
    std::process::exit(broken.map_or(2, i32::from));
}
