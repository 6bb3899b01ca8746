#include <catch2/catch.hpp>

#include <csignal>
#include <filesystem>
#include <future>

#include "processes/cluster.h"
#include "processes/http_call.h"

using namespace chervilpulley;
using namespace chervilpulley::processes;
using namespace std::chrono_literals;

namespace {

constexpr int kExited = 0;
constexpr int kNotExited = -1;
constexpr std::uint64_t kTokens = 40;
constexpr std::uint32_t kStepUs = 2000;

/// One entry before a chain of two stages and two services.
struct entry_termination_fixture
{
  explicit entry_termination_fixture(std::map<std::string, std::string> aLimits = { { "drain_ms", "300" } },
                                     std::uint32_t aStepUs = kStepUs)
    : mCluster({ TwoChains(aStepUs), { "domain-a", "domain-b" }, { "domain-a" }, 8, std::move(aLimits) })
  {
  }

  cluster mCluster;

  process& Entry() { return mCluster.Entry(0); }
  net::endpoint Callers() { return Entry().Address("http"); }

  /// Starts a stream; returns when it has delivered a token.
  std::future<response> StartStream(const std::string& aPrompt, std::uint64_t aTokens)
  {
    auto started = std::make_shared<std::promise<void>>();
    auto hasStarted = started->get_future();
    auto stream = std::async(std::launch::async, [=, this] {
      completion_call call{ aPrompt, aTokens };
      call.mOnToken = [=](std::size_t aCount) {
        if (aCount == 1) {
          started->set_value();
        }
        return true;
      };
      return mCluster.CallerAt(0).Complete(call);
    });
    REQUIRE(hasStarted.wait_for(kTestTimeout) == std::future_status::ready);
    return stream;
  }
};

} // namespace

TEST_CASE_METHOD(entry_termination_fixture, "entry_and_sidecars_that_get_sighup_or_sigpipe_interrupt_nothing")
{
  std::future<response> stream = StartStream("Long brief", kTokens);
  const int number = GENERATE(SIGHUP, SIGPIPE);
  Entry().Signal(number);
  for (std::size_t engine = 0; engine < 4; ++engine) {
    mCluster.Engine(engine).mSidecar->Signal(number);
  }
  CHECK(Text(mCluster.CheckCompletion(stream.get(), "Long brief", kTokens)) == "");
  CHECK(mCluster.CallerAt(0).Complete({ "After it", 4 }).mStream.mDone);
  CHECK_FALSE(Entry().Status().has_value());
}

TEST_CASE_METHOD(entry_termination_fixture, "entry_and_sidecars_that_get_sigterm_twice_interrupt_nothing")
{
  std::future<response> stream = StartStream("Long brief", kTokens);
  const std::size_t leaving = mCluster.ServingEngine(0);
  for (const int number : { SIGTERM, SIGTERM, SIGINT, SIGHUP }) {
    Entry().Signal(number);
    mCluster.Engine(leaving).mSidecar->Signal(number);
  }
  CHECK(Text(mCluster.CheckCompletion(stream.get(), "Long brief", kTokens)) == "");
  CHECK(Entry().WaitForExit().value_or(kNotExited) == kExited);
  CHECK(mCluster.Engine(leaving).mSidecar->WaitForExit().value_or(kNotExited) == kExited);
}

TEST_CASE_METHOD(entry_termination_fixture, "entry_terminated_while_operators_watch_ends")
{
  const temporary_folder folder;
  std::vector<std::string> command = mCluster.OperatorCommand(0, { "watch", "--after", "0" });
  command.insert(command.begin(), { "/bin/sh", "-c", "exec \"$0\" \"$@\" > " + folder.File("changes") });
  std::future<program_result> watch =
    std::async(std::launch::async, [&] { return RunProgram(command, 4 * kTestTimeout); });
  REQUIRE(WaitUntil([&] {
    std::error_code error;
    return std::filesystem::file_size(folder.File("changes"), error) > 0 && !error;
  }));
  Entry().Terminate();
  CHECK(Entry().WaitForExit().value_or(kNotExited) == kExited);
  Entry().Kill();
  CHECK(watch.get().mErr.find("stopping") != std::string::npos);
}
