//! Which programs may begin, by how many are under way.
//!
//! Only whole programs count. Where more of them begin than the servers can carry, all are stretched until none ends in time,
//! and the overload outlasts the burst that began it: what is late goes on taking places of what is not. The leader of a state
//! group sees each turn begin and end, whichever entry it comes through, and so knows what no entry does: how many places the
//! programs under way need. docs/design/014-teams-and-whole-programs.md tells what this was compared with.

use std::collections::BTreeSet;
use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use xxhash_rust::xxh3::xxh3_64;

use crate::clock::Timestamp;
use crate::turns::command::TurnId;

/// The programs under way may together need this much of a service's places. A little more than all: a full pool with a short
/// queue loses no time of its servers, and programs have a third of theirs to spare.
const FILL: f64 = 1.1;
/// The same for a program that has waited for long. It would likely end late, and in a crowd it would take the place of one
/// that comes just now and ends in time.
const FILL_LATE: f64 = 0.8;
/// Part of a program's whole time that it may wait before that is taken for long: the shortest time that it is told to come
/// back after is as long for one of a few seconds.
const SPARE: f64 = 0.03;
/// Time after its last turn for which a program counts as under way. Most pauses and tools are shorter; the longer it is, the more
/// programs that have ended hide what one that begins will need.
const PAUSE: Duration = Duration::from_millis(700);
/// Time after which a program that was turned away is forgotten; callers come back within a few seconds or not at all.
const FORGOTTEN: Duration = Duration::from_secs(10);
/// Time beyond its caller's patience after which a turn counts as ended though nobody said so. Its entry was lost: the turns
/// of 9 entries of 57 that lose power would else fill an eighth of the places until then.
const LINGER: Duration = Duration::from_millis(200);
/// Time after which what the programs needed counts a third as much: longer than most programs last, since those that began
/// together need less at first than later.
const MEMORY: Duration = Duration::from_secs(8);
/// Places that a program is taken to need before any was seen.
const FIRST_NEED: f64 = 0.5;
/// Programs that count as seen with that need, so that the first few don't set it.
const FIRST_PROGRAMS: f64 = 8.0;
/// Seconds that turns count as seen with all their time spent at a server.
const FIRST_SECONDS: f64 = 2.0;
/// Shortest time that is told to a program that may not begin, and what is drawn on top so that they don't all come back
/// together. A program has a third to a half of its time to spare, some 0.5 s and more.
const COME_BACK: (u64, u64) = (200, 300);

/// A turn that has begun.
#[derive(Debug)]
struct Open {
    service: Arc<str>,
    program: Arc<str>,
    begun: Timestamp,
    until: Timestamp,
}

#[derive(Debug)]
struct Program {
    kind: Arc<str>,
    open: u32,
    last: Timestamp,
}

/// The programs under way of one kind, which differ less among each other than kinds do.
#[derive(Debug, Default)]
struct Kind {
    programs: u32,
    open: u32,
    /// Open turns and programs as of late, each with more weight the newer it is.
    open_seen: f64,
    programs_seen: f64,
}

/// The programs under way on one service.
#[derive(Debug, Default)]
struct Crowd {
    kinds: HashMap<Arc<str>, Kind>,
    programs: HashMap<Arc<str>, Program>,
    /// Programs without an open turn, by when the last ended.
    resting: BTreeSet<(Timestamp, Arc<str>)>,
    /// Seconds for which turns that ended of late were open, and of those the ones that they spent at a server.
    opened: f64,
    ran: f64,
    at: Timestamp,
}

/// A program that wants to begin.
#[derive(Clone, Copy, Debug)]
pub struct ProgramStart<'a> {
    /// The service that its first turn goes to.
    pub service: &'a Arc<str>,
    /// The route that it begins on, which tells its kind.
    pub kind: &'a Arc<str>,
    /// Requests that the service's servers run at once.
    pub places: u32,
    /// The program.
    pub program: &'a Arc<str>,
    /// The turn that it begins with.
    pub turn: &'a TurnId,
    /// Time left until it should be finished; none where it does not say.
    pub finish_in: Option<Duration>,
}

/// A turn that begins.
#[derive(Clone, Copy, Debug)]
pub struct TurnStart<'a> {
    /// The service that it goes to.
    pub service: &'a Arc<str>,
    /// The route that it comes on.
    pub kind: &'a Arc<str>,
    /// Its program.
    pub program: &'a Arc<str>,
    /// Its name.
    pub turn: &'a TurnId,
    /// How long its caller waits for it.
    pub patience: Duration,
}

impl ProgramStart<'_> {
    /// Whether a program that first came so long ago has waited too long to be likely to end in time.
    fn is_late(&self, waited: Duration) -> bool {
        self.finish_in.is_some_and(|left| waited > (left + waited).mul_f64(SPARE))
    }
}

/// The door of a state group.
#[derive(Debug, Default)]
pub struct ProgramLimiter {
    crowds: HashMap<Arc<str>, Crowd>,
    open: HashMap<TurnId, Open>,
    /// Programs that were turned away, by when they first came.
    waiting: HashMap<Arc<str>, Timestamp>,
    by_coming: BTreeSet<(Timestamp, Arc<str>)>,
    /// Open turns by when their callers give up.
    by_end: BTreeSet<(Timestamp, TurnId)>,
}

