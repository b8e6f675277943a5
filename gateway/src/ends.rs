//! Finding out whether a server has ended under what ran there.

use std::io;
use std::rc::Rc;

use redwingfold_core::{BackendId, BackendServer, Broke, EndedRun, Millis, ServerState};

use crate::clock::{sleep, within};
use crate::gateway::Gateway;
use crate::net::connect;

/// Waits before the looks at whether a server still listens: one whose connections break as it ends may close its
/// listener a moment later.
const LOOKS: [Millis; 2] = [Millis(0), Millis(300)];

/// Time within which a connection stands or is refused.
const LOOK_LIMIT: Millis = Millis(500);

impl Gateway {
    /// Takes that a run broke off. A server that had announced its end was expected to break what it ran.
    ///
    /// Whether it has ended is looked at beside what goes on. Only a request under which one has ended before waits for
    /// that: sent on at once, it would meet a third server before the second was known to have ended.
    pub(crate) async fn broke(self: &Rc<Self>, server: &BackendServer, run: EndedRun) {
        if !self.is_ready_server(&server.id) {
            return;
        }
        let is_suspect = self.with_quarantine(|q| q.is_suspect(run.request));
        let broke = self.ends.borrow_mut().broke(&server.id, run, self.now());
        match broke {
            Broke::First => self.spawn(look(self.clone(), server.clone())),
            Broke::Ended => self.ended_under(&server.id, &[run]),
            Broke::Waits => {}
        }
        if is_suspect && broke != Broke::Ended {
            within(LOOK_LIMIT, self.looked_at(&server.id)).await;
        }
    }

    /// Waits until a server was looked at.
    async fn looked_at(&self, id: &BackendId) {
        loop {
            let looked = self.server_checked.listen();
            if !self.ends.borrow().is_unseen(id) {
                return;
            }
            looked.await;
        }
    }

    /// Takes that a server has ended: it refuses connections, or has started again.
    pub(crate) fn server_ended(&self, id: &BackendId) {
        let runs = self.ends.borrow_mut().ended(id, self.now());
        self.ended_under(id, &runs);
    }

    /// Takes that nobody listens at a server's address, or another one. One that had announced its end was expected to go.
    pub(crate) fn server_is_gone(&self, id: &BackendId) {
        if self.is_ready_server(id) {
            self.server_ended(id);
        }
    }

    fn is_ready_server(&self, id: &BackendId) -> bool {
        self.with_registry(|r| r.get(id).is_some_and(|known| known.state == ServerState::Ready))
    }

    /// Takes that a server's record is gone.
    pub(crate) fn server_lapsed(&self, id: &BackendId) {
        if self.is_ready_server(id) {
            let runs = self.ends.borrow_mut().lapsed(id, self.now());
            self.ended_under(id, &runs);
        }
    }
}

/// Looks at whether a server still listens.
async fn look(gw: Rc<Gateway>, server: BackendServer) {
    for pause in LOOKS {
        sleep(pause).await;
        let refused = match connect(server.addr, LOOK_LIMIT).await {
            Err(e) => e.kind() == io::ErrorKind::ConnectionRefused,
            Ok(_) => false,
        };
        if refused {
            gw.server_ended(&server.id);
        }
        gw.ends.borrow_mut().looked_at(&server.id);
        gw.server_checked.notify(usize::MAX);
        if refused {
            return;
        }
    }
}
