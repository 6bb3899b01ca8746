#pragma once

#include <map>

#include "chervilpulley/policy_types.h"
#include "policy/engine_model.h"

/// How much of the pipes between failure domains our requests take. It answers to a failure domain that lacks a layer:
/// then paths cross to another one, a prompt's activations fill the pipe for many milliseconds, and without a bound
/// all streams that cross would stop.
namespace chervilpulley::policy {

/// Two failure domains, the lesser one first.
struct domain_pair
{
  domain_pair(const failure_domain_id& aLeft, const failure_domain_id& aRight)
    : mLow(std::min(aLeft, aRight))
    , mHigh(std::max(aLeft, aRight))
  {
  }
  auto operator<=>(const domain_pair&) const = default; // NOLINT(modernize-use-nullptr): taken wrongly by clang-tidy 14

  failure_domain_id mLow;
  failure_domain_id mHigh;
};

/// Time that a transfer waits for those before it, by pair of domains.
using interconnect_waits = std::map<domain_pair, fractional_ms>;

class interconnect_load
{
public:
  /// A request takes a pipe for so long, if it had the pipe for itself.
  /// @param aSharers gateways that are assumed to send as much as this one.
  void Add(const domain_pair& aPair, fractional_ms aTime, double aSharers, instant aNow);
  interconnect_waits Waits(instant aNow) const;

private:
  std::map<domain_pair, instant> mFreeAt;
};

} // namespace chervilpulley::policy
