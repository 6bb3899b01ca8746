#pragma once

#include <vector>

#include "config/config_error.h"
#include "config/config_replica.h"
#include "policy/config_propagation.h"
#include "policy/config_writer.h"
#include "rpc/peer_messages.h"

/// Converts outcomes of the configuration into the errors and messages that callers and peers receive.
namespace chervilpulley::config {

/// The error that a caller gets for a refused change.
config_error ToConfigError(const policy::change_error& aError);
/// The error that a caller gets for a failed write.
config_error ToConfigError(const policy::write_error& aError);

/// The response to a pull from revision aAfter: the following log entries, or the whole state if aReplica no longer
/// retains those.
rpc::pull_config_reply MakePullReply(config_replica& aReplica, revision_number aAfter);

/// Counts the live instances that reported aRevision or a higher one.
/// @param aHead highest revision known to this process.
admin::rollout_reply MakeRolloutReply(revision_number aHead,
                                      revision_number aRevision,
                                      const std::vector<policy::propagation_member>& aLive,
                                      const std::vector<rpc::instance_report>& aReports);

} // namespace chervilpulley::config
