//! Communication between instances: digests and token requests over UDP, copies
//! of tables over TCP.

use std::collections::{BTreeMap, BTreeSet};
use std::error::Error;
use std::fmt::Display;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use serde_json::json;
use tarragonpulley_policy::entry::crash::{CrashReport, ServedReport};
use tarragonpulley_policy::entry::digest::{
    InstanceDigest, SectionTag, ServerIncarnation, ServerTag, SuspectReason, split_by_size,
};
use tarragonpulley_policy::entry::names::{CentreName, RegionName};
use tarragonpulley_policy::entry::server_limit::LimitReport;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream, UdpSocket};

use crate::instance::{FleetView, Instance};
use crate::mirror::TableMirror;
use crate::table::{TableBatch, TableEra, TableKind};
use crate::team_limits::{TokenRequest, TokenResponse, abridge_shares};
use crate::usage::UsageMessage;

/// Time between two digests to the other instances of the data centre.
const DIGEST_INTERVAL: Duration = Duration::from_millis(500);

/// One of this many digests is also sent to the other data centres.
const LOCAL_DIGESTS_PER_REMOTE: u64 = 2;

/// Unusable idle connections to servers are closed once in this many digests.
const DIGESTS_PER_POOL_CHECK: u64 = 10;

/// The maximum size of the digests in a datagram. With the other fields the
/// datagram stays below the usual path MTU.
const MAX_DIGEST_BYTES: usize = 1290;

/// Bytes of the length prefix of a digest in a datagram.
const LENGTH_PREFIX_BYTES: usize = 3;

/// The maximum size of a copy of a table over TCP.
const MAX_COPY_BYTES: u32 = 16 * 1024 * 1024;

/// The maximum size of a request for a copy.
const MAX_REQUEST_BYTES: u32 = 256;

/// The maximum size that the lengths in a datagram may add up to.
const MAX_DATAGRAM_BYTES: usize = 64 * 1024;

/// Timeout of an exchange with another instance, beyond the wait that it asks
/// for: two round trips between regions, and scheduling pauses of the other
/// instance.
const EXCHANGE_TIMEOUT: Duration = Duration::from_millis(600);

/// The maximum age of a copy while a read of it waits for a change; at this age
/// the read is completed. A table reader renews its copies about every second.
/// An older copy means that it has lost the table service, and the instances
/// that rely on it must notice well within the limits on the age of the
/// configuration and of drains.
const MAX_RELAY_AGE: Duration = Duration::from_millis(1350);

/// Timeout of a connection from another instance.
const CONNECTION_TIMEOUT: Duration = Duration::from_secs(5);

/// A datagram between instances.
#[derive(Debug, Serialize, Deserialize)]
pub(crate) enum PeerMessage {
    /// Digests of the sender or that the sender received.
    Digests {
        /// Whether the receiver relays the digests in its data centre.
        relay: bool,
        /// Each is encoded separately, so that it is encoded once for all
        /// datagrams and receivers.
        digests: Vec<Vec<u8>>,
    },
    /// Requests a token of a team's limit from the quota holder of the data
    /// centre.
    Ask(TokenRequest),
    /// The quota holder's response.
    Grant(TokenResponse),
    /// Requests the digests that the receiver has of data centres which the sender
    /// does not hear.
    Missing(BTreeSet<CentreName>),
    /// Counts of requests for the usage reports, or their acknowledgement.
    Usage(UsageMessage),
    /// The response to the token request with this number if the receiver is not the
    /// quota holder.
    NotHolder(u64),
}

/// The fields of a digest that were added after its first encoding. They follow the
/// digest's other fields; instances of earlier versions send none and ignore them.
#[derive(Debug, Default, Serialize, Deserialize)]
struct DigestExtension {
    server_limits: Vec<LimitReport>,
}

/// The fields that were added after [`DigestExtension`], which they follow.
#[derive(Debug, Default, Serialize, Deserialize)]
struct LaterExtension {
    leaving_servers: Vec<ServerIncarnation>,
    crash_reports: Vec<CrashReport>,
    served_reports: Vec<ServedReport>,
}

