//! Running a check over many seeded schedules.

/// Runs a check for many seeds, on all cores. Returns the number of failed seeds and the message of
/// the first failure.
pub fn run_seeds(count: u64, check: impl Fn(u64) -> Result<(), String> + Sync) -> (usize, Option<String>) {
    let threads = std::thread::available_parallelism().map_or(4, |count| count.get()) as u64;
    let mut failures: Vec<(u64, String)> = std::thread::scope(|scope| {
        let check = &check;
        let workers: Vec<_> = (0..threads)
            .map(|from| {
                scope.spawn(move || {
                    (from..count)
                        .step_by(threads as usize)
                        .filter_map(|seed| check(seed).err().map(|text| (seed, text)))
                        .collect::<Vec<_>>()
                })
            })
            .collect();
        workers
            .into_iter()
            .flat_map(|worker| worker.join().expect("a seed panicked"))
            .collect()
    });
    failures.sort();
    let first = failures
        .first()
        .map(|(seed, text)| format!("seed {seed}: {text}"));
    (failures.len(), first)
}

/// Fails the test if any seed fails.
pub fn assert_all_pass(count: u64, check: impl Fn(u64) -> Result<(), String> + Sync) {
    let (failed, first) = run_seeds(count, check);
    assert!(
        failed == 0,
        "{failed} of {count} schedules failed; first: {}",
        first.unwrap_or_default()
    );
}

/// Fails the test if no seed fails, as the check then cannot detect the fault.
pub fn assert_some_fail(count: u64, check: impl Fn(u64) -> Result<(), String> + Sync) {
    let (failed, first) = run_seeds(count, check);
    println!("the broken variant failed in {failed} of {count} schedules; first: {first:?}");
    assert!(
        failed > 0,
        "the check detected no failure in {count} schedules of the broken variant"
    );
}
