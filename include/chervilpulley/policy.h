#pragma once

/// All decisions about load, fairness, failures and placement: observations in, actions out. What the processes run is
/// this code, and any harness can drive it, with its own time and random numbers.
///
/// | decision | what goes in | what comes out |
/// |---|---|---|
/// | route_choice | candidates as reported, own requests in flight, two random numbers | who takes the request |
/// | admission_queue | requests, free places | what runs next, final refusals with a time to come back |
/// | retry_budget | requests, retries asked for | whether a retry may be sent |
/// | crash_suspects | starts, ends, crashes, findings of others | whether a request may start here |
/// | stall_detector | gaps between tokens, prefill times | how long to wait for the next token |
/// | subset | membership | which servers to link to |
/// | rate_share | demand of a workspace | each entry's part of its limit |
/// | placement | servers, model versions, demand | who holds which layers, and one sidecar's next step |
#include "chervilpulley/policy_types.h"
#include "policy/admission_queue.h"
#include "policy/crash_suspects.h"
#include "policy/placement.h"
#include "policy/rate_share.h"
#include "policy/retry_budget.h"
#include "policy/route_choice.h"
#include "policy/stall_detector.h"
#include "policy/subset.h"
