#include "gateways/limit_judge.h"

#include <algorithm>
#include <cmath>
#include <cstdlib>
#include <optional>

namespace chervilpulley::processes {

namespace {

/// Requests that are allowed beside the factor of the limit.
constexpr double kAllowedFactor = 1.5;
constexpr double kAllowedRequests = 5;

/// A request that reached a server.
struct arrival
{
  std::int64_t mAtMs = 0;
  std::string mGateway;
  std::optional<double> mLimit; ///< that the response named
};

/// The arrivals at one process of a server, in order.
using arrivals = std::vector<arrival>;

std::string Text(const boost::json::object& aRecord, const char* aField)
{
  const auto* value = aRecord.if_contains(aField);
  return value != nullptr && value->is_string() ? std::string(value->as_string()) : std::string();
}

/// The rate that a response named; nothing when it named none that can be read.
std::optional<double> RateOf(const boost::json::object& aRecord)
{
  const std::string text = Text(aRecord, "limit");
  const double rate = std::strtod(text.c_str(), nullptr);
  return text.empty() || !std::isfinite(rate) ? std::nullopt : std::optional(rate);
}

std::optional<limit_break> FirstBreak(const std::string& aServer, const arrivals& aArrivals)
{
  const auto first = std::find_if(aArrivals.begin(), aArrivals.end(), [](const auto& aEach) { return aEach.mLimit; });
  if (first == aArrivals.end()) {
    return std::nullopt;
  }
  std::map<std::string, std::int64_t> toldAt;
  for (const arrival& each : aArrivals) {
    if (each.mLimit) {
      toldAt.try_emplace(each.mGateway, each.mAtMs);
    }
  }
  for (std::size_t last = 0; last < aArrivals.size(); ++last) {
    const std::int64_t begin = aArrivals[last].mAtMs - kLimitWindowMs;
    if (begin < first->mAtMs + kLimitContactMs) {
      continue;
    }
    limit_break found{ aServer, aArrivals[last].mAtMs };
    bool isLimited = true;
    for (std::size_t each = last + 1; each-- > 0 && aArrivals[each].mAtMs > begin;) {
      const arrival& request = aArrivals[each];
      isLimited = isLimited && request.mLimit;
      found.mLimit = std::max(found.mLimit, request.mLimit.value_or(0));
      const auto told = toldAt.find(request.mGateway);
      found.mRequests += told != toldAt.end() && told->second + kLimitToldMs <= request.mAtMs ? 1 : 0;
    }
    found.mAllowed = found.mLimit * kAllowedFactor * kLimitWindowMs / 1000 + kAllowedRequests;
    if (isLimited && static_cast<double>(found.mRequests) > found.mAllowed) {
      return found;
    }
  }
  return std::nullopt;
}

} // namespace

std::vector<limit_break> LimitBreaks(const std::vector<boost::json::object>& aRecords,
                                     const std::set<std::string>& aExcused)
{
  std::map<std::pair<std::string, std::uint64_t>, arrivals> byServer;
  for (const auto& record : aRecords) {
    const std::string kind = Text(record, "kind");
    if (kind != "run" && kind != "turned_away") {
      continue;
    }
    const std::string id = Text(record, "id");
    const std::string gateway = id.substr(0, id.find('/'));
    if (!aExcused.contains(gateway)) {
      byServer[{ Text(record, "server"), record.at("started_at").to_number<std::uint64_t>() }].push_back(
        { record.at("at_ms").to_number<std::int64_t>(), gateway, RateOf(record) });
    }
  }
  std::vector<limit_break> breaks;
  for (const auto& [server, each] : byServer) {
    if (const auto found = FirstBreak(server.first, each)) {
      breaks.push_back(*found);
    }
  }
  return breaks;
}

} // namespace chervilpulley::processes
