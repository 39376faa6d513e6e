//! Guards against listeners that drop connection requests when many streams
//! start at once; a dropped request is repeated only after a second.

use std::{
    net::TcpStream,
    time::Duration, //
};

use yuccalatch::process::stop::{
    bind,
    local, //
};

/// More than the 128 that the standard library's listeners let wait.
const CONNECTIONS: usize = 300;

/// Ends the test when the connection requests are dropped.
const PATIENCE: Duration = Duration::from_secs(20);

#[test]
fn connections_wait_for_a_busy_server() {
    let listener = bind("127.0.0.1:0".parse().unwrap()).unwrap();
    let address = local(&listener).unwrap();
    // Nobody accepts.
    let connections: Vec<_> = (0..CONNECTIONS)
        .map(|_| TcpStream::connect_timeout(&address, PATIENCE).unwrap())
        .collect();
    assert_eq!(connections.len(), CONNECTIONS);
}
