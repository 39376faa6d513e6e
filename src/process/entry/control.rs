//! Control thread of an entry.

mod api;
mod configuration;
mod contacts;
mod exchange;
mod explain;
mod fleet;
mod limits;
mod moves;
mod records;
mod status;
mod targets;

use std::{
    cell::{
        Cell,
        RefCell, //
    },
    net::{
        SocketAddr,
        TcpListener, //
    },
    rc::Rc,
    sync::{
        Arc,
        atomic::Ordering, //
    },
};

use tokio::sync::{
    Notify,
    mpsc, //
};

use self::{
    api::Command,
    contacts::Contacts,
    fleet::Fleet,
    limits::Limits,
    moves::Moves, //
};
use super::{
    context::{
        Context,
        RecordRequest, //
    },
    moves::MoveSample, //
};
use crate::{
    error::Result,
    names::Incarnation,
    process::{
        config_store::ConfigStore,
        membership::{
            Report,
            Role, //
        },
        peer::{
            self,
            PeerConnections, //
        },
        stop, //
    },
    version::freshness::Freshness, //
};
pub(super) use limits::RateLimiters;

/// Requests of RPC methods that wait for the control loop.
const COMMAND_CAPACITY: usize = 1_024;

/// State of the control thread, shared by its tasks.
struct Control {
    context: Arc<Context>,
    address: SocketAddr,
    store: ConfigStore,
    peer_connections: PeerConnections,
    fleet: RefCell<Fleet>,
    contacts: RefCell<Contacts>,
    freshness: RefCell<Freshness>,
    sequence: Cell<u64>,
    /// Notified when another revision was applied.
    revised: Notify,
    limits: Limits,
    moves: Moves,
}

/// Runs the control thread until the process ends.
pub(super) async fn run(
    context: Arc<Context>,
    listener: TcpListener,
    record_requests: mpsc::Receiver<RecordRequest>,
    mut samples: mpsc::Receiver<MoveSample>,
) -> Result<()> {
    let (commands, mut inbox) = mpsc::channel(COMMAND_CAPACITY);
    let address = stop::local(&listener)?;
    let handle = peer::serve(listener, api::methods(commands)?)?;
    let control = Rc::new(Control::new(context, address));
    ntex::rt::spawn(Rc::clone(&control).follow_peers());
    ntex::rt::spawn(Rc::clone(&control).follow_platform());
    ntex::rt::spawn(Rc::clone(&control).follow_list());
    ntex::rt::spawn(Rc::clone(&control).exchange());
    ntex::rt::spawn(Rc::clone(&control).publish_targets());
    ntex::rt::spawn(Rc::clone(&control).share_limits());
    ntex::rt::spawn(Rc::clone(&control).follow_moves());
    ntex::rt::spawn(Rc::clone(&control).sweep_records());
    ntex::rt::spawn(Rc::clone(&control).learn_moves());
    ntex::rt::spawn(records::run(Arc::clone(&control.context), record_requests));
    loop {
        tokio::select! {
            Some(command) = inbox.recv() => control.execute(command),
            Some(sample) = samples.recv() => control.take_sample(&sample),
            () = handle.clone().stopped() => return Ok(()),
        }
    }
}

impl Control {
    fn new(context: Arc<Context>, address: SocketAddr) -> Self {
        let shared = Arc::clone(&context);
        let store = ConfigStore::new(context.log.clone(), move |config| shared.publish(config));
        let settings = &context.settings;
        let fleet = Fleet::new(settings.name.clone(), settings.data_centre.clone());
        let control = Self {
            store,
            peer_connections: PeerConnections::default(),
            fleet: RefCell::new(fleet),
            contacts: RefCell::new(Contacts::new(settings.peers.clone(), address)),
            freshness: RefCell::default(),
            sequence: Cell::new(0),
            revised: Notify::new(),
            limits: Limits::new(settings, context.incarnation),
            moves: Moves::default(),
            address,
            context,
        };
        control.note_self();
        control
    }

    fn execute(self: &Rc<Self>, command: Command) {
        // A caller that has gone away needs no answer.
        match command {
            Command::Peer(command) => {
                let exchange = |digest: &_| self.take_exchange(digest);
                command.execute(&self.store, exchange, || self.known_moves());
            }
            Command::Report(report, sender) => drop(sender.send(self.take_report(report))),
            Command::Limits(report, sender) => {
                drop(sender.send(self.take_limit_report(&report)));
            }
            Command::LimitDirective(directive, sender) => {
                drop(sender.send(self.take_directive(&directive)));
            }
            Command::MoveReport(report, sender) => {
                drop(sender.send(self.take_move_report(&report)));
            }
            Command::Cut(cut, sender) => {
                self.take_cut(&cut);
                let _ = sender.send(());
            }
            Command::Status(sender) => drop(sender.send(self.status())),
            Command::Explain(request, sender) => {
                let control = Rc::clone(self);
                ntex::rt::spawn(async move {
                    drop(sender.send(control.explain(&request).await));
                });
            }
        }
    }

    /// Returns the report of this entry.
    fn own_report(&self) -> Report {
        let context = &self.context;
        let running = context.running.load(Ordering::Relaxed);
        self.sequence.set(self.sequence.get() + 1);
        Report {
            name: context.settings.name.clone(),
            role: Role::Entry,
            data_centre: context.settings.data_centre.clone(),
            service: "".into(),
            control_address: self.address,
            incarnation: context.incarnation,
            sequence: self.sequence.get(),
            is_leaving: context.is_leaving(),
            revision: self.store.revision(),
            running: u32::try_from(running).unwrap_or(u32::MAX),
            queued: 0,
            queue_us: 0,
            engine: Incarnation::default(),
            versions: Vec::new(),
        }
    }

    /// Lists this entry among the members, for duties that they share out.
    fn note_self(&self) {
        let now_us = self.context.clock.now_us();
        let mut fleet = self.fleet.borrow_mut();
        // The own state needs no log record.
        let _ = fleet.members.apply_report(self.own_report(), now_us);
    }
}
