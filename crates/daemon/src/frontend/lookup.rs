//! `GET /v1/lookup?customer=C`.

use std::collections::BTreeMap;
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::rc::Rc;
use std::sync::Arc;

use actix_http::body::BoxBody;
use actix_http::{Request, Response, StatusCode};
use serde::Serialize;
use tarragonpulley_policy::contract::CustomerContract;
use tarragonpulley_policy::ids::CustomerName;
use tarragonpulley_policy::steering::{BlockTable, EntryState, lookup_response};

use super::ServiceFrontend;
use crate::errors::{ErrorKind, RequestError, json_response};
use crate::interfaces::MemberView;

/// Block tables of contracts. A table is rebuilt only when its contract changes,
/// not with each configuration revision.
#[derive(Debug, Default)]
pub(super) struct BlockCache {
    tables: BTreeMap<CustomerName, (Arc<CustomerContract>, Rc<BlockTable>)>,
}

impl BlockCache {
    fn table(&mut self, contract: &Arc<CustomerContract>) -> Rc<BlockTable> {
        if let Some((built_from, table)) = self.tables.get(&contract.customer)
            && Arc::ptr_eq(built_from, contract)
        {
            return Rc::clone(table);
        }
        let table = Rc::new(BlockTable::new(&contract.blocks));
        let entry = (Arc::clone(contract), Rc::clone(&table));
        self.tables.insert(contract.customer.clone(), entry);
        table
    }
}

#[derive(Debug, Serialize)]
struct LookupBody {
    instances: Vec<LookupEntry>,
    valid_for_ms: u64,
}

#[derive(Debug, Serialize)]
struct LookupEntry {
    instance: String,
    data_centre: String,
    address: String,
}

fn entry_state(member: MemberView) -> EntryState {
    EntryState {
        instance: member.instance,
        centre: member.centre,
        address: member.service_address,
        reachable: member.reachable,
        leaving: member.leaving,
    }
}

impl ServiceFrontend {
    /// Responds to a lookup. It needs no key and no proof: a response from an
    /// outdated configuration is safe, because the returned instances check each
    /// request themselves before they forward it.
    pub(super) fn respond_to_lookup(
        &self,
        request: &Request,
        peer: Option<SocketAddr>,
    ) -> Result<Response<BoxBody>, RequestError> {
        if request.method() != actix_http::Method::GET {
            let message = "look-ups use GET";
            return Err(RequestError::new(ErrorKind::MethodNotAllowed, message));
        }
        let customer: CustomerName = query_value(request, "customer")
            .and_then(|name| name.parse().ok())
            .ok_or_else(|| {
                let message = "the query has no valid customer name";
                RequestError::new(ErrorKind::MalformedRequest, message)
            })?;
        let snapshot = self.context.config.snapshot();
        let contract = snapshot.contracts.get(&customer).ok_or_else(|| {
            let message = format!("customer {customer} has no contract");
            RequestError::new(ErrorKind::NoRoute, message)
        })?;
        let blocks = self.blocks.borrow_mut().table(contract);
        let members = self.context.members.members();
        let entries: Vec<EntryState> = members.into_iter().map(entry_state).collect();
        let client = peer.map_or(IpAddr::V4(Ipv4Addr::UNSPECIFIED), |peer| peer.ip());
        let home = &self.context.centre;
        let result = lookup_response(&snapshot, contract, &blocks, &entries, client, home);
        let body = LookupBody {
            instances: result
                .instances
                .into_iter()
                .map(|entry| LookupEntry {
                    instance: entry.instance.to_string(),
                    data_centre: entry.centre.to_string(),
                    address: entry.address.to_string(),
                })
                .collect(),
            valid_for_ms: u64::try_from(result.valid_for.as_millis()).unwrap_or(u64::MAX),
        };
        Ok(json_response(StatusCode::OK, &body))
    }
}

fn query_value<'a>(request: &'a Request, name: &str) -> Option<&'a str> {
    let query = request.uri().query()?;
    query.split('&').find_map(|pair| {
        let (key, value) = pair.split_once('=')?;
        (key == name).then_some(value)
    })
}
