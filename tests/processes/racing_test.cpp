#include <catch2/catch.hpp>

#include <atomic>
#include <future>
#include <thread>

#include "processes/cluster.h"
#include "standin/demo_model.h"

using namespace chervilpulley;
using namespace chervilpulley::processes;

namespace {

constexpr std::uint64_t kTokens = 30;
constexpr std::uint32_t kStepUs = 2000;
constexpr std::size_t kManyStreams = 48;

struct racing_fixture
{
  cluster mCluster{ { TwoChains(kStepUs), {}, { "domain-a", "domain-b" } } };
};

} // namespace

TEST_CASE_METHOD(racing_fixture, "stream_resumed_while_the_first_entry_serves_it_is_complete_and_runs_nothing_twice")
{
  const std::string prompt = "Rota summary for two readers";
  std::future<response> second;
  completion_call call{ prompt, kTokens };
  std::string lastEventId;
  call.mOnToken = [&](std::size_t aTokens) {
    if (aTokens == 5) {
      second = std::async(std::launch::async, [&, id = lastEventId] {
        completion_call again{ prompt, kTokens };
        again.mLastEventId = id;
        return mCluster.CallerAt(1).Complete(again);
      });
    }
    return true;
  };
  call.mOnEventId = [&](const std::string& aId) { lastEventId = aId; };
  const response first = mCluster.CallerAt(0).Complete(call);
  REQUIRE(second.valid());
  response resumed = second.get();
  INFO("second reader: " << resumed.mStatus << " " << resumed.mBody);
  const std::string expected = standin::ExpectedOutput(prompt, kTokens, 8);
  CHECK(resumed.mStream.mDone);
  CHECK(expected.ends_with(resumed.mStream.mText));
  CHECK(expected.starts_with(first.mStream.mText));
  // The first reader is notified immediately: by the end of the output or by an error in the stream.
  CHECK((first.mStream.mDone || !first.mOutcome.empty()));
  resumed.mStream.mText = expected;
  resumed.mRequest = lastEventId.substr(0, lastEventId.find('~'));
  CHECK(Text(mCluster.CheckCompletion(resumed, prompt, kTokens)) == "");
}

TEST_CASE_METHOD(racing_fixture, "many_streams_on_the_same_links_each_caller_gets_its_own_output")
{
  std::vector<std::future<response>> streams;
  const auto prompt = [](std::size_t aIndex) { return "Caller " + std::to_string(aIndex); };
  const auto tokens = [](std::size_t aIndex) { return 1 + aIndex * 7 % 29; };
  for (std::size_t i = 0; i < kManyStreams; ++i) {
    streams.push_back(std::async(std::launch::async, [&, i] {
      return mCluster.CallerAt(i % 2).Complete({ prompt(i), tokens(i) });
    }));
  }
  for (std::size_t i = 0; i < kManyStreams; ++i) {
    CHECK(Text(mCluster.CheckCompletion(streams[i].get(), prompt(i), tokens(i))) == "");
  }
}

TEST_CASE_METHOD(racing_fixture, "slow_reader_gets_the_complete_output_and_delays_nobody")
{
  std::future<response> slow = std::async(std::launch::async, [&] {
    completion_call call{ "Slow reader", kTokens };
    call.mOnToken = [](std::size_t) {
      std::this_thread::sleep_for(std::chrono::milliseconds(50));
      return true;
    };
    return mCluster.CallerAt(0).Complete(call);
  });
  for (int i = 0; i < 5; ++i) {
    const std::string prompt = "Quick reader " + std::to_string(i);
    CHECK(Text(mCluster.CheckCompletion(mCluster.CallerAt(0).Complete({ prompt, 8 }), prompt, 8)) == "");
  }
  CHECK(Text(mCluster.CheckCompletion(slow.get(), "Slow reader", kTokens)) == "");
}
