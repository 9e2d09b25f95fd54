//! Rolling of a bundle: uploads the body to the object store, then commits one transaction to the
//! table service.

use std::time::Duration;

use keeljunction_core::bundle::{self, Action, Roll, Signature};
use keeljunction_core::{Error, ErrorKind};
use uuid::Uuid;

use super::platform::{read_roll, unavailable};
use crate::platform::{AUDIT_PREFIX, Client, Commit, Fault, ROLL_KEY, Row, Transaction};
use crate::runtime;

/// Lookups of a roll after the response of its commit was lost.
const MAX_LOOKUPS: u32 = 5;
const LOOKUP_INTERVAL: Duration = Duration::from_millis(200);

/// A request to roll a bundle.
pub(super) struct RollRequest<'a> {
    pub version: &'a str,
    pub digest: String,
    pub signature: Signature,
    pub action: Action,
    pub operator: &'a str,
    /// If set, the roll fails unless this is the number of the active roll.
    pub above: Option<u64>,
}

/// Uploads the body under its digest, which makes the upload idempotent.
pub(super) async fn upload(client: &Client, body: &[u8]) -> Result<(), Error> {
    let put = client.put_object(&bundle::digest(body), body.to_vec().into()).await;
    put.map_err(|fault| unavailable(&fault))
}

/// Commits a roll. If the response is lost, looks the roll up by its ID.
pub(super) async fn commit(client: &Client, request: RollRequest<'_>) -> Result<Roll, Error> {
    let row = client.read(ROLL_KEY).await.map_err(|fault| unavailable(&fault))?;
    let current = row.as_ref().map(read_roll).transpose()?;
    check_above(current.as_ref(), request.above)?;
    let roll = Roll {
        number: bundle::next_number(current.as_ref()),
        digest: request.digest,
        version: request.version.to_owned(),
        action: request.action,
        operator: request.operator.to_owned(),
        unix_ms: runtime::unix_ms(),
        id: Uuid::new_v4().to_string(),
        signature: request.signature,
    };
    match client.commit(&transaction(row.as_ref(), &roll)).await {
        Ok(Commit::Done(_)) => Ok(roll),
        Ok(Commit::Conflict(_)) => Err(lost_race(client, &roll).await),
        Err(Fault::Unknown(_)) => find_committed(client, roll).await,
        Err(fault) => Err(unavailable(&fault)),
    }
}

/// Returns the key of the audit row of a roll.
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

/// Looks up a roll by its ID after the response of its commit was lost. Never repeats the commit.
async fn find_committed(client: &Client, roll: Roll) -> Result<Roll, Error> {
    for _ in 0..MAX_LOOKUPS {
        runtime::sleep(LOOKUP_INTERVAL).await;
        let Ok(row) = client.read(&audit_key(roll.number)).await else { continue };
        match row.as_ref().map(read_roll).transpose()? {
            Some(found) if found.id == roll.id => return Ok(roll),
            Some(found) => return Err(conflict(&found)),
            None => {}
        }
    }
    Err(Error::new(ErrorKind::Unavailable, "unknown whether the roll was committed")
        .value(format!("roll {} with id {}", roll.number, roll.id))
        .tip("run `keeljunction bundle list` when the platform is available, before rolling again"))
}

async fn lost_race(client: &Client, roll: &Roll) -> Error {
    let row = client.read(&audit_key(roll.number)).await.ok().flatten();
    match row.as_ref().map(read_roll) {
        Some(Ok(winner)) => conflict(&winner),
        _ => Error::new(ErrorKind::Conflict, "another operator committed a roll at the same time"),
    }
}

fn conflict(winner: &Roll) -> Error {
    Error::new(ErrorKind::Conflict, "another roll came first")
        .value(format!(
            "roll {}, version {}, by {}",
            winner.number, winner.version, winner.operator
        ))
        .tip("run `keeljunction bundle show` to see it, then roll again if yours should replace it")
}
