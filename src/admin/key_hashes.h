#pragma once

#include "config/config_view.h"
#include "generated/admin.pb.h"

/// Key hashes are stored in the configuration and never returned by the operators' interface.
namespace chervilpulley::admin {

/// Removes the hashes from an object.
void RemoveKeyHashes(object& aObject);
/// Replaces each hash in an entry of the log by a fingerprint, so that a change of a key remains visible.
void MaskKeyHashes(log_entry& aEntry);

/// Fills in the hashes in force where an update or put contains none, and sets the expected version to the one that
/// they were read at. An operator can therefore read an object, change it and write it back.
/// @return whether any hash was filled in.
bool KeepKeyHashes(change& aChange, const config::config_view& aView);

} // namespace chervilpulley::admin
