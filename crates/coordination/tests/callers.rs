//! Who spoke lately, after hundreds of replaced machines.

use pathbank_coordination::callers::Callers;

#[test]
fn the_newest_of_hundreds_of_replaced_machines_is_still_noticed() {
    let mut callers = Callers::default();
    for machine in 0..400_u64 {
        assert!(callers.note(machine * 100, &format!("10.0.{machine}.1:7000")), "machine {machine}");
    }
    let addresses: Vec<&str> = callers.addresses().collect();
    assert!(addresses.contains(&"10.0.399.1:7000") && !addresses.contains(&"10.0.0.1:7000"));
    assert!(addresses.len() <= 64);
}

#[test]
fn whoever_goes_on_speaking_is_kept() {
    let mut callers = Callers::default();
    callers.note(0, "old");
    for machine in 0..400_u64 {
        callers.note(machine * 100, &format!("10.0.{machine}.1:7000"));
        callers.note(machine * 100, "old");
    }
    assert!(callers.addresses().any(|address| address == "old"));
    callers.forget_silent(60_000);
    assert_eq!(callers.addresses().collect::<Vec<_>>().len(), 64, "the others spoke less than 30 s ago");
    callers.forget_silent(90_000);
    assert_eq!(callers.addresses().count(), 0);
}
