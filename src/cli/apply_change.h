#pragma once

#include "chervilpulley/units.h"
#include "cli/admin_client.h"

/// Applies a change with retries, so that a lost response neither loses the change nor applies it twice.
namespace chervilpulley::cli {

/// Sends a change; retries with the same change id while the outcome is unknown or the server can't be reached.
/// @param aDelay time before the first retry; doubles with each retry.
/// @return an error with the code Unknown when an attempt may have been accepted and none got a definite response.
client_result<admin::apply_reply> ApplyChange(admin_client& aClient,
                                              const admin::apply_request& aRequest,
                                              duration aDelay);

} // namespace chervilpulley::cli
