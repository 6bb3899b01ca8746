#include <catch2/catch.hpp>

#include <boost/json/serialize.hpp>

#include "processes/checker.h"
#include "processes/http_call.h"
#include "processes/process.h"
#include "standin/demo_model.h"

using namespace chervilpulley;
using namespace chervilpulley::processes;

namespace json = boost::json;

namespace {

constexpr std::uint32_t kLayers = 8;
constexpr std::uint64_t kTokens = 4;
const std::string kPrompt = "Reserve a winch for Bala";

/// Two stand-in engines that hold the lower and the upper half of the layers.
struct engines_fixture
{
  temporary_folder mFolder;
  process mFront{ { StandinPath(), "engine", "--last_layer", "3", "--step_us", "10" }, mFolder.File("front.log") };
  process mBack{ { StandinPath(), "engine", "--first_layer", "4", "--step_us", "10" }, mFolder.File("back.log") };

  static net::http_reply Post(const process& aEngine, std::string_view aPath, const json::object& aBody)
  {
    return Call(aEngine.Address("http"), "POST", aPath, json::serialize(aBody));
  }

  /// Body of a run request over all layers of an engine.
  static json::object RunRequest(const process& aEngine, std::uint64_t aPosition, bool aPrefill)
  {
    const json::object state = JsonOf(Call(aEngine.Address("http"), "GET", "/v1/state"));
    return { { "request", "r" },
             { "attempt", 1 },
             { "position", aPosition },
             { "first_layer", state.at("first_layer") },
             { "last_layer", state.at("last_layer") },
             { "prefill", aPrefill },
             { "max_tokens", kTokens } };
  }

  static std::string Output(const net::http_reply& aReply)
  {
    REQUIRE(aReply.mStatus == 200);
    return std::string(JsonOf(aReply).at("output").as_string());
  }

  void Prefill(const std::vector<std::string>& aDelivered) { PrefillOn(mFront, mBack, aDelivered); }

  static void PrefillOn(const process& aFront, const process& aBack, const std::vector<std::string>& aDelivered)
  {
    json::object front = RunRequest(aFront, aDelivered.size(), true);
    front["prompt"] = kPrompt;
    front["delivered"] = json::array(aDelivered.begin(), aDelivered.end());
    json::object back = RunRequest(aBack, aDelivered.size(), true);
    back["input"] = Output(Post(aFront, "/v1/run", front));
    CHECK(Output(Post(aBack, "/v1/run", back)).empty());
  }

  json::object Step(std::uint64_t aPosition, const std::string& aPrevious)
  {
    json::object front = RunRequest(mFront, aPosition, false);
    front["input"] = aPrevious;
    json::object back = RunRequest(mBack, aPosition, false);
    back["input"] = Output(Post(mFront, "/v1/run", front));
    const net::http_reply reply = Post(mBack, "/v1/run", back);
    REQUIRE(reply.mStatus == 200);
    return JsonOf(reply);
  }

  std::string Generate(std::uint64_t aFrom, std::string aPrevious)
  {
    std::string text;
    for (std::uint64_t position = aFrom; position < kTokens; ++position) {
      const json::object reply = Step(position, aPrevious);
      aPrevious = reply.at("token").as_string();
      CHECK(reply.at("last").as_bool() == (position + 1 == kTokens));
      text += aPrevious;
    }
    return text;
  }

  std::vector<engine_run> Runs() const
  {
    std::vector<engine_run> runs = EngineRuns("front", RecordsOf(mFront));
    for (engine_run& run : EngineRuns("back", RecordsOf(mBack))) {
      runs.push_back(std::move(run));
    }
    return runs;
  }
};

/// Changes that make a run request invalid, and the status that it gets.
struct invalid_run_case
{
  const char* mName;
  json::object mChanges;
  unsigned mStatus;
};

} // namespace

TEST_CASE_METHOD(engines_fixture, "standin_engine_two_stages_give_the_expected_output")
{
  Prefill({});
  CHECK(Generate(0, "") == standin::ExpectedOutput(kPrompt, kTokens, kLayers));
  CHECK(Text(CheckLayers(Runs(), "r", kTokens, kLayers)).empty());
}

TEST_CASE_METHOD(engines_fixture, "standin_engine_prefill_with_delivered_tokens_continues_as_undisturbed")
{
  Prefill({});
  const std::string first(Step(0, "").at("token").as_string());
  Prefill({ first });
  CHECK(first + Generate(1, first) == standin::ExpectedOutput(kPrompt, kTokens, kLayers));
}

TEST_CASE_METHOD(engines_fixture, "standin_engine_lower_position_truncates_the_cache")
{
  Prefill({});
  const std::string first(Step(0, "").at("token").as_string());
  Step(1, first);
  CHECK(first + Generate(1, first) == standin::ExpectedOutput(kPrompt, kTokens, kLayers));
}

TEST_CASE_METHOD(engines_fixture, "standin_engine_prefill_keeps_a_longer_cache")
{
  Prefill({});
  const std::string first(Step(0, "").at("token").as_string());
  Step(1, first);
  Prefill({ first });
  CHECK(JsonOf(Post(mFront, "/v1/kv/export", { { "request", "r" } })).at("position").to_number<int>() == 2);
  CHECK(first + Generate(1, first) == standin::ExpectedOutput(kPrompt, kTokens, kLayers));
}

