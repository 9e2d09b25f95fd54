//! The steps of a server's shutdown.

use std::convert::Infallible;

/// A signal that is sent once and that any number of tasks can wait for.
#[derive(Clone, Debug)]
pub struct StopSignal {
    sender: async_channel::Sender<Infallible>,
    receiver: async_channel::Receiver<Infallible>,
}

impl StopSignal {
    /// Creates a signal that has not been sent.
    pub fn new() -> Self {
        let (sender, receiver) = async_channel::bounded(1);
        Self { sender, receiver }
    }

    /// Sends the signal. It cannot be withdrawn.
    pub fn send(&self) {
        self.sender.close();
    }

    /// Waits until the signal is sent.
    pub async fn wait(&self) {
        let _ = self.receiver.recv().await;
    }
}

impl Default for StopSignal {
    fn default() -> Self {
        Self::new()
    }
}

/// The steps of a server's shutdown, each with its signal.
///
/// Between the first two, a connection on which a request is under way is served: a client that was
/// directed here before the listener closed may not have sent its whole request head yet.
#[derive(Clone, Debug, Default)]
pub struct Shutdown {
    /// Closes the listener and the idle connections, and every other connection after its next
    /// response.
    pub accepting: StopSignal,
    /// Closes connections whose request head is incomplete.
    pub reading: StopSignal,
    /// Closes all connections, whatever is under way.
    pub responding: StopSignal,
}
