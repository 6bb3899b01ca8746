#pragma once

#include <vector>

#include "config/config_error.h"
#include "config/config_replica.h"
#include "policy/config_propagation.h"
#include "policy/config_writer.h"
#include "rpc/peer_messages.h"

/// Turns decisions about the configuration into what callers and peers are told.
namespace chervilpulley::config {

config_error ToConfigError(const policy::change_error& aError);
config_error ToConfigError(const policy::write_error& aError);

/// What a peer at a revision lacks: entries, or the whole state when those are no longer at hand.
rpc::pull_config_reply MakePullReply(config_replica& aReplica, revision_number aAfter);

/// Counts the live instances that have reported aRevision or a higher one.
admin::rollout_reply MakeRolloutReply(revision_number aHead,
                                      revision_number aRevision,
                                      const std::vector<policy::propagation_member>& aLive,
                                      const std::vector<rpc::instance_report>& aReports);

} // namespace chervilpulley::config
