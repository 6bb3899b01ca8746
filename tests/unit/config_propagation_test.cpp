#include "policy/config_propagation.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <unordered_map>

using namespace chervilpulley;
using namespace chervilpulley::policy;

namespace {

constexpr std::size_t kMembersPerDomain = 190;

struct config_propagation_fixture
{
  config_propagation_fixture()
  {
    for (const char* domain : { "a", "b" }) {
      for (std::size_t i = 0; i < kMembersPerDomain; ++i) {
        mMembers.push_back({ instance_id(domain + std::to_string(i)), failure_domain_id(domain) });
      }
    }
  }

  std::vector<propagation_member> mMembers;
};

} // namespace

TEST_CASE_METHOD(config_propagation_fixture, "config_propagation_order_of_list_does_not_change_the_plan")
{
  const propagation_plan plan(mMembers[7], mMembers);
  std::reverse(mMembers.begin(), mMembers.end());
  const propagation_plan other(mMembers[0], mMembers);
  REQUIRE(plan.RelaysOf(failure_domain_id("a")) == other.RelaysOf(failure_domain_id("a")));
  REQUIRE(plan.RelaysOf(failure_domain_id("a")).size() == kRelaysPerDomain);
  REQUIRE(plan.OtherDomains() == std::vector<failure_domain_id>{ failure_domain_id("b") });
}

TEST_CASE_METHOD(config_propagation_fixture, "config_propagation_first_sources_form_a_tree_of_bounded_width_and_depth")
{
  std::unordered_map<instance_id, instance_id> sources;
  std::unordered_map<instance_id, std::size_t> children;
  std::size_t relays = 0;
  for (std::size_t i = 0; i < kMembersPerDomain; ++i) {
    const propagation_plan plan(mMembers[i], mMembers);
    if (plan.IsRelay()) {
      ++relays;
      continue;
    }
    sources[mMembers[i].mInstance] = plan.Sources().at(0);
    ++children[plan.Sources().at(0)];
  }
  REQUIRE(relays == kRelaysPerDomain);
  for (const auto& [instance, count] : children) {
    REQUIRE(count <= kPropagationFanOut);
  }
  for (const auto& member : sources) {
    std::size_t depth = 1;
    for (auto above = sources.find(member.second); above != sources.end(); above = sources.find(above->second)) {
      REQUIRE(++depth <= 3);
    }
  }
}

TEST_CASE_METHOD(config_propagation_fixture, "config_propagation_lost_relay_is_replaced_and_the_other_one_stays")
{
  const auto before = propagation_plan(mMembers[0], mMembers).RelaysOf(failure_domain_id("a"));
  std::erase_if(mMembers, [&](const propagation_member& aMember) { return aMember.mInstance == before[0]; });
  const auto after = propagation_plan(mMembers[0], mMembers).RelaysOf(failure_domain_id("a"));
  REQUIRE(after[0] == before[1]);
  REQUIRE(after[1] != before[0]);
}

TEST_CASE("config_propagation_member_missing_from_the_list_is_placed")
{
  const propagation_plan plan({ instance_id("x"), failure_domain_id("a") }, {});
  REQUIRE(plan.IsRelay());
  REQUIRE(plan.Sources().empty());
}
