#include <catch2/catch.hpp>

#include "processes/cluster.h"
#include "processes/http_call.h"

using namespace chervilpulley;
using namespace chervilpulley::processes;

namespace {

struct input_case
{
  const char* mName;
  const char* mMethod;
  const char* mTarget;
  std::string mBody;
  unsigned mStatus;
};

struct input_fixture
{
  cluster mCluster{ { { { 0, 7 } }, { "domain-a" }, { "domain-a" } } };

  void CheckUndisturbed() { CHECK(mCluster.CallerAt(0).Complete({ "Still here", 3 }).mStream.mDone); }
};

} // namespace

TEST_CASE_METHOD(input_fixture, "entry_bad_input_is_refused_clearly_and_disturbs_nobody")
{
  const std::string completions = "/v1/completions";
  const std::vector<input_case> cases = {
    { "no JSON", "POST", "/v1/completions", "{", 400 },
    { "empty body", "POST", "/v1/completions", "", 400 },
    { "an array", "POST", "/v1/completions", "[]", 400 },
    { "no model", "POST", "/v1/completions", R"({"prompt":"p"})", 400 },
    { "unknown model", "POST", "/v1/completions", R"({"model":"other","prompt":"p"})", 404 },
    { "model as a number", "POST", "/v1/completions", R"({"model":7,"prompt":"p"})", 400 },
    { "no prompt", "POST", "/v1/completions", R"({"model":"demo"})", 400 },
    { "prompt as a number", "POST", "/v1/completions", R"({"model":"demo","prompt":7})", 400 },
    { "no tokens", "POST", "/v1/completions", R"({"model":"demo","prompt":"p","max_tokens":0})", 400 },
    { "negative tokens", "POST", "/v1/completions", R"({"model":"demo","prompt":"p","max_tokens":-1})", 400 },
    { "tokens as text", "POST", "/v1/completions", R"({"model":"demo","prompt":"p","max_tokens":"1"})", 400 },
    { "stream as text", "POST", "/v1/completions", R"({"model":"demo","prompt":"p","stream":"yes"})", 400 },
    { "not UTF-8", "POST", "/v1/completions", "{\"model\":\"demo\",\"prompt\":\"\xff\"}", 400 },
    { "chat without messages", "POST", "/v1/chat/completions", R"({"model":"demo"})", 400 },
    { "chat without message", "POST", "/v1/chat/completions", R"({"model":"demo","messages":[]})", 400 },
    { "chat with a number", "POST", "/v1/chat/completions", R"({"model":"demo","messages":[7]})", 400 },
    { "oversized body", "POST", "/v1/completions", std::string(2U << 20U, 'x'), 413 },
    { "unknown path", "GET", "/v1/other", "", 404 },
    { "unknown route", "POST", "/services/other/x", "", 404 },
  };
  for (const input_case& each : cases) {
    INFO(each.mName);
    net::http_request request;
    request.mMethod = each.mMethod;
    request.mTarget = each.mTarget;
    request.mBody = each.mBody;
    const response got = mCluster.CallerAt(0).Send(request);
    INFO(got.mBody);
    CHECK(got.mStatus == each.mStatus);
    CHECK(got.mOutcome == "not_run");
  }
  CheckUndisturbed();
}
