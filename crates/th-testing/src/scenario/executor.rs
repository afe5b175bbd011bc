//! A deterministic executor in virtual time, in milliseconds: tasks are polled in the order in which they were woken, and
//! time advances to the next timer when no task is ready.

use std::{
    cell::{Cell, RefCell},
    collections::{BTreeMap, BTreeSet, VecDeque},
    future::Future,
    pin::Pin,
    rc::Rc,
    sync::{Arc, Mutex},
    task::{Context, Poll, Waker},
};

use futures_util::{
    future::LocalBoxFuture,
    task::{ArcWake, waker},
};

type ReadyQueue = Arc<Mutex<VecDeque<u64>>>;

/// A task's process and its future. The future is `None` while it is polled and after its process was killed.
type Task = (Process, Option<LocalBoxFuture<'static, ()>>);

/// The number of a process, whose tasks are paused and killed together. Zero stands for the network and the callers.
pub(crate) type Process = u64;

struct TaskWaker {
    task: u64,
    ready: ReadyQueue,
}

impl ArcWake for TaskWaker {
    fn wake_by_ref(it: &Arc<TaskWaker>) {
        it.ready.lock().expect("no holder of this lock panics").push_back(it.task);
    }
}

/// The executor. Two runs with the same calls of `spawn` and `sleep` poll their tasks in the same order.
#[derive(Default)]
pub(crate) struct Executor {
    now: Cell<u64>,
    last_id: Cell<u64>,
    ready: ReadyQueue,
    tasks: RefCell<BTreeMap<u64, Task>>,
    timers: RefCell<BTreeMap<(u64, u64), Waker>>,
    paused: RefCell<BTreeSet<Process>>,
    parked: RefCell<Vec<u64>>,
}

impl Executor {
    pub(crate) fn now(&self) -> u64 {
        self.now.get()
    }

    fn next_id(&self) -> u64 {
        self.last_id.set(self.last_id.get() + 1);
        self.last_id.get()
    }

    pub(crate) fn spawn(&self, process: Process, task: impl Future<Output = ()> + 'static) {
        let id = self.next_id();
        self.tasks.borrow_mut().insert(id, (process, Some(Box::pin(task))));
        self.wake(id);
    }

    fn wake(&self, id: u64) {
        self.ready.lock().expect("no holder of this lock panics").push_back(id);
    }

    pub(crate) fn sleep(self: &Rc<Self>, span: u64) -> Sleep {
        Sleep { executor: Rc::clone(self), until: self.now() + span, key: None }
    }

    /// Drops the futures of all tasks of a process.
    pub(crate) fn kill(&self, process: Process) {
        self.paused.borrow_mut().remove(&process);
        let mut dropped = Vec::new();
        for (owner, task) in self.tasks.borrow_mut().values_mut() {
            if *owner == process {
                dropped.push(task.take());
            }
        }
    }

    pub(crate) fn pause(&self, process: Process) {
        self.paused.borrow_mut().insert(process);
    }

    pub(crate) fn resume(&self, process: Process) {
        self.paused.borrow_mut().remove(&process);
        for id in self.parked.take() {
            self.wake(id);
        }
    }

    /// Drops all tasks. They hold the simulation, which holds this executor, so the cycle would never be freed.
    pub(crate) fn clear(&self) {
        drop(self.tasks.take());
    }

    /// Runs ready tasks and timers until no timer is due before or at `until`.
    pub(crate) fn run(&self, until: u64) {
        loop {
            while let Some(id) = self.pop_ready() {
                self.poll_task(id);
            }
            let Some(timer) = self.timers.borrow_mut().first_entry().map(|it| *it.key()) else {
                return;
            };
            if until < timer.0 {
                return;
            }
            self.now.set(timer.0);
            let woken = self.timers.borrow_mut().remove(&timer);
            if let Some(it) = woken {
                it.wake();
            }
        }
    }

    fn pop_ready(&self) -> Option<u64> {
        self.ready.lock().expect("no holder of this lock panics").pop_front()
    }

    fn poll_task(&self, id: u64) {
        let Some((process, task)) =
            self.tasks.borrow_mut().get_mut(&id).map(|it| (it.0, it.1.take()))
        else {
            return;
        };
        let Some(mut task) = task else {
            return;
        };
        if self.paused.borrow().contains(&process) {
            self.parked.borrow_mut().push(id);
            self.tasks.borrow_mut().insert(id, (process, Some(task)));
            return;
        }
        let waker = waker(Arc::new(TaskWaker { task: id, ready: Arc::clone(&self.ready) }));
        let done = task.as_mut().poll(&mut Context::from_waker(&waker)).is_ready();
        let mut tasks = self.tasks.borrow_mut();
        match done {
            true => drop(tasks.remove(&id)),
            false => drop(tasks.insert(id, (process, Some(task)))),
        }
    }
}

/// A future that completes when virtual time reaches `until`.
pub(crate) struct Sleep {
    executor: Rc<Executor>,
    until: u64,
    key: Option<(u64, u64)>,
}

impl Future for Sleep {
    type Output = ();

    fn poll(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<()> {
        if self.until <= self.executor.now() {
            return Poll::Ready(());
        }
        let key = self.key.unwrap_or_else(|| (self.until, self.executor.next_id()));
        self.key = Some(key);
        self.executor.timers.borrow_mut().insert(key, cx.waker().clone());
        Poll::Pending
    }
}

impl Drop for Sleep {
    fn drop(&mut self) {
        if let Some(key) = self.key {
            self.executor.timers.borrow_mut().remove(&key);
        }
    }
}
