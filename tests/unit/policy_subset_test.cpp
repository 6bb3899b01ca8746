#include "policy/subset.h"

#include <catch2/catch.hpp>
#include <rapidcheck.h>

#include <algorithm>
#include <set>

using namespace chervilpulley;
using namespace chervilpulley::policy;

namespace {

std::vector<subset_member> Members(const std::string& aRole, int aCount, int aDomains)
{
  std::vector<subset_member> members;
  members.reserve(static_cast<std::size_t>(aCount));
  for (int i = 0; i < aCount; ++i) {
    members.push_back({ KeyOf(instance_id(aRole + std::to_string(i))),
                        KeyOf(failure_domain_id("domain" + std::to_string(i % aDomains))) });
  }
  return members;
}

/// Links as pairs of keys, which can be compared across membership changes.
std::set<std::pair<std::uint64_t, std::uint64_t>> Links(const std::vector<subset_member>& aServers,
                                                        const std::vector<subset_member>& aClients,
                                                        std::size_t aTarget)
{
  std::set<std::pair<std::uint64_t, std::uint64_t>> links;
  for (const subset_member& client : aClients) {
    for (std::size_t i : ChooseSubset(aServers, aClients, client, aTarget)) {
      links.emplace(aServers[i].mInstance.Value(), client.mInstance.Value());
    }
  }
  return links;
}

template<class Set>
std::size_t DifferenceSize(const Set& aLeft, const Set& aRight)
{
  std::vector<typename Set::value_type> difference;
  std::set_symmetric_difference(
    aLeft.begin(), aLeft.end(), aRight.begin(), aRight.end(), std::back_inserter(difference));
  return difference.size();
}

} // namespace

TEST_CASE("subset_of_small_pool_is_all_of_it")
{
  const auto servers = Members("s", 40, 3);
  const auto entries = Members("e", 3, 3);
  REQUIRE(ChooseSubset(servers, entries, entries[1], 40).size() == 40);
}

TEST_CASE("subset_of_3400_servers_for_390_entries_is_bounded_and_balanced")
{
  const auto servers = Members("s", 3400, 20);
  const auto entries = Members("e", 390, 20);
  std::vector<int> clientCounts(servers.size());
  std::size_t maximum = 0;
  std::size_t minimum = servers.size();
  for (const subset_member& entry : entries) {
    const auto chosen = ChooseSubset(servers, entries, entry, 40);
    maximum = std::max(maximum, chosen.size());
    minimum = std::min(minimum, chosen.size());
    for (std::size_t i : chosen) {
      ++clientCounts[i];
    }
  }
  REQUIRE(maximum <= 70);
  REQUIRE(minimum >= 20);
  REQUIRE(*std::min_element(clientCounts.begin(), clientCounts.end()) >= 4);
  REQUIRE(*std::max_element(clientCounts.begin(), clientCounts.end()) <= 5);
}

TEST_CASE("subset_links_each_server_to_clients_of_two_failure_domains")
{
  const auto servers = Members("s", 300, 20);
  const auto entries = Members("e", 60, 3);
  std::vector<std::set<std::uint64_t>> domains(servers.size());
  for (const subset_member& entry : entries) {
    for (std::size_t i : ChooseSubset(servers, entries, entry, 10)) {
      domains[i].insert(entry.mFailureDomain.Value());
    }
  }
  REQUIRE(std::all_of(domains.begin(), domains.end(), [](const auto& aSet) { return aSet.size() >= 2; }));
}

TEST_CASE("subset_after_any_single_change_of_members_keeps_nearly_all_links")
{
  REQUIRE(rc::check([] {
    auto servers = Members("s", *rc::gen::inRange(20, 120), *rc::gen::inRange(1, 6));
    auto entries = Members("e", *rc::gen::inRange(5, 30), *rc::gen::inRange(1, 6));
    const std::size_t target = *rc::gen::inRange<std::size_t>(5, 20);
    const auto before = Links(servers, entries, target);
    const bool serverGoes = *rc::gen::arbitrary<bool>();
    auto& changed = serverGoes ? servers : entries;
    changed.erase(changed.begin() + *rc::gen::inRange<std::ptrdiff_t>(0, std::ssize(changed)));
    const auto after = Links(servers, entries, target);
    const std::size_t links = std::max(before.size(), after.size());
    const std::size_t members = changed.size();
    // The links of the removed member, as many replacements, and the servers whose rounding changed.
    RC_ASSERT(DifferenceSize(before, after) <= 5 * links / members + 16);
  }));
}
