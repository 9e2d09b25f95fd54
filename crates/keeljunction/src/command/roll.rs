//! Rolls a bundle: the body to the object store, then one transaction on the table service.

use std::time::Duration;

use keeljunction_core::bundle::{self, Action, Roll, Signature};
use keeljunction_core::{Error, ErrorKind};
use uuid::Uuid;

use super::platform::{read_roll, unavailable};
use crate::platform::{AUDIT_PREFIX, Client, Commit, Fault, ROLL_KEY, Row, Transaction};
use crate::runtime;

/// How often a lost answer is looked for, and with what pause.
const LOOKS: u32 = 5;
const PAUSE: Duration = Duration::from_millis(200);

/// What is to be rolled.
pub(super) struct Order<'a> {
    pub version: &'a str,
    pub digest: String,
    pub signature: Signature,
    pub action: Action,
    pub operator: &'a str,
    /// Roll only if this is the number in force.
    pub above: Option<u64>,
}

/// Writes the body under its digest. Writing it twice changes nothing.
pub(super) async fn upload(client: &Client, body: &[u8]) -> Result<(), Error> {
    let put = client.put_object(&bundle::digest(body), body.to_vec().into()).await;
    put.map_err(|fault| unavailable(&fault))
}

/// Commits a roll, and finds out by its id where the answer is lost.
pub(super) async fn commit(client: &Client, order: Order<'_>) -> Result<Roll, Error> {
    let row = client.read(ROLL_KEY).await.map_err(|fault| unavailable(&fault))?;
    let current = row.as_ref().map(read_roll).transpose()?;
    check_above(current.as_ref(), order.above)?;
    let roll = Roll {
        number: bundle::next_number(current.as_ref()),
        digest: order.digest,
        version: order.version.to_owned(),
        action: order.action,
        operator: order.operator.to_owned(),
        unix_ms: runtime::unix_ms(),
        id: Uuid::new_v4().to_string(),
        signature: order.signature,
    };
    match client.commit(&transaction(row.as_ref(), &roll)).await {
        Ok(Commit::Done(_)) => Ok(roll),
        Ok(Commit::Conflict(_)) => Err(lost_race(client, &roll).await),
        Err(Fault::Unknown(_)) => look_for(client, roll).await,
        Err(fault) => Err(unavailable(&fault)),
    }
}

/// Names the audit row of a roll.
pub(super) fn audit_key(number: u64) -> String {
    format!("{AUDIT_PREFIX}{number:010}")
}

fn transaction(row: Option<&Row>, roll: &Roll) -> Transaction {
    let value = serde_json::to_string(roll).unwrap_or_default();
    let audit = audit_key(roll.number);
    Transaction::new()
        .expect(ROLL_KEY, row.map(|row| row.version))
        .expect(&audit, None)
        .put(ROLL_KEY, value.clone())
        .put(&audit, value)
}

fn check_above(current: Option<&Roll>, above: Option<u64>) -> Result<(), Error> {
    let number = current.map_or(0, |roll| roll.number);
    match (above, current) {
        (Some(above), Some(roll)) if above != number => Err(conflict(roll)),
        _ => Ok(()),
    }
}

/// Looks for a roll whose answer was lost, by its id, and never writes it again.
async fn look_for(client: &Client, roll: Roll) -> Result<Roll, Error> {
    for _ in 0..LOOKS {
        runtime::sleep(PAUSE).await;
        let Ok(row) = client.read(&audit_key(roll.number)).await else { continue };
        match row.as_ref().map(read_roll).transpose()? {
            Some(stands) if stands.id == roll.id => return Ok(roll),
            Some(stands) => return Err(conflict(&stands)),
            None => {}
        }
    }
    Err(Error::new(ErrorKind::Unavailable, "it is not known whether the roll took effect")
        .value(format!("roll {} with id {}", roll.number, roll.id))
        .tip(
            "look with `keeljunction bundle list` once the platform answers, before rolling again",
        ))
}

async fn lost_race(client: &Client, roll: &Roll) -> Error {
    let row = client.read(&audit_key(roll.number)).await.ok().flatten();
    match row.as_ref().map(read_roll) {
        Some(Ok(winner)) => conflict(&winner),
        _ => Error::new(ErrorKind::Conflict, "another operator rolled at the same moment"),
    }
}

fn conflict(winner: &Roll) -> Error {
    Error::new(ErrorKind::Conflict, "another roll came first")
        .value(format!("roll {}, version {}, by {}", winner.number, winner.version, winner.operator))
        .tip("look at it with `keeljunction bundle show`, then roll again if yours should go above it")
}
