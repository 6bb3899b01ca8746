#pragma once

#include "config/config_view.h"
#include "generated/admin.pb.h"

/// Hashes of keys go into the configuration and never come out of the operators' interface.
namespace chervilpulley::admin {

/// Removes the hashes from an object.
void RemoveKeyHashes(object& aObject);
/// Puts a fingerprint in the place of each hash in an entry of the log, so that a change of a key can be seen.
void MaskKeyHashes(log_entry& aEntry);

/// Fills in the hashes that are in force where an update or put brings none, and then expects the version that they
/// were read at. So an operator can read an object, change it and write it back.
/// @return true when something was filled in.
bool KeepKeyHashes(change& aChange, const config::config_view& aView);

} // namespace chervilpulley::admin
