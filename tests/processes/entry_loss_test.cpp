#include <catch2/catch.hpp>

#include "processes/cluster.h"
#include "processes/http_call.h"

using namespace chervilpulley;
using namespace chervilpulley::processes;

namespace {

constexpr std::uint64_t kTokens = 30;
constexpr std::uint64_t kHugeOutputTokens = 4000;
constexpr std::uint32_t kStepUs = 2000;

struct entries_fixture
{
  cluster mCluster{ { TwoChains(kStepUs), {}, { "domain-a", "domain-b" } } };

  /// Resumes at the second entry a stream that began at another entry.
  response Resume(const std::string& aPrompt, const response& aFirst)
  {
    completion_call call{ aPrompt, kTokens };
    call.mLastEventId = aFirst.mLastEventId;
    return mCluster.CallerAt(1).Complete(call);
  }
};

} // namespace

TEST_CASE_METHOD(entries_fixture, "entry_killed_mid_stream_is_resumed_at_another_entry")
{
  const std::string prompt = "Blessing for the well at Hawassa";
  completion_call call{ prompt, kTokens };
  call.mOnToken = [&](std::size_t aTokens) {
    if (aTokens == 6) {
      mCluster.Entry(0).Kill();
    }
    return true;
  };
  const response first = mCluster.CallerAt(0).Complete(call);
  REQUIRE_FALSE(first.mStream.mDone);
  REQUIRE_FALSE(first.mLastEventId.empty());
  response combined = Resume(prompt, first);
  INFO("second part: " << combined.mStatus << " " << combined.mBody);
  const std::string request = first.mLastEventId.substr(0, first.mLastEventId.find('~'));
  combined.mStream.mText = first.mStream.mText + combined.mStream.mText;
  combined.mRequest = request;
  CHECK(Text(mCluster.CheckCompletion(combined, prompt, kTokens)) == "");
}

TEST_CASE_METHOD(entries_fixture, "stream_resumed_with_a_forged_id_is_refused")
{
  const response first = mCluster.CallerAt(0).Complete({ "Rota of June", 3 });
  REQUIRE_FALSE(first.mLastEventId.empty());
  response forged = first;
  forged.mLastEventId.back() = forged.mLastEventId.back() == '0' ? '1' : '0';
  const response refused = Resume("Rota of June", forged);
  CHECK(refused.mStatus == 400);
  CHECK(refused.mOutcome == "not_run");
}

TEST_CASE_METHOD(entries_fixture, "caller_hangs_up_work_is_cancelled_at_the_engines")
{
  completion_call call{ "Hang up early", kHugeOutputTokens };
  call.mOnToken = [](std::size_t aTokens) { return aTokens < 3; };
  const response got = mCluster.CallerAt(0).Complete(call);
  const std::string request = got.mLastEventId.substr(0, got.mLastEventId.find('~'));
  CHECK(WaitUntil([&] {
    for (std::size_t i = 0; i < 4; ++i) {
      const net::endpoint engine = mCluster.Engine(i).mServer->Address("http");
      if (Call(engine, "POST", "/v1/kv/export", R"({"request":")" + request + "\"}").mStatus != 404) {
        return false;
      }
    }
    return true;
  }));
  CHECK(mCluster.AllEngineRuns().size() < kHugeOutputTokens);
}
