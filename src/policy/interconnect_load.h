#pragma once

#include <map>

#include "chervilpulley/policy_types.h"
#include "policy/engine_model.h"

/// Tracks how much of the interconnects between failure domains our requests use. Guards against overload when a
/// failure domain lacks a layer: paths then cross to another domain, the activations of one prompt occupy the
/// interconnect for many milliseconds, and without a limit all streams that cross would stall.
namespace chervilpulley::policy {

/// An unordered pair of failure domains; the lesser one is stored first.
struct domain_pair
{
  domain_pair(const failure_domain_id& aLeft, const failure_domain_id& aRight)
    : mLow(std::min(aLeft, aRight))
    , mHigh(std::max(aLeft, aRight))
  {
  }
  auto operator<=>(const domain_pair&) const =
    default; // NOLINT(modernize-use-nullptr): false positive of clang-tidy 14

  failure_domain_id mLow;
  failure_domain_id mHigh;
};

/// Time that a transfer waits for earlier ones, by pair of failure domains.
using interconnect_waits = std::map<domain_pair, fractional_ms>;

/// The queue of transfers on each interconnect, as this gateway estimates it.
class interconnect_load
{
public:
  /// Adds a transfer that would take aTime if it had the interconnect to itself.
  /// @param aSharers number of gateways that are assumed to send as much as this one.
  void Add(const domain_pair& aPair, fractional_ms aTime, double aSharers, instant aNow);
  /// Pairs of domains whose interconnect is busy, with the time until it is free.
  interconnect_waits Waits(instant aNow) const;

private:
  std::map<domain_pair, instant> mFreeAt;
};

} // namespace chervilpulley::policy