impl LaterExtension {
    fn is_empty(&self) -> bool {
        self.leaving_servers.is_empty()
            && self.crash_reports.is_empty()
            && self.served_reports.is_empty()
    }
}

/// The sections of a digest, which follow [`LaterExtension`].
#[derive(Debug, Default, Serialize, Deserialize)]
struct SectionExtension {
    sections: BTreeMap<SectionTag, Vec<u8>>,
}

#[derive(Debug, Serialize, Deserialize)]
struct CopyRequest {
    table: TableKind,
    after: Option<u64>,
    wait_ms: u32,
}

/// Follows a request for a copy, and the copy: the era of their versions. Instances of
/// earlier versions send none and ignore it.
#[derive(Debug, Default, Serialize, Deserialize)]
struct CopyExtension {
    era: Option<TableEra>,
}

/// Another instance's copy of a table.
#[derive(Debug, Serialize, Deserialize)]
pub(crate) struct TableCopy {
    pub(crate) batch: TableBatch,
    /// Whether the instance itself reads the table service, and its last read
    /// succeeded.
    pub(crate) is_direct: bool,
}

/// Why an exchange with another instance failed.
#[derive(Debug, thiserror::Error)]
pub(crate) enum PeerError {
    #[error("no response within the timeout")]
    Timeout,
    #[error("the connection failed: {0}")]
    Connection(#[from] io::Error),
    #[error("the message cannot be decoded: {0}")]
    Decode(#[from] bincode::error::DecodeError),
    #[error("the message cannot be encoded: {0}")]
    Encode(#[from] bincode::error::EncodeError),
}

pub(crate) fn encode<T: Serialize>(value: &T) -> Result<Vec<u8>, bincode::error::EncodeError> {
    bincode::serde::encode_to_vec(value, bincode::config::standard())
}

/// A message, and the result of decoding the extension that follows it, if one does.
type Extended<T, E> = (T, Option<Result<E, bincode::error::DecodeError>>);

/// Encodes a message and an extension, which earlier versions ignore.
fn encode_extended<T: Serialize, E: Serialize>(
    value: &T,
    extension: &E,
) -> Result<Vec<u8>, bincode::error::EncodeError> {
    Ok([encode(value)?, encode(extension)?].concat())
}

/// Decodes a value of at most `LIMIT` bytes; returns it with the bytes that follow it.
/// Without a limit, a length in the message would be allocated before it is compared with
/// the bytes that follow.
fn decode_part<T: DeserializeOwned, const LIMIT: usize>(
    bytes: &[u8],
) -> Result<(T, &[u8]), bincode::error::DecodeError> {
    let config = bincode::config::standard().with_limit::<LIMIT>();
    let (value, length) = bincode::serde::decode_from_slice(bytes, config)?;
    Ok((value, &bytes[length..]))
}

/// Decodes a message and its extension.
fn decode_extended<T: DeserializeOwned, E: DeserializeOwned, const LIMIT: usize>(
    bytes: &[u8],
) -> Result<Extended<T, E>, bincode::error::DecodeError> {
    let (value, rest) = decode_part::<_, LIMIT>(bytes)?;
    let decode_rest = || decode_part::<_, LIMIT>(rest).map(|(value, _)| value);
    Ok((value, (!rest.is_empty()).then(decode_rest)))
}

pub(crate) fn decode_datagram<T: DeserializeOwned>(
    bytes: &[u8],
) -> Result<T, bincode::error::DecodeError> {
    decode_extended::<T, (), MAX_DATAGRAM_BYTES>(bytes).map(|(value, _)| value)
}

/// Decodes a section of a digest. `None` if the digest has no such section.
pub(crate) fn decode_section<T: DeserializeOwned>(
    digest: &InstanceDigest,
    tag: SectionTag,
) -> Option<Result<T, bincode::error::DecodeError>> {
    let bytes = digest.sections.get(&tag)?;
    Some(decode_part::<T, MAX_DATAGRAM_BYTES>(bytes).map(|(value, _)| value))
}

/// Encodes a digest with its extension, if that holds anything.
pub(crate) fn encode_digest(
    digest: &InstanceDigest,
) -> Result<Vec<u8>, bincode::error::EncodeError> {
    let later = LaterExtension {
        leaving_servers: digest.leaving_servers.clone(),
        crash_reports: digest.crash_reports.clone(),
        served_reports: digest.served_reports.clone(),
    };
    let has_sections = !digest.sections.is_empty();
    let has_later = has_sections || !later.is_empty();
    if digest.server_limits.is_empty() && !has_later {
        return encode(digest);
    }
    let server_limits = digest.server_limits.clone();
    let mut bytes = encode_extended(digest, &DigestExtension { server_limits })?;
    if has_later {
        bytes.extend(encode(&later)?);
    }
    if has_sections {
        let sections = digest.sections.clone();
        bytes.extend(encode(&SectionExtension { sections })?);
    }
    Ok(bytes)
}

/// Decodes a digest with its extensions, if there are any. The second value says why an
/// extension cannot be decoded; the sender is live all the same.
pub(crate) fn decode_digest(
    bytes: &[u8],
) -> Result<(InstanceDigest, Option<bincode::error::DecodeError>), bincode::error::DecodeError> {
    let (mut digest, rest) = decode_part::<InstanceDigest, MAX_DATAGRAM_BYTES>(bytes)?;
    let result = decode_digest_extensions(&mut digest, rest);
    Ok((digest, result.err()))
}

/// The extensions follow each other in the order in which they were added, and instances
/// of earlier versions send only the first ones.
fn decode_digest_extensions(
    digest: &mut InstanceDigest,
    bytes: &[u8],
) -> Result<(), bincode::error::DecodeError> {
    if bytes.is_empty() {
        return Ok(());
    }
    let (limits, rest) = decode_part::<DigestExtension, MAX_DATAGRAM_BYTES>(bytes)?;
    digest.server_limits = limits.server_limits;
    if rest.is_empty() {
        return Ok(());
    }
    let (later, rest) = decode_part::<LaterExtension, MAX_DATAGRAM_BYTES>(rest)?;
    digest.leaving_servers = later.leaving_servers;
    digest.crash_reports = later.crash_reports;
    digest.served_reports = later.served_reports;
    if rest.is_empty() {
        return Ok(());
    }
    let (last, _unknown) = decode_part::<SectionExtension, MAX_DATAGRAM_BYTES>(rest)?;
    digest.sections = last.sections;
    Ok(())
}

async fn write_message(stream: &mut TcpStream, bytes: &[u8]) -> io::Result<()> {
    let length = u32::try_from(bytes.len())
        .map_err(|_large| io::Error::from(io::ErrorKind::InvalidInput))?;
    stream
        .write_all(&[&length.to_be_bytes(), bytes].concat())
        .await
}

async fn read_message(stream: &mut TcpStream, max_bytes: u32) -> io::Result<Vec<u8>> {
    let length = stream.read_u32().await?;
    if length > max_bytes {
        return Err(io::Error::from(io::ErrorKind::InvalidData));
    }
    // Grows with the bytes that arrive, whatever the sender announced.
    let mut bytes = Vec::new();
    stream
        .take(u64::from(length))
        .read_to_end(&mut bytes)
        .await?;
    if bytes.len() < usize::try_from(length).unwrap_or(usize::MAX) {
        return Err(io::Error::from(io::ErrorKind::UnexpectedEof));
    }
    Ok(bytes)
}

/// Reads another instance's copy of a table; waits up to `wait` for a change
/// after the version `after` of `era`. `None` if the instance has no copy.
pub(crate) async fn read_from_peer(
    peer: SocketAddr,
    table: TableKind,
    era: Option<TableEra>,
    after: Option<u64>,
    wait: Duration,
) -> Result<Option<TableCopy>, PeerError> {
    let exchange = async {
        let mut stream = TcpStream::connect(peer).await?;
        let wait_ms = u32::try_from(wait.as_millis()).unwrap_or(u32::MAX);
        write_message(
            &mut stream,
            &encode_extended(
                &CopyRequest {
                    table,
                    after,
                    wait_ms,
                },
                &CopyExtension { era },
            )?,
        )
        .await?;
        let bytes = read_message(&mut stream, MAX_COPY_BYTES).await?;
        let (mut copy, extension): Extended<Option<TableCopy>, CopyExtension> =
            decode_extended::<_, _, { MAX_COPY_BYTES as usize }>(&bytes)?;
        let extension = extension.transpose()?.unwrap_or_default();
        if let Some(copy) = &mut copy {
            copy.batch.era = extension.era;
            copy.batch.is_copy = true;
        }
        Ok(copy)
    };
    match tokio::time::timeout(wait + EXCHANGE_TIMEOUT, exchange).await {
        Ok(result) => result,
        Err(_elapsed) => Err(PeerError::Timeout),
    }
}

impl Instance {
    /// Serves this instance's table copies to other instances.
    pub(crate) async fn serve_peers(self: Rc<Self>, listener: Rc<TcpListener>) {
        loop {
            let Ok((stream, _)) = listener.accept().await else {
                actix_rt::time::sleep(Duration::from_millis(50)).await;
                continue;
            };
            let instance = Rc::clone(&self);
            actix_rt::spawn(async move {
                let served = instance.serve_peer(stream);
                match tokio::time::timeout(CONNECTION_TIMEOUT, served).await {
                    Ok(Ok(())) => {}
                    Ok(Err(error)) => {
                        instance
                            .log
                            .event("peer_request_failed", json!({"reason": error.to_string()}));
                    }
                    Err(_elapsed) => {
                        instance.log.event(
                            "peer_request_failed",
                            json!({"reason": "the exchange timed out"}),
                        );
                    }
                }
            });
        }
    }

    async fn serve_peer(&self, mut stream: TcpStream) -> Result<(), PeerError> {
        let bytes = read_message(&mut stream, MAX_REQUEST_BYTES).await?;
        let (request, extension): Extended<CopyRequest, CopyExtension> =
            decode_extended::<_, _, { MAX_REQUEST_BYTES as usize }>(&bytes)?;
        let era = extension.transpose()?.unwrap_or_default().era;
        let wait = Duration::from_millis(request.wait_ms.into());
        let continues = || {
            let mirrors = self.mirrors.borrow();
            let mirror = mirrors.get(&request.table);
            request.after.is_some() && mirror.is_none_or(|mirror| mirror.is_same_era(era))
        };
        let is_current = || continues() && self.upto(request.table) <= request.after;
        let age = {
            let mirrors = self.mirrors.borrow();
            let proof = mirrors
                .get(&request.table)
                .and_then(TableMirror::last_proof);
            proof.map_or(Duration::MAX, |proof| {
                self.proof_now().saturating_duration_since(proof)
            })
        };
        let wait = wait.min(MAX_RELAY_AGE.saturating_sub(age));
        if is_current() && !wait.is_zero() {
            // The response is sent with or without a change.
            drop(tokio::time::timeout(wait, self.table_changed.notified()).await);
        }
        let is_direct = self.table_failed_at.get().is_none();
        let after = request.after.filter(|_| continues());
        let copy: Option<TableCopy> = {
            let mirrors = self.mirrors.borrow();
            let batch = mirrors
                .get(&request.table)
                .and_then(|mirror| mirror.changes_since(after, self.proof_now()));
            batch.map(|batch| TableCopy { batch, is_direct })
        };
        let era = copy.as_ref().and_then(|copy| copy.batch.era);
        write_message(
            &mut stream,
            &encode_extended(&copy, &CopyExtension { era })?,
        )
        .await?;
        Ok(())
    }

    fn build_digest(&self, sequence: u64) -> InstanceDigest {
        let now = self.now();
        let demands = self.limits.centre_quota.borrow_mut().report(now);
        let shares = self.share_section(sequence, &demands);
        let sections = self.digest_sections(shares, now);
        #[expect(
            clippy::cast_possible_truncation,
            reason = "rates of a few thousand at most"
        )]
        let demands = demands
            .into_iter()
            .map(|(team, rate)| (team, rate as f32))
            .collect();
        InstanceDigest {
            record: self.peers.borrow().own().clone(),
            sequence,
            state: self.state(),
            demands,
            trials: self.rollouts.borrow().evidence(),
            crashes: self.crashes.borrow().counts(now),
            loads: self.servers.borrow().loads(),
            regions: self.regions.report(now),
            suspects: self.servers.borrow().suspects(&self.reach.borrow(), now),
            server_limits: self.servers.borrow().limit_reports(now),
            leaving_servers: self.servers.borrow().leaving_reports(now),
            crash_reports: self.crashes.borrow().crash_reports(now),
            served_reports: self.crashes.borrow().served_reports(now),
            sections,
        }
    }

    /// The sections of the features that are in use.
    fn digest_sections(
        &self,
        shares: Option<Vec<u8>>,
        now: Instant,
    ) -> BTreeMap<SectionTag, Vec<u8>> {
        let sections = [
            (SectionTag::QUOTA_SHARES, shares),
            (SectionTag::DUTIES, self.encode_usage_section()),
            (SectionTag::LINK, self.encode_link_section(now)),
            (SectionTag::ENDED_SERVERS, self.encode_ended_section(now)),
            (SectionTag::COLD_SERVERS, self.encode_cold_section(now)),
        ];
        sections
            .into_iter()
            .filter_map(|(tag, bytes)| Some((tag, bytes?)))
            .collect()
    }

    /// Encodes a section of the digest; logs a failure.
    pub(crate) fn encode_section<T: Serialize>(&self, section: &T) -> Option<Vec<u8>> {
        let result = encode(section);
        if let Err(error) = &result {
            let reason = error.to_string();
            self.log
                .event("digest_section_not_sent", json!({"reason": reason}));
        }
        result.ok()
    }

    /// Reads a section of another instance's digest. One that cannot be decoded is logged
    /// and counts as missing.
    pub(crate) fn read_section<T: DeserializeOwned>(
        &self,
        digest: &InstanceDigest,
        tag: SectionTag,
    ) -> Option<T> {
        decode_section(digest, tag)?
            .inspect_err(|error| self.log_ignored_extension(&digest.record.name, error))
            .ok()
    }

    /// Logs that a part of another instance's digest cannot be decoded.
    pub(crate) fn log_ignored_extension(&self, sender: &dyn Display, error: &dyn Error) {
        self.log.event(
            "digest_extension_ignored",
            json!({"sender": sender.to_string(), "reason": error.to_string()}),
        );
    }

    /// The number of the next digest. Kept when the task that sends digests is started
    /// again: receivers ignore digests with a number that they know.
    fn next_digest_number(&self) -> u64 {
        let number = self.digest_sequence.get() + 1;
        self.digest_sequence.set(number);
        number
    }

    /// Sends digests periodically and on request until the process ends.
    pub(crate) async fn send_digests(self: Rc<Self>) {
        let mut sequence: u64 = 0;
        loop {
            sequence += 1;
            let now = self.now();
            let own = self.datagrams(false, &[self.build_digest(self.next_digest_number())]);
            self.send_all(&self.centre_peer_addresses(), &own).await;
            let is_requested = tokio::select! {
                () = self.digest_requested.notified() => true,
                () = actix_rt::time::sleep(DIGEST_INTERVAL) => false,
            };
            let due =
                is_requested || sequence.is_multiple_of(LOCAL_DIGESTS_PER_REMOTE) || sequence < 4;
            // A leaving instance sends to the other data centres itself, as
            // its delegate may be shutting down too.
            if due && (self.peers.borrow().is_delegate(now) || self.leaving.get()) {
                let mut digests = vec![self.build_digest(self.next_digest_number())];
                let others = self.peers.borrow().centre_digests(now);
                digests.extend(others.into_iter().map(abridge_shares));
                let targets: Vec<SocketAddr> = self
                    .peers
                    .borrow()
                    .remote_delegates(now)
                    .iter()
                    .map(|record| record.peer)
                    .collect();
                self.send_all(&targets, &self.datagrams(true, &digests))
                    .await;
                self.request_missing_digests().await;
            }
            self.apply_peer_reports();
            self.update_region_shares();
            if sequence.is_multiple_of(DIGESTS_PER_POOL_CHECK) {
                self.servers.borrow().close_unusable_connections();
            }
        }
    }

    /// Asks one data centre of each region for the digests of those that are not
    /// heard.
    async fn request_missing_digests(&self) {
        let now = self.now();
        let missing = self.peers.borrow().missing_centres(now);
        if missing.is_empty() {
            return;
        }
        let targets: BTreeMap<RegionName, SocketAddr> = {
            let peers = self.peers.borrow();
            let delegates = peers.remote_delegates(now).into_iter();
            delegates
                .filter(|record| !missing.contains(&record.centre))
                .map(|record| (record.region.clone(), record.peer))
                .collect()
        };
        let message = PeerMessage::Missing(missing);
        for target in targets.into_values() {
            self.send_message(target, &message).await;
        }
    }

    /// Encodes digests into as few datagrams as they fit in.
    fn datagrams(&self, relay: bool, digests: &[InstanceDigest]) -> Vec<Vec<u8>> {
        let encode_all = || -> Result<Vec<Vec<u8>>, bincode::error::EncodeError> {
            let encoded: Vec<Vec<u8>> = digests
                .iter()
                .map(encode_digest)
                .collect::<Result<_, _>>()?;
            split_by_size(encoded, LENGTH_PREFIX_BYTES, MAX_DIGEST_BYTES)
                .into_iter()
                .map(|digests| encode(&PeerMessage::Digests { relay, digests }))
                .collect()
        };
        encode_all().unwrap_or_else(|error| {
            self.log
                .event("digest_not_sent", json!({"reason": error.to_string()}));
            Vec::new()
        })
    }

    async fn send_all(&self, targets: &[SocketAddr], datagrams: &[Vec<u8>]) {
        for target in targets {
            for bytes in datagrams {
                self.send_datagram(*target, bytes).await;
            }
        }
    }

    fn centre_peer_addresses(&self) -> Vec<SocketAddr> {
        let peers = self.peers.borrow();
        peers.centre_peers().map(|record| record.peer).collect()
    }

    /// Receives datagrams until the process ends.
    pub(crate) async fn receive_digests(self: Rc<Self>, socket: Rc<UdpSocket>) {
        let mut buffer = vec![0_u8; 64 * 1024];
        loop {
            let Ok((count, sender)) = socket.recv_from(&mut buffer).await else {
                actix_rt::time::sleep(Duration::from_millis(50)).await;
                continue;
            };
            match decode_datagram(&buffer[..count]) {
                Ok(PeerMessage::Digests { relay, digests }) => {
                    self.receive_digest_bundle(relay, digests, sender).await;
                }
                Ok(PeerMessage::Ask(request)) => {
                    let response = self.token_response(&request);
                    self.send_message(sender, &response).await;
                }
                Ok(PeerMessage::NotHolder(id)) => self.limits.refuse_request(id),
                Ok(PeerMessage::Grant(response)) => self.limits.complete_request(response),
                Ok(PeerMessage::Missing(centres)) => {
                    let digests = self.peers.borrow().digests_of(&centres, self.now());
                    self.send_all(&[sender], &self.datagrams(true, &digests))
                        .await;
                }
                Ok(PeerMessage::Usage(message)) => {
                    self.receive_usage_message(message, sender).await;
                }
                Err(error) => self.log_ignored_datagram(sender, &error),
            }
        }
    }

    async fn receive_digest_bundle(&self, relay: bool, digests: Vec<Vec<u8>>, sender: SocketAddr) {
        let now = self.now();
        let mut fresh = Vec::new();
        for bytes in digests {
            let digest = match decode_digest(&bytes) {
                Ok((digest, None)) => digest,
                Ok((digest, Some(error))) => {
                    self.log_ignored_extension(&sender, &error);
                    digest
                }
                Err(error) => {
                    self.log_ignored_datagram(sender, &error);
                    continue;
                }
            };
            let direct = digest.record.peer == sender;
            if self.peers.borrow_mut().receive(digest.clone(), direct, now) {
                self.receive_shares(&digest);
                self.receive_ended(&digest, now);
                self.receive_cold(&digest, now);
                fresh.push(digest);
            }
        }
        if relay && !fresh.is_empty() {
            let datagrams = self.datagrams(false, &fresh);
            self.send_all(&self.centre_peer_addresses(), &datagrams)
                .await;
        }
    }

    fn log_ignored_datagram(&self, sender: SocketAddr, error: &bincode::error::DecodeError) {
        self.log.event(
            "datagram_ignored",
            json!({"sender": sender.to_string(), "reason": error.to_string()}),
        );
    }

    /// Sends one datagram. It may be lost; senders that need a response use a
    /// timeout.
    pub(crate) async fn send_message(&self, target: SocketAddr, message: &PeerMessage) {
        match encode(message) {
            Ok(bytes) => self.send_datagram(target, &bytes).await,
            Err(error) => self
                .log
                .event("datagram_not_sent", json!({"reason": error.to_string()})),
        }
    }

    async fn send_datagram(&self, target: SocketAddr, bytes: &[u8]) {
        let Some(socket) = self.socket.get() else {
            return;
        };
        self.metrics
            .datagram_bytes
            .inc_by(u64::try_from(bytes.len()).unwrap_or(0));
        // Lost datagrams need no handling: digests are sent periodically, and
        // token requests have a timeout.
        drop(socket.send_to(bytes, target).await);
    }

    /// Applies the other instances' reports of load and suspects to the
    /// servers' health.
    fn apply_peer_reports(&self) {
        let now = self.now();
        let peers = self.peers.borrow();
        let loads = peers.other_loads(now);
        let suspects = peers.suspects(now);
        let limits = peers.server_limits(now);
        let leaving = peers.leaving_servers(now);
        let reported = self.servers.borrow_mut().add_reported_leaving(&leaving);
        for server in reported {
            self.record_leaving(&server, None, now);
        }
        let mut view = FleetView {
            ready: peers.ready(now).map(|record| record.name.clone()).collect(),
            excluded: BTreeSet::new(),
        };
        for server in self.servers.borrow().all() {
            let tag = ServerTag::new(server.hash);
            let others = loads.get(&tag).copied().unwrap_or(0.0);
            let mut health = server.health.borrow_mut();
            health.set_peer_load(others);
            let region = server.region.borrow();
            let regions = region.iter().map(|region| &region.name);
            let regions = regions.chain([&peers.own().region]).collect();
            let exclusion = suspects.exclusion(tag, &regions);
            let was_excluded = health.set_excluded(exclusion.is_some());
            if !was_excluded && exclusion == Some(SuspectReason::Unreachable) {
                self.suspect_unreachable(server);
            }
            let reported = limits.get(&tag).copied().unwrap_or_default();
            self.update_limit(server, None, now, |limit| limit.set_reported(reported));
            if exclusion.is_some() {
                view.excluded.insert(server.id());
            }
        }
        self.log_view(view);
    }

    /// Logs which instances and servers came into use or went out of use because of
    /// others' digests.
    fn log_view(&self, view: FleetView) {
        let logged = self.logged_view.replace(view);
        let view = self.logged_view.borrow();
        self.log_change("instances_ready", &logged.ready, &view.ready);
        self.log_change("servers_excluded", &logged.excluded, &view.excluded);
    }

    fn log_change<T: Ord + ToString>(&self, event: &str, old: &BTreeSet<T>, new: &BTreeSet<T>) {
        let names_only_in = |set: &BTreeSet<T>, other: &BTreeSet<T>| -> Vec<String> {
            set.difference(other).map(T::to_string).collect()
        };
        let (added, removed) = (names_only_in(new, old), names_only_in(old, new));
        if !added.is_empty() || !removed.is_empty() {
            self.log.event(
                event,
                json!({"count": new.len(), "added": added, "removed": removed}),
            );
        }
    }
}
