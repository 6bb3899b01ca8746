#pragma once

#include <optional>
#include <vector>

#include "chervilpulley/policy_types.h"

/// Which plain backend server takes a request: the one with the least work of ours, near ones before far ones. It
/// answers to uneven load and to servers that were just seen failing.
namespace chervilpulley::policy {

struct service_candidate
{
  bool mIsNear = false;       ///< in our failure domain
  std::uint32_t mRunning = 0; ///< requests of ours that it has
  double mFailures = 0;       ///< recent share of failures, 0 to 1
  bool mUsable = true;
};

/// Index of the server to use; nothing where none is usable. Equals are told apart by aRandom.
std::optional<std::size_t> ChooseService(const std::vector<service_candidate>& aCandidates, std::uint64_t aRandom);

} // namespace chervilpulley::policy
