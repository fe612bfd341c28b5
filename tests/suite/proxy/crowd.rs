//! Tests of placement by the hosts of a large zone.

use radishstair_core::proxy::placement::Segment;
use rand::RngExt;
use rand_chacha::ChaCha8Rng;

use super::zone::Zone;

/// Slots of an engine.
const SLOTS: u32 = 12;
/// Minimum number of tokens of a prompt that are not shared.
const MIN_OWN_TOKENS: u64 = 50;

/// Prompt of one of three kinds: few long ones about hundreds of subjects, and many short ones.
fn prompt(rng: &mut ChaCha8Rng) -> Vec<Segment> {
    let kind = rng.random_range(0..950u64);
    let (kind, common, subjects, shared, mean, spread, longest) = match kind {
        0..208 => (1, 1, 784, (512, 4_870), 6_610.0, 1.4, 54_600.0),
        208..482 => (2, 32, 1_550, (119, 79), 628.0, 1.0, 3_310.0),
        _ => (3, 32, 3_981, (341, 227), 1_800.0, 1.3, 6_870.0),
    };
    let id = |part: u64, number: u64| kind << 40 | part << 32 | number;
    let subject = rng.random_range(0..subjects);
    let prompt = (mean * log_normal(rng, spread)).min(longest) as u64;
    let own = prompt.saturating_sub(shared.0 + shared.1).max(MIN_OWN_TOKENS);
    let segment = |id, tokens| Segment { id, tokens };
    vec![
        segment(id(1, subject % common), shared.0),
        segment(id(2, subject), shared.1),
        segment(rng.random(), own),
    ]
}

/// Random number with mean 1 whose logarithm is normally distributed.
fn log_normal(rng: &mut ChaCha8Rng, spread: f64) -> f64 {
    let sum: f64 = (0..12).map(|_| rng.random::<f64>()).sum();
    (spread * (sum - 6.0) - spread * spread / 2.0).exp()
}

/// Guards against dozens of requests that wait at one runner beside free ones: hosts without
/// requests send no reports, and what they sent after a pause was not counted by the others.
#[test]
fn no_runner_of_a_large_zone_is_crowded_after_a_pause() {
    for seed in 1..=3 {
        let zone = Zone {
            seed,
            hosts: 164,
            engines: 12,
            rate: |ms| if ms < 20_000 { 0.0 } else { 93.0 },
            prompt,
            prefill_ms_per_1k: 15.6,
            slots: Some(SLOTS),
            generate_ms: 800,
            report_ms: 3_400,
            update_ms: 547,
            skips_idle_reports: true,
            length_ms: 29_000,
            target_ms: 1_500,
            ..Zone::default()
        };
        let outcome = zone.run();
        let crowd = outcome.crowd;
        assert!(crowd.excess() <= f64::from(SLOTS), "seed {seed}: {crowd:?}");
        let late = outcome.usual.late * 100;
        assert!(late <= outcome.usual.arrived, "seed {seed}: {:?}", outcome.usual);
    }
}
