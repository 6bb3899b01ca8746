#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "chervilpulley/ids.h"
#include "config/config_error.h"
#include "generated/admin.pb.h"

/// How the configuration is written into objects of the platform and into messages between processes.
namespace chervilpulley::config {

inline constexpr const char* kLogPrefix = "config/log/";
inline constexpr const char* kSnapshotHeadKey = "config/snapshot-head";

/// Key of a log entry: the revision in 20 digits, so that keys sort by revision.
std::string LogKey(revision_number aRevision);
config_result<admin::log_entry> DecodeEntry(const std::string& aBody, revision_number aRevision);

/// A snapshot in the platform: its parts are under "config/snapshot/<name>/<part>".
struct snapshot_ref
{
  revision_number mRevision;
  std::string mName; ///< revision and a nonce of the writer
  std::uint32_t mParts = 0;
};

/// The object that names the newest snapshot, and the one before, which may be in reading.
struct snapshot_head
{
  snapshot_ref mNewest;
  snapshot_ref mPrevious;
};

std::string SnapshotPartKey(const std::string& aName, std::uint32_t aPart);
std::string EncodeHead(const snapshot_head& aHead);
config_result<snapshot_head> DecodeHead(const std::string& aBody);
/// Splits a state into bodies of at most about aMaxBytes.
std::vector<std::string> EncodeParts(const admin::config_state& aState, std::size_t aMaxBytes);
/// Joins the bodies of all parts of one state.
config_result<admin::config_state> DecodeParts(const std::vector<std::string>& aParts);

std::string ToBase64(std::string_view aBytes);
std::optional<std::string> FromBase64(std::string_view aText);

} // namespace chervilpulley::config