TEST_CASE_METHOD(engines_fixture, "standin_engine_wrong_previous_token_changes_the_output")
{
  Prefill({});
  const std::string first(Step(0, "").at("token").as_string());
  CHECK(first + Generate(1, "another ") != standin::ExpectedOutput(kPrompt, kTokens, kLayers));
}

TEST_CASE_METHOD(engines_fixture, "standin_engine_imported_cache_continues_as_undisturbed")
{
  Prefill({});
  const std::string first(Step(0, "").at("token").as_string());
  const json::object exported = JsonOf(Post(mBack, "/v1/kv/export", { { "request", "r" } }));
  CHECK(exported.at("position").to_number<int>() == 1);
  json::object import = exported;
  import["request"] = "r";
  Control(mBack, { { "kv_import", false } });
  CHECK(Post(mBack, "/v1/kv/import", import).mStatus == 501);
  Control(mBack, { { "kv_import", true } });
  Post(mBack, "/v1/cancel", { { "request", "r" } });
  CHECK(Post(mBack, "/v1/kv/export", { { "request", "r" } }).mStatus == 404);
  CHECK(Post(mBack, "/v1/kv/import", import).mStatus == 200);
  CHECK(first + Generate(1, first) == standin::ExpectedOutput(kPrompt, kTokens, kLayers));
}

TEST_CASE_METHOD(engines_fixture, "standin_engine_invalid_run_request_is_refused")
{
  Prefill({});
  const std::vector<invalid_run_case> cases = {
    { "position without cache", { { "position", 1 }, { "input", "x " } }, 409 },
    { "unknown request", { { "request", "other" } }, 409 },
    { "layers of another engine", { { "last_layer", 7 } }, 409 },
    { "layers in reverse", { { "first_layer", 3 }, { "last_layer", 0 } }, 409 },
    { "layers other than those of the cache", { { "last_layer", 2 } }, 409 },
    { "token before the first", { { "input", "x " } }, 400 },
    { "negative position", { { "position", -1 } }, 400 },
    { "position as text", { { "position", "0" } }, 400 },
    { "request as a number", { { "request", 7 } }, 400 },
    { "prefill without prompt", { { "prefill", true } }, 400 },
    { "prefill with too few tokens", { { "prefill", true }, { "prompt", "p" }, { "position", 2 } }, 400 },
  };
  for (const invalid_run_case& each : cases) {
    INFO(each.mName);
    json::object runRequest = RunRequest(mFront, 0, false);
    for (const auto& change : each.mChanges) {
      runRequest[change.key()] = change.value();
    }
    const net::http_reply reply = Post(mFront, "/v1/run", runRequest);
    CHECK(reply.mStatus == each.mStatus);
    CHECK(JsonOf(reply).contains("error"));
  }
  CHECK(Call(mFront.Address("http"), "POST", "/v1/run", "{").mStatus == 400);
  CHECK(Call(mFront.Address("http"), "GET", "/v1/run").mStatus == 404);
}

TEST_CASE_METHOD(engines_fixture, "standin_engine_old_fence_is_refused_where_fences_are_checked")
{
  const auto load = [&](std::uint64_t aFence) {
    return Post(mFront,
                "/v1/load",
                { { "model", "demo" }, { "first_layer", 0 }, { "last_layer", 3 }, { "fence", aFence } })
      .mStatus;
  };
  CHECK(load(5) == 200);
  CHECK(load(4) == 409);
  CHECK(load(5) == 200);
  Control(mFront, { { "check_fence", false } });
  CHECK(load(4) == 200);
}

TEST_CASE_METHOD(engines_fixture, "standin_engine_crashing_prompt_crashes_the_process")
{
  json::object runRequest = RunRequest(mFront, 0, true);
  runRequest["prompt"] = "please CRASH-ENGINE now";
  const auto reply =
    net::FetchBlocking(mFront.Address("http"), { "POST", "/v1/run", {}, json::serialize(runRequest) }, kTestTimeout);
  CHECK_FALSE(reply.has_value());
  CHECK(mFront.WaitForExit().has_value());
}

TEST_CASE_METHOD(engines_fixture, "standin_engine_stalled_run_waits_for_the_end_of_the_stall")
{
  json::object runRequest = RunRequest(mFront, 0, true);
  runRequest["prompt"] = kPrompt;
  const net::http_request request{ "POST", "/v1/run", {}, json::serialize(runRequest) };
  Control(mFront, { { "stall", true } });
  CHECK_FALSE(net::FetchBlocking(mFront.Address("http"), request, std::chrono::milliseconds(100)).has_value());
  CHECK(Call(mFront.Address("http"), "GET", "/v1/state").mStatus == 200);
  Control(mFront, { { "stall", false } });
  CHECK(net::FetchBlocking(mFront.Address("http"), request, kTestTimeout).has_value());
}

TEST_CASE("standin_engine_records_file_outlives_a_kill")
{
  const temporary_folder folder;
  const std::vector<std::string> arguments{ StandinPath(), "engine", "--records_file", folder.File("records") };
  const json::object runRequest{ { "request", "r" },  { "position", 0 },   { "first_layer", 0 },
                                 { "last_layer", 7 }, { "prefill", true }, { "prompt", kPrompt } };
  process before(arguments, folder.File("log"));
  CHECK(engines_fixture::Post(before, "/v1/run", runRequest).mStatus == 200);
  before.Kill();
  const process after(arguments, folder.File("log"));
  CHECK(EngineRuns("e", RecordsOf(after)).size() == 1);
}
