//! The control thread: passes events to the kernel and performs its actions.

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

/// Time between tick events of the kernel.
pub const TICK_INTERVAL: Duration = Duration::from_millis(20);

/// Channels on which the kernel's actions are sent.
#[derive(Debug)]
pub struct Outputs {
    /// Jobs for the platform threads.
    pub jobs: Sender<Job>,
    /// Watches of the store, which block for up to ten seconds.
    pub watches: Sender<Job>,
    /// Messages to peers.
    pub peers: mpsc::UnboundedSender<Message>,
    /// Notified once, when a stopping process has stored its tombstone.
    pub exit: Sender<()>,
}

/// The control thread's own state.
#[derive(Debug)]
pub struct Control {
    handle: Arc<Handle>,
    kernel: Kernel,
    outputs: Outputs,
    pending_replies: Vec<(CallId, oneshot::Sender<Reply>)>,
}

impl Control {
    /// Creates the state; [`Control::run`] starts it.
    pub fn new(handle: Arc<Handle>, kernel: Kernel, outputs: Outputs) -> Self {
        Self {
            handle,
            kernel,
            outputs,
            pending_replies: Vec::new(),
        }
    }

    /// Handles events until the channel is closed.
    pub fn run(mut self, inputs: &Receiver<Input>) {
        let mut next_tick = Instant::now();
        loop {
            match inputs.recv_deadline(next_tick) {
                Ok(input) => self.receive(input),
                Err(RecvTimeoutError::Timeout) => {
                    next_tick = Instant::now() + TICK_INTERVAL;
                    self.handle_event(Event::Tick);
                }
                Err(RecvTimeoutError::Disconnected) => return,
            }
        }
    }

    fn receive(&mut self, input: Input) {
        if let Some((call, sender)) = input.reply_to {
            let at = self
                .pending_replies
                .partition_point(|(pending, _)| *pending < call);
            self.pending_replies.insert(at, (call, sender));
        }
        self.handle_event(input.event);
    }

    fn handle_event(&mut self, event: Event) {
        let started = Instant::now();
        for action in self.kernel.handle(self.handle.clock.now(), event) {
            self.perform(action);
        }
        self.handle
            .metrics
            .control_busy_us
            .inc_by(started.elapsed().as_micros() as u64);
    }

    fn perform(&mut self, action: Action) {
        match action {
            Action::Store(token, call) => {
                let queue = match call {
                    store::Call::Watch { .. } => &self.outputs.watches,
                    _ => &self.outputs.jobs,
                };
                let _ = queue.send(Job::Store(token, call));
            }
            Action::Heartbeat(address, heartbeat) => self.send(Message::Heartbeat(address, heartbeat)),
            Action::Pull(address, pull) => self.send(Message::Pull(address, pull)),
            Action::Collect(address, collect) => self.send(Message::Collect(address, collect)),
            Action::Reply(call, reply) => self.reply(call, *reply),
            Action::View(view) => {
                tracing::info!(event = "configuration-in-force", version = view.version);
                self.handle.metrics.configuration_version.set(view.version as i64);
                self.handle.view.store(view);
            }
            Action::Members(members) => {
                let live = members.iter().filter(|member| !member.gone).count();
                tracing::info!(
                    event = "members-changed",
                    live = live + 1,
                    gone = members.len() - live
                );
                self.handle.members.store(Arc::new(members));
            }
            Action::KeysTrusted(trusted) => {
                tracing::info!(event = "keys-trusted", trusted);
                self.handle.metrics.keys_trusted.set(i64::from(trusted));
                self.handle
                    .keys_trusted
                    .store(trusted, std::sync::atomic::Ordering::SeqCst);
            }
            Action::Report(grant, sealed_window) => {
                let _ = self.outputs.jobs.send(Job::Report(grant, sealed_window));
            }
            Action::Order(grant, order) => {
                let _ = self.outputs.jobs.send(Job::Order(grant, order));
            }
            Action::Exit => {
                let _ = self.outputs.exit.send(());
            }
        }
    }

    /// Reverts a reply whose receiver is gone. Otherwise the slot at a runner
    /// would stay occupied, or a call that no task runs would stay recorded as
    /// running, forever.
    fn revert_undelivered(&mut self, undelivered: Reply) {
        match undelivered {
            Reply::Start(start) => self.handle_event(Event::Cancel(start.call)),
            Reply::Verdict(Verdict::Run(key)) => self.handle_event(Event::EndCall {
                key,
                end: Completion::NotRun,
            }),
            _ => {}
        }
    }

    fn send(&self, message: Message) {
        let _ = self.outputs.peers.send(message);
    }

    fn reply(&mut self, call: CallId, reply: Reply) {
        if let Ok(at) = self
            .pending_replies
            .binary_search_by(|(pending, _)| pending.cmp(&call))
        {
            let (_, sender) = self.pending_replies.remove(at);
            if let Err(undelivered) = sender.send(reply) {
                self.revert_undelivered(undelivered);
            }
        }
    }
}
