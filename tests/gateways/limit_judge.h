#pragma once

#include <boost/json/object.hpp>

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

/// Judges from the records of backend servers whether gateways kept to the limits that the servers had named, by the
/// users' rule. Request ids begin with the name of the gateway process that they were sent to and a slash.
namespace chervilpulley::processes {

/// Time from a server's first naming of a limit until the rule holds for it.
inline constexpr std::int64_t kLimitContactMs = 3000;
/// A gateway that has passed on a response that names a limit is bound by it after this time.
inline constexpr std::int64_t kLimitToldMs = 500;
/// Length of the windows in which requests are counted.
inline constexpr std::int64_t kLimitWindowMs = 4000;

/// A window in which a server got too many requests.
struct limit_break
{
  std::string mServer;
  std::int64_t mAtMs = 0; ///< end of the window
  double mLimit = 0;      ///< the highest that was in force in the window, requests a second
  std::size_t mRequests = 0;
  double mAllowed = 0;
};

/// @param aExcused gateway processes that do not count, such as those that were killed or frozen.
std::vector<limit_break> LimitBreaks(const std::vector<boost::json::object>& aRecords,
                                     const std::set<std::string>& aExcused = {});

} // namespace chervilpulley::processes
