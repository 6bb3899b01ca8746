#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "chervilpulley/ids.h"
#include "config/config_error.h"
#include "generated/admin.pb.h"

/// Encoding of the configuration in objects of the platform and in messages between processes. Decoders reject objects
/// that are damaged or belong to another revision.
namespace chervilpulley::config {

inline constexpr const char* kLogPrefix = "config/log/";
inline constexpr const char* kSnapshotHeadKey = "config/snapshot-head";

/// Key of a log entry. The revision has 20 digits, so that keys sort by revision.
std::string LogKey(revision_number aRevision);
/// Decodes a log entry; fails if it is not the entry of aRevision.
config_result<admin::log_entry> DecodeEntry(const std::string& aBody, revision_number aRevision);

/// Reference to a snapshot in the platform. Its parts have the keys "config/snapshot/<name>/<part>".
struct snapshot_ref
{
  revision_number mRevision;
  std::string mName; ///< revision and the writer's nonce
  std::uint32_t mParts = 0;
};

/// Contents of the snapshot head object: the newest snapshot and the previous one, which a process may still be
/// reading.
struct snapshot_head
{
  snapshot_ref mNewest;
  snapshot_ref mPrevious;
};

/// Key of one part of a snapshot, counted from 0.
std::string SnapshotPartKey(const std::string& aName, std::uint32_t aPart);
std::string EncodeHead(const snapshot_head& aHead);
/// Decodes the snapshot head object; fails with BadData.
config_result<snapshot_head> DecodeHead(const std::string& aBody);
/// Splits a state into bodies of about aMaxBytes at most.
std::vector<std::string> EncodeParts(const admin::config_state& aState, std::size_t aMaxBytes);
/// Joins the bodies of all parts of one state.
config_result<admin::config_state> DecodeParts(const std::vector<std::string>& aParts);

std::string ToBase64(std::string_view aBytes);
/// Decodes base64; nothing if aText is malformed.
std::optional<std::string> FromBase64(std::string_view aText);

} // namespace chervilpulley::config
