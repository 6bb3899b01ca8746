#include "comparisons.h"

#include <algorithm>
#include <functional>
#include <numeric>
#include <random>
#include <set>

#include "policy/subset.h"

namespace bench {

using namespace chervilpulley;
using namespace chervilpulley::policy;

namespace {

constexpr std::size_t kServers = 3400;
constexpr std::size_t kEntries = 390;
constexpr std::size_t kDomains = 20;
constexpr std::size_t kTargetLinks = 40;

using members = std::vector<subset_member>;
using subset_rule =
  std::function<std::vector<std::size_t>(const members& aServers, const members& aEntries, std::size_t aSelf)>;

members MakeMembers(const std::string& aRole, std::size_t aCount, unsigned aSeed)
{
  members made;
  made.reserve(aCount);
  for (std::size_t i = 0; i < aCount; ++i) {
    const std::string name = aRole + std::to_string(aSeed) + "-" + std::to_string(i);
    made.push_back({ KeyOf(instance_id(name)), KeyOf(failure_domain_id("d" + std::to_string(i % kDomains))) });
  }
  return made;
}

std::vector<std::size_t> CurrentRule(const members& aServers, const members& aEntries, std::size_t aSelf)
{
  return ChooseSubset(aServers, aEntries, aEntries[aSelf], kTargetLinks);
}

/// Baseline: each entry links to the servers with the highest hash.
std::vector<std::size_t> HighestHash(const members& aServers, const members& aEntries, std::size_t aSelf)
{
  std::vector<std::size_t> order(aServers.size());
  std::iota(order.begin(), order.end(), 0);
  auto score = [&](std::size_t aIndex) {
    std::uint64_t value = (aServers[aIndex].mInstance.Value() ^ aEntries[aSelf].mInstance.Value()) * 0x9e3779b97f4a7c15;
    value ^= value >> 31U;
    return value * 0xbf58476d1ce4e5b9;
  };
  std::partial_sort(order.begin(),
                    order.begin() + kTargetLinks,
                    order.end(),
                    [&](std::size_t aLeft, std::size_t aRight) { return score(aLeft) > score(aRight); });
  order.resize(kTargetLinks);
  return order;
}

/// Baseline: entries link to evenly spaced windows of the list of servers.
std::vector<std::size_t> EvenWindows(const members& aServers, const members& aEntries, std::size_t aSelf)
{
  std::vector<std::size_t> chosen;
  for (std::size_t i = 0; i < kTargetLinks; ++i) {
    chosen.push_back((aSelf * aServers.size() / aEntries.size() + i) % aServers.size());
  }
  return chosen;
}

using link_set = std::set<std::pair<std::uint64_t, std::uint64_t>>;

/// Returns all links between servers and entries under aRule.
link_set Links(const subset_rule& aRule, const members& aServers, const members& aEntries)
{
  link_set links;
  for (std::size_t entry = 0; entry < aEntries.size(); ++entry) {
    for (std::size_t server : aRule(aServers, aEntries, entry)) {
      links.emplace(aServers[server].mInstance.Value(), aEntries[entry].mInstance.Value());
    }
  }
  return links;
}

/// Returns how many links are in only one of the two sets.
double ChangedCount(const link_set& aBefore, const link_set& aAfter)
{
  std::vector<link_set::value_type> difference;
  std::set_symmetric_difference(
    aBefore.begin(), aBefore.end(), aAfter.begin(), aAfter.end(), std::back_inserter(difference));
  return static_cast<double>(difference.size());
}

void AddRows(table& aTable, const std::string& aVariant, const subset_rule& aRule, const seed_list& aSeeds)
{
  const std::string scenario = "390 of 3400";
  row minEntries{ "subset", scenario, aVariant, "least entries of a server", {}, true };
  row maxEntries{ "subset", scenario, aVariant, "most entries of a server", {}, false };
  row links{ "subset", scenario, aVariant, "most links of an entry", {}, false };
  row serverRemoved{ "subset", scenario, aVariant, "links changed, server gone", {}, false };
  row entryRemoved{ "subset", scenario, aVariant, "links changed, entry gone", {}, false };
  for (unsigned seed : aSeeds) {
    members servers = MakeMembers("s", kServers, seed);
    members entries = MakeMembers("e", kEntries, seed);
    const link_set before = Links(aRule, servers, entries);
    std::unordered_map<std::uint64_t, int> perServer;
    std::unordered_map<std::uint64_t, int> perEntry;
    for (const subset_member& server : servers) {
      perServer[server.mInstance.Value()] = 0;
    }
    for (const auto& [server, entry] : before) {
      ++perServer[server];
      ++perEntry[entry];
    }
    auto byCount = [](const auto& aLeft, const auto& aRight) { return aLeft.second < aRight.second; };
    minEntries.mSamples.Add(std::min_element(perServer.begin(), perServer.end(), byCount)->second);
    maxEntries.mSamples.Add(std::max_element(perServer.begin(), perServer.end(), byCount)->second);
    links.mSamples.Add(std::max_element(perEntry.begin(), perEntry.end(), byCount)->second);
    members fewerServers = servers;
    fewerServers.erase(fewerServers.begin() + 1700);
    serverRemoved.mSamples.Add(ChangedCount(before, Links(aRule, fewerServers, entries)));
    members fewerEntries = entries;
    fewerEntries.erase(fewerEntries.begin() + 195);
    entryRemoved.mSamples.Add(ChangedCount(before, Links(aRule, servers, fewerEntries)));
  }
  for (const row& r : { minEntries, maxEntries, links, serverRemoved, entryRemoved }) {
    aTable.Add(r);
  }
}

} // namespace

void CompareSubsets(table& aTable, const seed_list& aSeeds)
{
  AddRows(aTable, "chervilpulley", CurrentRule, aSeeds);
  AddRows(aTable, "highest hash", HighestHash, aSeeds);
  AddRows(aTable, "even windows", EvenWindows, aSeeds);
}

} // namespace bench
