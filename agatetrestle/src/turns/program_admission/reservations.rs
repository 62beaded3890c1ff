//! Capacity held for refused programs that were told when to return.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use crate::clock::Timestamp;

/// Reservations of one service. They hold what ends within [`super::service::MAX_RESERVED_WAIT`], so even the largest service
/// has far fewer.
pub(super) const MAX_RESERVATIONS: usize = 4_096;
/// Time after the expected return for which a reservation is held. Covers the network latency of a caller and a commit.
const GRACE: Duration = Duration::from_millis(150);
/// Sums below this are zero but for rounding.
const ROUNDING_ERROR: f64 = 1e-9;

#[derive(Clone, Debug)]
struct Reservation {
    class: u8,
    team: Arc<str>,
    slots: f64,
    expires: Timestamp,
}

/// Reservations of one service.
#[derive(Debug, Default)]
pub(super) struct Reservations {
    by_program: HashMap<Arc<str>, Reservation>,
    by_expiry: BTreeSet<(Timestamp, Arc<str>)>,
    slots_by_class: BTreeMap<u8, f64>,
    slots_by_team: HashMap<(u8, Arc<str>), f64>,
}

impl Reservations {
    /// Holds slots for a program that returns at a time. Replaces its previous reservation.
    pub(super) fn insert(
        &mut self,
        program: &Arc<str>,
        class: u8,
        team: &Arc<str>,
        slots: f64,
        returns: Timestamp,
    ) {
        self.remove(program);
        if self.by_program.len() >= MAX_RESERVATIONS {
            return;
        }
        let expires = returns + GRACE;
        self.by_expiry.insert((expires, program.clone()));
        *self.slots_by_class.entry(class).or_default() += slots;
        *self.slots_by_team.entry((class, team.clone())).or_default() += slots;
        self.by_program.insert(program.clone(), Reservation { class, team: team.clone(), slots, expires });
    }

    /// Releases a program's reservation; returns whether it had one.
    pub(super) fn remove(&mut self, program: &Arc<str>) -> bool {
        let Some(reservation) = self.by_program.remove(program) else {
            return false;
        };
        self.by_expiry.remove(&(reservation.expires, program.clone()));
        subtract(&mut self.slots_by_class, reservation.class, reservation.slots);
        let key = (reservation.class, reservation.team);
        if let Some(slots) = self.slots_by_team.get_mut(&key) {
            *slots -= reservation.slots;
            if *slots < ROUNDING_ERROR {
                self.slots_by_team.remove(&key);
            }
        }
        true
    }

    /// Slots held for programs of this and more urgent classes.
    pub(super) fn slots_up_to(&self, class: u8) -> f64 {
        self.slots_by_class.range(..=class).map(|(_, slots)| slots).sum()
    }

    /// Slots held for programs of a team.
    pub(super) fn slots_of_team(&self, class: u8, team: &Arc<str>) -> f64 {
        self.slots_by_team.get(&(class, team.clone())).copied().unwrap_or_default()
    }

    pub(super) fn len(&self) -> usize {
        self.by_program.len()
    }

    pub(super) fn expire(&mut self, now: Timestamp) {
        while let Some((expires, program)) = self.by_expiry.first()
            && *expires < now
        {
            let program = program.clone();
            self.remove(&program);
        }
    }
}

/// Subtracts slots and removes sums that are zero but for rounding.
fn subtract(sums: &mut BTreeMap<u8, f64>, class: u8, slots: f64) {
    if let Some(sum) = sums.get_mut(&class) {
        *sum -= slots;
        if *sum < ROUNDING_ERROR {
            sums.remove(&class);
        }
    }
}
