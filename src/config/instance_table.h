#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <mutex>
#include <string>
#include <vector>

#include "platform/live_list.h"
#include "rpc/peer_messages.h"

namespace chervilpulley::config {

/// The live list as this process has it, with its last changes, so that others can be told only the difference.
/// Two tables with the same digest hold the same list. Thread-safe.
class instance_table
{
public:
  /// Takes a whole list; tells whether it differs from the one before.
  bool Set(const std::vector<platform::live_instance>& aInstances);
  /// Takes a difference that a peer has told; false when it can't be read or changes nothing.
  bool Apply(const rpc::list_difference& aDifference);
  /// What a table with this digest lacks.
  rpc::list_difference DifferenceSince(std::uint64_t aDigest) const;
  std::vector<platform::live_instance> List() const;
  std::uint64_t Digest() const;

private:
  struct change
  {
    std::uint64_t mDigestBefore = 0;
    std::vector<std::string> mInstances; ///< that were added, changed or removed
  };

  bool Update(const std::vector<platform::live_instance>& aChanged, const std::vector<std::string>& aRemoved);
  std::vector<std::string> MissingIn(const std::vector<platform::live_instance>& aInstances) const;

  mutable std::mutex mMutex;
  std::map<std::string, platform::live_instance> mInstances;
  std::uint64_t mDigest = 0;
  std::deque<change> mChanges;
};

} // namespace chervilpulley::config
