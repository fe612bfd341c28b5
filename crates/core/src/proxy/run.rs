//! Lifecycle of the runs of one stream.
//!
//! A stream begins at one runner, which may copy its KV cache to another one. If the first runner breaks off or falls
//! silent, the stream continues from the copy. A [`Run`] decides what follows from each event; the connection to a
//! runner is closed before the request is sent to another one.

use super::fleet::Key;

pub mod copy;

/// Number of times that one stream continues from a copy. A request that crashes its runner late would otherwise
/// crash one runner after the other, as the attempts of its route do not limit continuations.
pub const MAX_CONTINUATIONS: u32 = 3;

plain! {
    /// State of a stream.
    #[derive(Copy, Eq)]
    pub enum State {
        /// A runner sends events, and there is no copy.
        Begun,
        /// A runner sends events, and another one holds a copy.
        Copied(Key),
        /// The request was sent to the runner that holds the copy.
        Continuing(Key),
        /// No runner sends events; the stream goes on if another one resumes it with a new prefill.
        Resuming,
        /// The stream has ended.
        Ended,
    }
}

plain! {
    /// How the runner of a stream stopped sending.
    #[derive(Copy, Eq)]
    pub enum Stop {
        /// It broke the response off.
        Broken,
        /// It was silent for the silence limit; its connection is still open.
        Silent,
    }
}

plain! {
    /// Response of the runner that holds the copy.
    #[derive(Copy, Eq)]
    pub enum Answer {
        /// It continues the stream, and its own run has this copy.
        Continued(Option<Key>),
        /// It states that it has no copy and has not run the request.
        Refused,
        /// It could not be reached, or failed.
        Failed,
    }
}

plain! {
    /// What has happened.
    #[derive(Copy, Eq)]
    pub enum Event {
        /// The runner has stopped sending.
        Stopped {
            /// How it stopped.
            stop: Stop,
            /// Last event that was passed on.
            last_event: Option<u64>,
            /// Whether the runner that holds the copy may be sent the request, and the retry budget has a retry left.
            may_continue: bool,
        },
        /// The runner that holds the copy was sent the request and has responded.
        Answered(Answer),
        /// Another runner has resumed the stream with a new prefill; its run has this copy.
        Resumed(Option<Key>),
        /// The deadline has passed, or the caller has left.
        Over,
        /// The runner has sent the complete end of the stream.
        Complete,
    }
}

plain! {
    /// What to do next.
    #[derive(Copy, Eq)]
    pub enum Action {
        /// Wait for the next event.
        Wait,
        /// Close the connection to the runner, and continue from the copy after this event.
        Continue {
            /// Runner that holds the copy.
            holder: Key,
            /// Last event that was passed on.
            last_event: u64,
        },
        /// Decide about a stream without a copy: resume it with a new prefill where its route allows it, or else end it
        /// as incomplete.
        Resume,
        /// End the response.
        End,
    }
}

plain! {
    /// The runs of one stream.
    #[derive(Copy, Eq)]
    pub struct Run {
        state: State,
        continuations: u32,
    }
}

impl Run {
    /// A stream that a runner has begun; `holder` is the runner that holds its copy, if there is one.
    pub fn new(holder: Option<Key>) -> Self {
        Self {
            state: copied(holder),
            continuations: 0,
        }
    }

    /// Current state.
    pub fn state(&self) -> State {
        self.state
    }

    /// Runner from whose copy the stream may continue; `None` if there is none, or it has continued too often.
    pub fn holder(&self) -> Option<Key> {
        match self.state {
            State::Copied(holder) if self.continuations < MAX_CONTINUATIONS => Some(holder),
            State::Begun | State::Copied(_) | State::Continuing(_) | State::Resuming | State::Ended => None,
        }
    }

    /// Decides what follows from an event.
    pub fn on_event(&mut self, event: Event) -> Action {
        match event {
            Event::Stopped {
                stop,
                last_event,
                may_continue,
            } => self.on_stop(stop, last_event, may_continue),
            Event::Answered(answer) => self.on_answer(answer),
            Event::Resumed(holder) => {
                if self.state == State::Resuming {
                    self.state = copied(holder);
                }
                Action::Wait
            }
            Event::Over | Event::Complete => {
                self.state = State::Ended;
                Action::End
            }
        }
    }

    fn on_stop(&mut self, stop: Stop, last_event: Option<u64>, may_continue: bool) -> Action {
        if !matches!(self.state, State::Begun | State::Copied(_)) {
            return Action::End;
        }
        match (self.holder().filter(|_| may_continue), last_event, stop) {
            (Some(holder), Some(last_event), _) => {
                self.state = State::Continuing(holder);
                self.continuations += 1;
                Action::Continue { holder, last_event }
            }
            // The runner may go on, so its connection stays open.
            (_, _, Stop::Silent) => Action::Wait,
            (_, _, Stop::Broken) => {
                self.state = State::Resuming;
                Action::Resume
            }
        }
    }

    fn on_answer(&mut self, answer: Answer) -> Action {
        if !matches!(self.state, State::Continuing(_)) {
            return Action::Wait;
        }
        match answer {
            Answer::Continued(holder) => {
                self.state = copied(holder);
                Action::Wait
            }
            Answer::Refused | Answer::Failed => {
                self.state = State::Resuming;
                Action::Resume
            }
        }
    }
}

fn copied(holder: Option<Key>) -> State {
    holder.map_or(State::Begun, State::Copied)
}
