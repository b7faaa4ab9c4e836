//! Event loops for emulated clients, backends and links: threads with a runtime and a set of local tasks. Tasks of one
//! loop share state without locks; other threads send it jobs.

use std::future::Future;
use std::sync::OnceLock;
use tokio::sync::mpsc::{UnboundedSender, unbounded_channel};
use tokio::task::LocalSet;

type Job = Box<dyn FnOnce() + Send>;

/// A thread with an event loop. It ends when the last handle is dropped.
#[derive(Clone, Debug)]
pub struct Loop {
    jobs: UnboundedSender<Job>,
}

impl Loop {
    /// Starts a loop.
    ///
    /// # Errors
    /// If the thread or its runtime can't be created.
    pub fn start(name: &str) -> std::io::Result<Self> {
        let (jobs, mut queue) = unbounded_channel::<Job>();
        let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
        std::thread::Builder::new().name(name.into()).spawn(move || {
            LocalSet::new().block_on(&runtime, async move {
                while let Some(job) = queue.recv().await {
                    job();
                }
            });
        })?;
        Ok(Self { jobs })
    }

    /// The loop of the links between processes of tests, started on first use.
    ///
    /// # Panics
    /// If its thread cannot be started.
    pub fn shared() -> &'static Self {
        static SHARED: OnceLock<Loop> = OnceLock::new();
        // Nothing can run without this thread.
        SHARED.get_or_init(|| Self::start("links").expect("a thread with a runtime"))
    }

    /// Runs a task on the loop.
    pub fn spawn<F>(&self, make: impl FnOnce() -> F + Send + 'static)
    where
        F: Future<Output = ()> + 'static,
    {
        let _ = self.jobs.send(Box::new(move || drop(tokio::task::spawn_local(make()))));
    }

    /// Runs a task on the loop and blocks until it returns; must not be called on the loop itself. `None` if the task
    /// panicked.
    pub fn wait<T, F>(&self, make: impl FnOnce() -> F + Send + 'static) -> Option<T>
    where
        T: Send + 'static,
        F: Future<Output = T> + 'static,
    {
        let (sender, result) = std::sync::mpsc::channel();
        self.spawn(move || async move { drop(sender.send(make().await)) });
        result.recv().ok()
    }
}
