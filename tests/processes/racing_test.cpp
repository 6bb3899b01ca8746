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

TEST_CASE_METHOD(racing_fixture, "stream_taken_up_while_the_first_entry_serves_it_is_whole_and_doubles_nothing")
{
  const std::string prompt = "Rota summary for two readers";
  std::future<answer> second;
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
  const answer first = mCluster.CallerAt(0).Complete(call);
  REQUIRE(second.valid());
  answer taken = second.get();
  INFO("second reader: " << taken.mStatus << " " << taken.mBody);
  const std::string whole = standin::ExpectedOutput(prompt, kTokens, 8);
  CHECK(taken.mStream.mDone);
  CHECK(whole.ends_with(taken.mStream.mText));
  CHECK(whole.starts_with(first.mStream.mText));
  // The first reader is told at once, by the end of the answer or by an error in the stream.
  CHECK((first.mStream.mDone || !first.mOutcome.empty()));
  taken.mStream.mText = whole;
  taken.mRequest = lastEventId.substr(0, lastEventId.find('~'));
  CHECK(Text(mCluster.Judge(taken, prompt, kTokens)) == "");
}

TEST_CASE_METHOD(racing_fixture, "many_streams_on_the_same_links_each_caller_gets_the_own_answer")
{
  std::vector<std::future<answer>> streams;
  const auto prompt = [](std::size_t aIndex) { return "Caller " + std::to_string(aIndex); };
  const auto tokens = [](std::size_t aIndex) { return 1 + aIndex * 7 % 29; };
  for (std::size_t i = 0; i < kManyStreams; ++i) {
    streams.push_back(std::async(std::launch::async, [&, i] {
      return mCluster.CallerAt(i % 2).Complete({ prompt(i), tokens(i) });
    }));
  }
  for (std::size_t i = 0; i < kManyStreams; ++i) {
    CHECK(Text(mCluster.Judge(streams[i].get(), prompt(i), tokens(i))) == "");
  }
}

TEST_CASE_METHOD(racing_fixture, "slow_reader_gets_the_whole_answer_and_delays_nobody")
{
  std::future<answer> slow = std::async(std::launch::async, [&] {
    completion_call call{ "Slow reader", kTokens };
    call.mOnToken = [](std::size_t) {
      std::this_thread::sleep_for(std::chrono::milliseconds(50));
      return true;
    };
    return mCluster.CallerAt(0).Complete(call);
  });
  for (int i = 0; i < 5; ++i) {
    const std::string prompt = "Quick reader " + std::to_string(i);
    CHECK(Text(mCluster.Judge(mCluster.CallerAt(0).Complete({ prompt, 8 }), prompt, 8)) == "");
  }
  CHECK(Text(mCluster.Judge(slow.get(), "Slow reader", kTokens)) == "");
}
