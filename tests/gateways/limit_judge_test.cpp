#include "gateways/limit_judge.h"

#include <catch2/catch.hpp>
#include <fmt/format.h>

#include <algorithm>

using namespace chervilpulley::processes;

namespace {

/// Records of requests that reach one server from one gateway, evenly spaced.
struct judge_fixture
{
  std::vector<boost::json::object> mRecords;

  void Arrive(const std::string& aGateway, std::int64_t aAtMs, const std::string& aLimit)
  {
    mRecords.push_back({ { "kind", "run" },
                         { "server", "service-0" },
                         { "started_at", 1 },
                         { "id", fmt::format("{}/{}", aGateway, mRecords.size()) },
                         { "at_ms", aAtMs },
                         { "limit", aLimit } });
  }

  void ArriveEach(std::int64_t aIntervalMs, const std::string& aLimit, const std::string& aGateway = "g0")
  {
    for (std::int64_t at = 0; at < 10'000; at += aIntervalMs) {
      Arrive(aGateway, at, aLimit);
    }
  }
};

} // namespace

TEST_CASE_METHOD(judge_fixture, "limit_judge_finds_a_rate_of_twice_the_limit_and_allows_the_limit")
{
  ArriveEach(500, "2");
  CHECK(LimitBreaks(mRecords).empty());
  mRecords.clear();
  ArriveEach(200, "2");
  REQUIRE(LimitBreaks(mRecords).size() == 1);
  CHECK(LimitBreaks(mRecords).front().mAllowed == 17);
  CHECK(LimitBreaks(mRecords).front().mAtMs >= kLimitContactMs + kLimitWindowMs);
}

TEST_CASE_METHOD(judge_fixture, "limit_judge_counts_neither_gateways_that_were_not_told_nor_those_that_are_excused")
{
  ArriveEach(200, "2");
  CHECK(LimitBreaks(mRecords, { "g0" }).empty());
  mRecords.clear();
  // Each request comes from a gateway that has not been told before.
  for (int each = 0; each < 50; ++each) {
    Arrive(fmt::format("g{}", each), each * 200, "2");
  }
  CHECK(LimitBreaks(mRecords).empty());
}

TEST_CASE_METHOD(judge_fixture, "limit_judge_counts_the_sum_of_gateways_and_nothing_after_the_limit_has_ended")
{
  for (const char* gateway : { "g0", "g1", "g2" }) {
    ArriveEach(500, "1", gateway);
  }
  std::stable_sort(mRecords.begin(), mRecords.end(), [](const auto& aLeft, const auto& aRight) {
    return aLeft.at("at_ms").as_int64() < aRight.at("at_ms").as_int64();
  });
  CHECK(LimitBreaks(mRecords).size() == 1);
  mRecords.clear();
  Arrive("g0", 0, "2");
  ArriveEach(100, "");
  CHECK(LimitBreaks(mRecords).empty());
}
