#pragma once

/// All decisions about load, fairness, failures and placement: observations go in, actions come out. The processes run
/// this code, and a test or simulation can run the same code with its own time and random numbers.
///
/// | decision | input | output |
/// |---|---|---|
/// | route_choice | reported candidates, own requests in flight, two random numbers | the backend server for the
/// request | | admission_queue | requests, free slots | the next request to run, final refusals with a retry-after time
/// | | retry_budget | requests, requested retries | whether a retry may be sent | | crash_suspects | starts, ends,
/// crashes, reports of other processes | whether a request may start here | | stall_detector | gaps between tokens,
/// prefill times | how long to wait for the next token | | subset | membership | the servers to link to | | rate_share
/// | demand of a workspace | each entry's share of its limit | | placement | servers, model versions, demand | the
/// layers of each server, and one sidecar's next step |
#include "chervilpulley/policy_types.h"
#include "policy/admission_queue.h"
#include "policy/crash_suspects.h"
#include "policy/placement.h"
#include "policy/rate_share.h"
#include "policy/retry_budget.h"
#include "policy/route_choice.h"
#include "policy/stall_detector.h"
#include "policy/subset.h"