impl ProgramLimiter {
    /// Whether another program may begin on a service with so many places.
    ///
    /// # Errors
    ///
    /// Tells in how many milliseconds it is worth coming back.
    pub fn admit(&mut self, now: Timestamp, coming: ProgramStart<'_>) -> Result<(), u64> {
        self.expire(now);
        let ProgramStart { service, kind, places, program, turn, .. } = coming;
        let crowd = self.crowds.entry(service.clone()).or_default();
        crowd.pass(now);
        crowd.kinds.entry(kind.clone()).or_default();
        let late = self.waiting.get(program).is_some_and(|first| coming.is_late(now.since(*first)));
        let fill = if late { FILL_LATE } else { FILL };
        if crowd.needed(kind) <= f64::from(places) * fill {
            self.forget(program);
            return Ok(());
        }
        if !self.waiting.contains_key(program) {
            self.waiting.insert(program.clone(), now);
            self.by_coming.insert((now, program.clone()));
        }
        let (least, spread) = COME_BACK;
        Err(least + xxh3_64(turn.as_bytes()) % spread)
    }

    fn forget(&mut self, program: &Arc<str>) {
        if let Some(first) = self.waiting.remove(program) {
            self.by_coming.remove(&(first, program.clone()));
        }
    }

    /// Takes in that a turn begins.
    pub fn begin(&mut self, now: Timestamp, turn: TurnStart<'_>) {
        let TurnStart { service, kind, program, turn, patience } = turn;
        self.expire(now);
        if self.open.contains_key(turn) {
            return;
        }
        let until = now + patience + LINGER;
        let open = Open { service: service.clone(), program: program.clone(), begun: now, until };
        self.open.insert(turn.clone(), open);
        self.by_end.insert((until, turn.clone()));
        let crowd = self.crowds.entry(service.clone()).or_default();
        crowd.pass(now);
        crowd.begin(now, program, kind);
    }

    /// Takes in that a turn ended, after so much time at a server; none where no server ran it whole.
    pub fn finish(&mut self, now: Timestamp, turn: &TurnId, ran: Option<Duration>) {
        if let Some(open) = self.open.remove(turn)
            && let Some(crowd) = self.crowds.get_mut(&open.service)
        {
            self.by_end.remove(&(open.until, turn.clone()));
            crowd.pass(now);
            crowd.finish(now, &open.program);
            if let Some(ran) = ran {
                crowd.opened += now.since(open.begun).as_secs_f64();
                crowd.ran += ran.as_secs_f64();
            }
        }
    }

    /// Open turns and programs under way on all services, for operators.
    #[must_use]
    pub fn counts(&self) -> (usize, usize) {
        (self.open.len(), self.crowds.values().map(|crowd| crowd.programs.len()).sum())
    }

    /// Ends the turns of which no end is to be expected any more.
    fn expire(&mut self, now: Timestamp) {
        while let Some((first, _)) = self.by_coming.first()
            && now.since(*first) > FORGOTTEN
            && let Some((_, program)) = self.by_coming.pop_first()
        {
            self.waiting.remove(&program);
        }
        while let Some((until, _)) = self.by_end.first()
            && *until < now
            && let Some((_, turn)) = self.by_end.pop_first()
        {
            self.finish(now, &turn, None);
        }
    }
}

impl Crowd {
    /// Places that the programs under way and one more of a kind need.
    fn needed(&self, newcomer: &str) -> f64 {
        let one_more = |name: &str| u32::from(name == newcomer);
        let known = self.kinds.iter().map(|(name, kind)| kind.needed(one_more(name))).sum::<f64>();
        let at_server = (self.ran + FIRST_SECONDS) / (self.opened + FIRST_SECONDS);
        known * at_server.min(1.0)
    }

    fn begin(&mut self, now: Timestamp, name: &Arc<str>, kind: &Arc<str>) {
        let vacant = || Program { kind: kind.clone(), open: 0, last: now };
        let program = self.programs.entry(name.clone()).or_insert_with(vacant);
        let kind = self.kinds.entry(program.kind.clone()).or_default();
        kind.open += 1;
        // One that rested is counted already, a new one is not.
        if program.open == 0 && !self.resting.remove(&(program.last, name.clone())) {
            kind.programs += 1;
        }
        program.open += 1;
    }

    fn finish(&mut self, now: Timestamp, name: &Arc<str>) {
        let Some(program) = self.programs.get_mut(name) else {
            return;
        };
        if let Some(kind) = self.kinds.get_mut(&program.kind) {
            kind.open = kind.open.saturating_sub(1);
        }
        program.open = program.open.saturating_sub(1);
        if program.open == 0 {
            program.last = now;
            self.resting.insert((now, name.clone()));
        }
    }

    /// Lets time pass: what is seen now counts for the time since it was last looked, and who rests for long has ended.
    fn pass(&mut self, now: Timestamp) {
        while let Some((last, _)) = self.resting.first()
            && now.since(*last) > PAUSE
            && let Some((_, name)) = self.resting.pop_first()
        {
            let ended = self.programs.remove(&name);
            if let Some(kind) = ended.and_then(|program| self.kinds.get_mut(&program.kind)) {
                kind.programs = kind.programs.saturating_sub(1);
            }
        }
        let span = now.since(self.at).as_secs_f64() / MEMORY.as_secs_f64();
        let fade = (-span).exp();
        self.at = now;
        self.opened *= fade;
        self.ran *= fade;
        for kind in self.kinds.values_mut() {
            kind.open_seen = kind.open_seen * fade + f64::from(kind.open) * (1.0 - fade);
            kind.programs_seen = kind.programs_seen * fade + f64::from(kind.programs) * (1.0 - fade);
        }
    }
}

impl Kind {
    /// Places that its programs and some more need.
    fn needed(&self, more: u32) -> f64 {
        let each = (self.open_seen + FIRST_NEED * FIRST_PROGRAMS) / (self.programs_seen + FIRST_PROGRAMS);
        f64::from(self.programs + more) * each
    }
}
