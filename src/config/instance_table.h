#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <mutex>
#include <string>
#include <vector>

#include "platform/live_list.h"
#include "rpc/peer_messages.h"

/// The list of live instances, exchanged between processes as differences, so that a change in a large fleet costs
/// little traffic.
namespace chervilpulley::config {

/// The live list known to this process and its latest changes, from which the difference for a peer is computed.
/// Two tables with the same digest contain the same list. Thread-safe.
class instance_table
{
public:
  /// Replaces the whole list. Returns whether it has changed.
  bool Set(const std::vector<platform::live_instance>& aInstances);
  /// Applies a difference received from a peer. Returns false if it can't be read or changes nothing.
  bool Apply(const rpc::list_difference& aDifference);
  /// The difference that brings a table with the given digest to the own list; the full list if the digest is unknown.
  rpc::list_difference DifferenceSince(std::uint64_t aDigest) const;
  std::vector<platform::live_instance> List() const;
  /// Digest of the list; the order of the instances does not matter.
  std::uint64_t Digest() const;

private:
  /// One change of the list.
  struct change
  {
    std::uint64_t mDigestBefore = 0;
    std::vector<std::string> mInstances; ///< instances that were added, changed or removed
  };

  bool Update(const std::vector<platform::live_instance>& aChanged, const std::vector<std::string>& aRemoved);
  std::vector<std::string> MissingIn(const std::vector<platform::live_instance>& aInstances) const;

  mutable std::mutex mMutex;
  std::map<std::string, platform::live_instance> mInstances;
  std::uint64_t mDigest = 0;
  std::deque<change> mChanges;
};

} // namespace chervilpulley::config
