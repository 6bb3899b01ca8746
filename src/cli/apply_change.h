#pragma once

#include "chervilpulley/units.h"
#include "cli/admin_client.h"

namespace chervilpulley::cli {

/// Sends a change; sends the same change id again while its outcome is unknown or the server can't be reached.
/// @param aPause time before the second try; doubles from try to try.
/// @return an error of code Unknown when any try may have been accepted and none was answered.
client_result<admin::apply_reply> ApplyChange(admin_client& aClient,
                                              const admin::apply_request& aRequest,
                                              duration aPause);

} // namespace chervilpulley::cli
