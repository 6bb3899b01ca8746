#pragma once

#include <optional>
#include <vector>

#include "chervilpulley/policy_types.h"

/// Chooses the plain backend server for a request: the one with the fewest requests of this gateway, local ones before
/// remote ones. Handles uneven load, servers with recent failures, and servers whose entry is missing, which get a
/// request only if no listed one is usable.
namespace chervilpulley::policy {

/// A backend server that a request may be sent to.
struct service_candidate
{
  bool mIsLocal = false;      ///< in our failure domain
  std::uint32_t mRunning = 0; ///< running requests of this gateway
  double mFailures = 0;       ///< recent failure rate, 0 to 1
  bool mUsable = true;
  bool mIsListed = true; ///< false if its entry is missing but may be listed again
};

/// Index of the server to use, or nullopt if none is usable. aRandom breaks ties.
std::optional<std::size_t> ChooseService(const std::vector<service_candidate>& aCandidates, std::uint64_t aRandom);

} // namespace chervilpulley::policy
