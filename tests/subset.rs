//! Subsets of engines: they must cover a pool evenly, and change little when the pool changes.

use yuccacove::subset::{SUBSET_ENGINES, choose};

fn names(count: usize) -> Vec<String> {
    (1..=count).map(|n| format!("engine-{n}")).collect()
}

fn coverage(engines: &[&str], hosts: usize) -> Vec<usize> {
    let mut covered = vec![0; engines.len()];
    for host in 0..hosts {
        for index in choose(engines, host, SUBSET_ENGINES) {
            covered[index] += 1;
        }
    }
    covered
}

/// Guards against engines that are in the subsets of few hosts while others are in those of many.
#[test]
fn choose_coverage() {
    // (hosts, engines, maximum ratio of the most to the least covered engine)
    let cases = [
        (7, 12, 1.0),
        (7, 18, 1.0),
        (350, 233, 1.35),
        (350, 930, 1.8),
    ];
    for (hosts, engines, most_ratio) in cases {
        let names = names(engines);
        let names: Vec<&str> = names.iter().map(String::as_str).collect();
        let covered = coverage(&names, hosts);
        let (least, most) = (covered.iter().min(), covered.iter().max());
        let (least, most) = (
            *least.expect("at least one engine"),
            *most.expect("at least one engine"),
        );
        println!("{hosts} hosts, {engines} engines: each covered by {least} to {most} hosts");
        assert!(
            most as f64 <= most_ratio * least as f64,
            "{least} to {most}"
        );
    }
}

/// Guards against most hosts having to change connections and cache data when an engine is
/// withdrawn.
#[test]
fn choose_withdrawn() {
    let names = names(233);
    let all: Vec<&str> = names.iter().map(String::as_str).collect();
    let left: Vec<&str> = all
        .iter()
        .copied()
        .filter(|name| *name != "engine-77")
        .collect();
    let mut kept = 0;
    for host in 0..350 {
        let before: Vec<&str> = choose(&all, host, SUBSET_ENGINES)
            .iter()
            .map(|i| all[*i])
            .collect();
        let after = choose(&left, host, SUBSET_ENGINES);
        kept += after.iter().filter(|i| before.contains(&left[**i])).count();
    }
    let share = kept as f64 / (350 * SUBSET_ENGINES) as f64;
    println!("kept {share:.4} of all subset members");
    assert!(share >= 0.95, "{share}");
}
