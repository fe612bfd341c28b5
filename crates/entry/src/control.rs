//! The control thread: feeds the kernel and carries out what it says.

use std::sync::Arc;
use std::time::{Duration, Instant};

use crossbeam::channel::{Receiver, RecvTimeoutError, Sender};
use radishstair_core::at_most_once::{Completion, Verdict};
use radishstair_core::id::CallId;
use radishstair_core::kernel::{Action, Event, Kernel, Reply};
use radishstair_core::store;
use tokio::sync::{mpsc, oneshot};

use crate::handle::{Handle, Input};
use crate::peers::Message;
use crate::platform::Job;

/// Time between ticks of the kernel.
pub const TICK: Duration = Duration::from_millis(20);

/// Where actions go.
#[derive(Debug)]
pub struct Lines {
    /// Short calls to the platform.
    pub jobs: Sender<Job>,
    /// Watches, which wait long.
    pub watches: Sender<Job>,
    /// Messages to peers.
    pub peers: mpsc::UnboundedSender<Message>,
    /// Told once when everything is handed back.
    pub exit: Sender<()>,
}

/// The control thread's own state.
#[derive(Debug)]
pub struct Control {
    handle: Arc<Handle>,
    kernel: Kernel,
    lines: Lines,
    waiters: Vec<(CallId, oneshot::Sender<Reply>)>,
}

impl Control {
    /// Ready to run.
    pub fn new(handle: Arc<Handle>, kernel: Kernel, lines: Lines) -> Self {
        Self {
            handle,
            kernel,
            lines,
            waiters: Vec::new(),
        }
    }

    /// Runs until the inputs are closed.
    pub fn run(mut self, inputs: &Receiver<Input>) {
        let mut next = Instant::now();
        loop {
            match inputs.recv_deadline(next) {
                Ok(input) => self.take(input),
                Err(RecvTimeoutError::Timeout) => {
                    next = Instant::now() + TICK;
                    self.step(Event::Tick);
                }
                Err(RecvTimeoutError::Disconnected) => return,
            }
        }
    }

    fn take(&mut self, input: Input) {
        if let Some((call, sender)) = input.reply_to {
            let at = self.waiters.partition_point(|(have, _)| *have < call);
            self.waiters.insert(at, (call, sender));
        }
        self.step(input.event);
    }

    fn step(&mut self, event: Event) {
        let began = Instant::now();
        for action in self.kernel.handle(self.handle.clock.now(), event) {
            self.act(action);
        }
        self.handle
            .metrics
            .control_busy_us
            .inc_by(began.elapsed().as_micros() as u64);
    }

    fn act(&mut self, action: Action) {
        match action {
            Action::Store(token, call) => {
                let line = match call {
                    store::Call::Watch { .. } => &self.lines.watches,
                    _ => &self.lines.jobs,
                };
                let _ = line.send(Job::Store(token, call));
            }
            Action::Heartbeat(address, beat) => self.send(Message::Heartbeat(address, beat)),
            Action::Pull(address, pull) => self.send(Message::Pull(address, pull)),
            Action::Collect(address, ask) => self.send(Message::Collect(address, ask)),
            Action::Reply(call, reply) => self.reply(call, *reply),
            Action::View(view) => {
                tracing::info!(event = "configuration-in-force", version = view.version);
                self.handle.metrics.configuration_version.set(view.version as i64);
                self.handle.view.store(view);
            }
            Action::Members(cards) => {
                let live = cards.iter().filter(|card| !card.gone).count();
                tracing::info!(
                    event = "members-changed",
                    live = live + 1,
                    gone = cards.len() - live
                );
                self.handle.members.store(Arc::new(cards));
            }
            Action::KeysTrusted(trusted) => {
                tracing::info!(event = "keys-trusted", trusted);
                self.handle.metrics.keys_trusted.set(i64::from(trusted));
                self.handle
                    .keys_trusted
                    .store(trusted, std::sync::atomic::Ordering::SeqCst);
            }
            Action::Report(grant, seal) => {
                let _ = self.lines.jobs.send(Job::Report(grant, seal));
            }
            Action::Order(grant, order) => {
                let _ = self.lines.jobs.send(Job::Order(grant, order));
            }
            Action::Exit => {
                let _ = self.lines.exit.send(());
            }
        }
    }

    /// Nobody waits for a reply any more. A runner's place would stay taken,
    /// and a call that nobody runs would count as running, for ever.
    fn take_back(&mut self, unheard: Reply) {
        match unheard {
            Reply::Start(start) => self.step(Event::Cancel(start.call)),
            Reply::Verdict(Verdict::Run(key)) => self.step(Event::EndCall {
                key,
                end: Completion::NotRun,
            }),
            _ => {}
        }
    }

    fn send(&self, message: Message) {
        let _ = self.lines.peers.send(message);
    }

    fn reply(&mut self, call: CallId, reply: Reply) {
        if let Ok(at) = self.waiters.binary_search_by(|(have, _)| have.cmp(&call)) {
            let (_, sender) = self.waiters.remove(at);
            if let Err(unheard) = sender.send(reply) {
                self.take_back(unheard);
            }
        }
    }
}
