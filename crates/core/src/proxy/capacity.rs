//! Number of runners that a load needs, and the number to keep ready for more.
//!
//! Load that this module answers: requests come in bursts. Within a second, a service gets two to
//! three times the work of the second before, and a runner that is ordered then serves only after
//! its boot time. In these seconds the streams that run share too few runners, so that they pause,
//! and later ones are refused. Cheap runners are also reclaimed a zone at a time, often while a
//! burst is on.
//!
//! With [`Policy::Usual`], standby capacity follows the prefill work of recent peaks, and the slots
//! in use now. With [`Policy::Bursts`], a burst has to fit into the runners that remain when a zone
//! is lost: both the prefill work and the slots of recent peaks are counted, and the runners found
//! at the first start are taken for what the usual load needs.

/// Target share of a runner's time spent on prefill in normal operation. The rest is for
/// generating, and for prompts that arrive together not to wait for each other.
const PREFILL_LOAD: f64 = 0.35;
/// The same share when more runners cost more than the waiting: after a loss, until others have
/// booted.
const HIGH_PREFILL_LOAD: f64 = 0.6;
/// Target share of a runner's slots that are taken in normal operation.
const SLOT_USE: f64 = 0.6;
/// Cost of the reserve of reclaimable runners, as a share of what the needed runners would cost
/// on demand.
const RESERVE_COST: f64 = 0.05;
/// Maximum reserve, relative to the runners needed.
const MAX_RESERVE: f64 = 0.5;
/// Growth of the load within a boot time that has to fit into the runners that are ready.
const BURST_GROWTH: f64 = 2.5;

plain! {
    /// What standby capacity is for.
    #[derive(Copy, Default, Eq)]
    pub enum Policy {
        /// Recent peaks, and the loss of a zone at the usual load.
        #[default]
        Usual,
        /// A burst beyond recent peaks, also during the loss of a zone.
        Bursts,
    }
}

plain! {
    /// Load of a service.
    #[derive(Copy)]
    pub struct Load {
        /// Prefill work, in runners that only prefill.
        pub prefill: f64,
        /// Requests that run or wait, in runners of which all slots are taken.
        pub slots: f64,
    }
}

impl Load {
    /// Runners that carry it while more of them cost more than the waiting.
    pub fn minimum(self) -> f64 {
        (self.prefill / HIGH_PREFILL_LOAD).max(self.slots / SLOT_USE)
    }

    /// Runners that carry it at the usual share of prefill and slots.
    fn usual(self, reserve: f64) -> f64 {
        (self.prefill / PREFILL_LOAD * reserve).max(self.slots / SLOT_USE)
    }

    /// Runners into which a burst fits.
    fn with_burst(self) -> f64 {
        (self.prefill / HIGH_PREFILL_LOAD).max(self.slots) * BURST_GROWTH
    }
}

impl Policy {
    /// Runners to keep ready: `now` is the current load, `peak` that of recent peaks. `price` is the
    /// price of reclaimable runners relative to the full price.
    pub fn standby(self, now: Load, peak: Load, zones: u32, price: f64) -> f64 {
        let after_loss = peak.prefill / HIGH_PREFILL_LOAD * loss_factor(zones);
        let usual = Load {
            prefill: peak.prefill,
            slots: now.slots,
        };
        let usual = usual.usual(reserve(price)).max(after_loss);
        match self {
            Policy::Usual => usual,
            Policy::Bursts => usual.max(peak.with_burst() * loss_factor(zones)),
        }
    }

    /// Runners that count as needed until the load is known. The runners found were ordered for the
    /// usual load; before any traffic was seen, a burst has to fit as well.
    pub fn initial(self, found: u32, has_traffic: bool, zones: u32, price: f64) -> u32 {
        match self {
            Policy::Bursts if !has_traffic => {
                let unit = Load {
                    prefill: 1.0,
                    slots: 0.0,
                };
                let growth = unit.with_burst() * loss_factor(zones) / unit.usual(reserve(price));
                (f64::from(found) * growth.max(1.0)).ceil() as u32
            }
            Policy::Bursts | Policy::Usual => found,
        }
    }
}

/// Factor by which capacity exceeds the load that the zones have to carry after one of them is lost.
fn loss_factor(zones: u32) -> f64 {
    f64::from(zones) / f64::from(zones.saturating_sub(1).max(1))
}

/// Factor of the reserve of reclaimable runners; it shrinks as they get more expensive.
fn reserve(price: f64) -> f64 {
    1.0 + (RESERVE_COST / price.max(RESERVE_COST)).min(MAX_RESERVE)
}
