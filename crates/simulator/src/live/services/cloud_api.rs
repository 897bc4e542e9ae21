//! The cloud's HTTP interface: machine types, and renting, listing and deleting machines.

use jaspertiller::fleet::{CloudCall, CloudResponse, MachineStage, Offer};
use jaspertiller::types::{MachineId, MachineTypeId, Zone};
use serde::Deserialize;
use serde_json::{Value, json};
use warp::http::Method;

use super::UNANSWERED_DELAY;
use crate::live::SharedRegion;
use crate::live::http::{Request, Response};
use crate::machines::Machines;

/// The body of a request to rent machines.
#[derive(Deserialize)]
struct RentBody {
    #[serde(rename = "hire")]
    request_id: String,
    #[serde(rename = "rig")]
    machine_type: MachineTypeId,
    #[serde(rename = "yard")]
    zone: Zone,
    #[serde(rename = "loaners")]
    spot: bool,
    count: u32,
}

/// The body of a request that names machines.
#[derive(Deserialize)]
struct MachinesBody {
    #[serde(rename = "hosts")]
    machine_ids: Vec<MachineId>,
}

/// Handles one request of a controller. A controller that is cut off gets no timely response.
pub(super) async fn handle(shared: SharedRegion, controller: usize, request: Request) -> Response {
    let cut_off = {
        let region = shared.lock();
        region.faults.is_cut_off(controller, region.now())
    };
    if cut_off {
        tokio::time::sleep(UNANSWERED_DELAY).await;
    }
    let region = &mut *shared.lock();
    let now = region.now();
    if cut_off || now < region.faults.cloud_down_until {
        return Response::error(503, "trouble");
    }
    if request.method == Method::GET && request.path == "/flavors" {
        return Response::ok(region.cloud.type_specs());
    }
    let call = match parse_call(&request) {
        Ok(call) => call,
        Err(error_response) => return error_response,
    };
    let machines = &mut region.machines;
    let response = region.cloud.call(call, machines, now, &mut region.rng);
    encode(response, &region.machines)
}

/// Parses a request into a call of the cloud model; fails with the response to send.
fn parse_call(request: &Request) -> Result<CloudCall, Response> {
    let malformed = |_| Response::error(400, "malformed");
    match (&request.method, request.path.as_str()) {
        (&Method::GET, "/rentals") => Ok(CloudCall::List {
            after: request.query.get("from").map(|id| id.as_str().into()),
        }),
        (&Method::POST, "/rentals") => {
            let body: RentBody = serde_json::from_slice(&request.body).map_err(malformed)?;
            Ok(CloudCall::Rent {
                request_id: body.request_id,
                offer: Offer {
                    machine_type: body.machine_type,
                    zone: body.zone,
                    spot: body.spot,
                },
                count: body.count,
            })
        }
        (&Method::POST, "/rentals/delete") => {
            let body: MachinesBody = serde_json::from_slice(&request.body).map_err(malformed)?;
            Ok(CloudCall::Delete(body.machine_ids))
        }
        _ => Err(Response::error(404, "no such path")),
    }
}

fn encode(response: CloudResponse, machines: &Machines) -> Response {
    match response {
        CloudResponse::Rented(machine_ids) => Response::ok(json!({"hosts": machine_ids})),
        CloudResponse::NoCapacity => Response::error(503, "no capacity"),
        CloudResponse::Deleted => Response::ok(json!({})),
        CloudResponse::Page {
            machines: machine_ids,
            more,
        } => {
            let listed = machine_ids.iter().map(|listed| {
                let machine = machines.by_id.get(&listed.machine_id);
                let address = machine.map(|machine| &machine.address);
                json!({"id": listed.machine_id, "address": address, "rig": listed.machine_type,
                    "yard": listed.zone, "loaners": listed.spot, "stage": stage_name(listed.stage),
                    "ageS": listed.age.secs()})
            });
            let listed: Vec<Value> = listed.collect();
            Response::ok(json!({"hosts": listed, "truncated": more}))
        }
        _ => Response::error(503, "trouble"),
    }
}

/// The wire name of a machine stage.
fn stage_name(stage: MachineStage) -> &'static str {
    match stage {
        MachineStage::Booting => "booting",
        MachineStage::Running => "running",
        MachineStage::Failed => "failed",
    }
}
