#include <catch2/catch.hpp>

#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/parse.hpp>

#include <algorithm>
#include <future>
#include <sstream>

#include "processes/cluster.h"
#include "processes/http_call.h"

using namespace chervilpulley;
using namespace chervilpulley::processes;

namespace json = boost::json;

namespace {

/// Exit status of a command whose change conflicts with another one.
constexpr int kConflict = 4;

/// A number in a JSON object, 0 without one. protobuf's JSON format writes 64-bit numbers as strings.
std::uint64_t NumberOf(const json::value& aObject, std::string_view aKey)
{
  const json::value* value = aObject.as_object().if_contains(aKey);
  if (value == nullptr) {
    return 0;
  }
  return value->is_string() ? std::stoull(std::string(value->get_string())) : value->to_number<std::uint64_t>();
}

struct configuration_fixture
{
  cluster mCluster{ { { { 0, 7, "domain-a" } }, { "domain-b" }, { "domain-a", "domain-b", "domain-c" } } };

  /// Number of live processes, and how many of them have the newest revision in force.
  std::pair<std::uint64_t, std::uint64_t> Rollout(std::size_t aEntry)
  {
    const program_result result = mCluster.RunOperatorCommand(aEntry, { "rollout", "-o", "json" });
    if (result.mStatus != 0) {
      return { 0, 0 };
    }
    const json::value reply = json::parse(result.mOut);
    return { NumberOf(reply, "live"), NumberOf(reply, "in_force") };
  }

  /// The weight of the workspace "demo" at an entry.
  std::uint64_t Weight(std::size_t aEntry)
  {
    const program_result result = mCluster.RunOperatorCommand(aEntry, { "get", "workspace", "demo", "-o", "json" });
    return result.mStatus == 0 ? NumberOf(json::parse(result.mOut).as_object().at("workspace"), "weight") : 0;
  }

  /// The version of the route "demo/stock" at an entry.
  std::uint64_t Version(std::size_t aEntry)
  {
    const program_result result = mCluster.RunOperatorCommand(aEntry, { "get", "route", "demo/stock", "-o", "json" });
    return result.mStatus == 0 ? NumberOf(json::parse(result.mOut), "version") : 0;
  }

  /// Revisions in the audit trail of an entry, in its order.
  std::vector<std::uint64_t> AuditedRevisions(std::size_t aEntry)
  {
    const program_result result = mCluster.RunOperatorCommand(aEntry, { "audit", "-o", "json" });
    std::vector<std::uint64_t> revisions;
    for (const json::object& entry : ParseLines(result.mOut)) {
      revisions.push_back(NumberOf(entry, "revision"));
    }
    return revisions;
  }

  static std::string StockRoute(std::uint64_t aTimeoutMs, std::uint64_t aExpectedVersion)
  {
    std::ostringstream text;
    text << "[route demo/stock]\nop = update\nexpected_version = " << aExpectedVersion
         << "\npool = services\nidempotent = true\ntimeout_ms = " << aTimeoutMs << "\n";
    return text.str();
  }
};

} // namespace

TEST_CASE_METHOD(configuration_fixture, "change_accepted_at_one_entry_is_in_force_everywhere")
{
  REQUIRE(mCluster.Apply(0, "[workspace new]\nweight = 7\n").mStatus == 0);
  constexpr std::uint64_t kProcesses = 5;
  CHECK(WaitUntil([&] { return Rollout(1) == std::pair(kProcesses, kProcesses); }));
  for (std::size_t entry = 0; entry < mCluster.EntryCount(); ++entry) {
    CHECK(mCluster.RunOperatorCommand(entry, { "get", "workspace", "new" }).mStatus == 0);
  }
}

TEST_CASE_METHOD(configuration_fixture, "two_operators_racing_one_wins_and_the_other_gets_a_conflict")
{
  for (std::uint64_t round = 1; round <= 8; ++round) {
    std::uint64_t version = 0;
    REQUIRE(WaitUntil([&] {
      version = Version(0);
      return version > 0 && version == Version(1);
    }));
    std::vector<std::future<program_result>> operators;
    for (const std::size_t entry : { std::size_t(0), std::size_t(1) }) {
      operators.push_back(std::async(
        std::launch::async, [&, entry] { return mCluster.Apply(entry, StockRoute(1000 * round + entry, version)); }));
    }
    const program_result first = operators[0].get();
    const program_result second = operators[1].get();
    INFO(first.mErr << second.mErr);
    CHECK(std::min(first.mStatus, second.mStatus) == 0);
    CHECK(std::max(first.mStatus, second.mStatus) == kConflict);
  }
  const std::vector<std::uint64_t> revisions = AuditedRevisions(2);
  REQUIRE(revisions.size() >= 9);
  for (std::size_t i = 0; i < revisions.size(); ++i) {
    CHECK(revisions[i] == i + 1);
  }
}

TEST_CASE_METHOD(configuration_fixture, "change_whose_write_response_is_lost_is_accepted_once")
{
  Control(mCluster.Platform(), { { "lose_answers", 1 } });
  const program_result applied = mCluster.Apply(0, "[workspace lost]\nop = create\nweight = 3\n");
  INFO(applied.mErr);
  CHECK(applied.mStatus == 0);
  CHECK(WaitUntil([&] { return mCluster.RunOperatorCommand(1, { "get", "workspace", "lost" }).mStatus == 0; }));
}

TEST_CASE_METHOD(configuration_fixture, "change_during_an_outage_is_not_accepted_and_the_old_state_stays")
{
  Control(mCluster.Platform(), { { "outage", true } });
  CHECK(mCluster.Apply(0, "[workspace outage]\nweight = 3\n").mStatus != 0);
  CHECK(mCluster.RunOperatorCommand(1, { "get", "workspace", "outage" }).mStatus != 0);
  CHECK(Weight(1) == 1);
}

TEST_CASE_METHOD(configuration_fixture, "entry_started_during_an_outage_has_the_newest_revision")
{
  REQUIRE(mCluster.Apply(0, "[workspace before]\nweight = 9\n").mStatus == 0);
  Control(mCluster.Platform(), { { "outage", true } });
  const std::size_t added = mCluster.AddEntry("domain-b");
  CHECK(mCluster.WaitUntilServing(added));
  CHECK(mCluster.RunOperatorCommand(added, { "get", "workspace", "before" }).mStatus == 0);
}

TEST_CASE_METHOD(configuration_fixture, "frozen_entry_woken_catches_up_and_never_shows_a_lower_revision")
{
  mCluster.Entry(2).Freeze();
  for (int i = 1; i <= 5; ++i) {
    REQUIRE(mCluster.Apply(0, "[workspace w" + std::to_string(i) + "]\nweight = 2\n").mStatus == 0);
  }
  mCluster.Entry(2).Wake();
  std::vector<std::uint64_t> seen;
  CHECK(WaitUntil([&] {
    const program_result result = mCluster.RunOperatorCommand(2, { "status", "-o", "json" });
    if (result.mStatus == 0) {
      seen.push_back(NumberOf(json::parse(result.mOut), "revision"));
    }
    return mCluster.RunOperatorCommand(2, { "get", "workspace", "w5" }).mStatus == 0;
  }));
  CHECK(Text(CheckRevisions(seen)) == "");
}
