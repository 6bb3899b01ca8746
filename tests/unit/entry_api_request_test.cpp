#include "entry/api_request.h"

#include <catch2/catch.hpp>

#include <vector>

using namespace chervilpulley;
using entry::api_style;
using entry::completion_request;
using entry::ReadCompletionRequest;

namespace {

struct bad_body
{
  const char* mName;
  api_style mStyle;
  std::string mBody;
  std::string mMessage; ///< expected substring of the error message
};

struct api_request_fixture
{
  static void CheckRefused(const std::vector<bad_body>& aCases)
  {
    for (const bad_body& each : aCases) {
      INFO(each.mName);
      const auto read = ReadCompletionRequest(each.mStyle, each.mBody);
      REQUIRE(read.has_error());
      INFO(read.error().mMessage);
      CHECK(read.error().mMessage.find(each.mMessage) != std::string::npos);
      CHECK(read.error().mStatus == 400);
      CHECK(read.error().mType == "invalid_request_error");
      CHECK(read.error().mOutcome == link::OUTCOME_NOT_RUN);
      CHECK_FALSE(read.error().mRetryAfter);
    }
  }

  static completion_request Read(api_style aStyle, const std::string& aBody)
  {
    const auto read = ReadCompletionRequest(aStyle, aBody);
    INFO(aBody);
    REQUIRE(read.has_value());
    return read.value();
  }

  static std::string WithField(const std::string& aField) { return R"({"model":"m","prompt":"p",)" + aField + "}"; }
  static std::string WithMessages(const std::string& aMessages)
  {
    return R"({"model":"m","messages":)" + aMessages + "}";
  }
};

constexpr auto kText = api_style::Completion;
constexpr auto kChat = api_style::Chat;

} // namespace

TEST_CASE_METHOD(api_request_fixture, "api_request_body_that_is_not_an_object_is_refused")
{
  const std::string rule = "not a JSON object";
  CheckRefused({ { "empty", kText, "", rule },
                 { "cut", kText, R"({"model":"m","prompt":)", rule },
                 { "array", kText, "[]", rule },
                 { "null", kText, "null", rule },
                 { "text", kText, R"("model")", rule },
                 { "text behind the object", kText, R"({"model":"m","prompt":"p"}x)", rule },
                 { "two objects", kText, R"({"model":"m","prompt":"p"}{})", rule },
                 { "comma at the end", kText, R"({"model":"m","prompt":"p",})", rule },
                 { "single quotes", kText, "{'model':'m','prompt':'p'}", rule },
                 { "not UTF-8", kText, "{\"model\":\"m\",\"prompt\":\"\xc3\x28\"}", rule },
                 { "half a surrogate pair", kText, R"({"model":"m","prompt":"\ud800"})", rule },
                 { "zero byte", kText, std::string("{\"model\":\"m\"\0}", 14), rule },
                 { "deep nesting", kText, WithField("\"x\":" + std::string(1000, '[')), rule } });
}

TEST_CASE_METHOD(api_request_fixture, "api_request_with_bad_model_or_prompt_names_the_field")
{
  const std::string model = R"(field "model")";
  const std::string prompt = R"(field "prompt")";
  CheckRefused({ { "no field", kText, "{}", model },
                 { "no model", kText, R"({"prompt":"p"})", model },
                 { "model null", kText, R"({"model":null,"prompt":"p"})", model },
                 { "model empty", kText, R"({"model":"","prompt":"p"})", model },
                 { "model as a number", kText, R"({"model":1,"prompt":"p"})", model },
                 { "model as a list", kText, R"({"model":["m"],"prompt":"p"})", model },
                 { "model of other case", kText, R"({"Model":"m","prompt":"p"})", model },
                 { "no prompt", kText, R"({"model":"m"})", prompt },
                 { "prompt null", kText, R"({"model":"m","prompt":null})", prompt },
                 { "prompt empty", kText, R"({"model":"m","prompt":""})", prompt },
                 { "prompt as a list", kText, R"({"model":"m","prompt":["p"]})", prompt },
                 { "prompt as token numbers", kText, R"({"model":"m","prompt":[1,2]})", prompt },
                 { "chat asked as completion", kText, WithMessages("[]"), prompt },
                 { "chat without model", kChat, R"({"messages":[{"role":"user","content":"c"}]})", model } });
}

TEST_CASE_METHOD(api_request_fixture, "api_request_with_bad_messages_names_the_field")
{
  const std::string messages = R"(field "messages")";
  const std::string content = R"(field "content")";
  CheckRefused({ { "none", kChat, R"({"model":"m","prompt":"p"})", messages },
                 { "null", kChat, WithMessages("null"), messages },
                 { "empty", kChat, WithMessages("[]"), messages },
                 { "text", kChat, WithMessages(R"("hello")"), messages },
                 { "object", kChat, WithMessages(R"({"role":"user","content":"c"})"), messages },
                 { "number in the list", kChat, WithMessages("[1]"), messages },
                 { "null behind a good one", kChat, WithMessages(R"([{"role":"user","content":"c"},null])"), messages },
                 { "no role", kChat, WithMessages(R"([{"content":"c"}])"), R"(field "role")" },
                 { "role as a number", kChat, WithMessages(R"([{"role":1,"content":"c"}])"), R"(field "role")" },
                 { "no content", kChat, WithMessages(R"([{"role":"user"}])"), content },
                 { "content null", kChat, WithMessages(R"([{"role":"user","content":null}])"), content },
                 { "content in parts",
                   kChat,
                   WithMessages(R"([{"role":"user","content":[{"type":"text","text":"c"}]}])"),
                   content } });
}

TEST_CASE_METHOD(api_request_fixture, "api_request_with_bad_token_limit_names_the_field")
{
  const std::string field = R"(field "max_tokens")";
  const std::vector<std::string> values = {
    "0",    "-1",     "1048577", "4294967296", "18446744073709551616", "1e30", "0.5", "1.5",
    "true", R"("1")", "[1]",     "{}",         "-9223372036854775808"
  };
  std::vector<bad_body> cases;
  cases.reserve(values.size());
  for (const std::string& value : values) {
    cases.push_back({ value.c_str(), kText, WithField(R"("max_tokens":)" + value), field });
  }
  CheckRefused(cases);
  CheckRefused({ { "other name of the field",
                   kText,
                   WithField(R"("max_completion_tokens":0)"),
                   R"(field "max_completion_tokens")" } });
}

TEST_CASE_METHOD(api_request_fixture, "api_request_with_bad_flags_names_the_field")
{
  const std::string stream = R"(field "stream")";
  const std::string options = R"(field "stream_options")";
  const std::string usage = R"(field "include_usage")";
  CheckRefused({ { "stream as text", kText, WithField(R"("stream":"true")"), stream },
                 { "stream as a number", kText, WithField(R"("stream":1)"), stream },
                 { "stream as an object", kText, WithField(R"("stream":{})"), stream },
                 { "options as text", kText, WithField(R"("stream_options":"include_usage")"), options },
                 { "options as a list", kText, WithField(R"("stream_options":[])"), options },
                 { "options as a flag", kText, WithField(R"("stream_options":true)"), options },
                 { "usage as text", kText, WithField(R"("stream_options":{"include_usage":"true"})"), usage },
                 { "usage as a number", kText, WithField(R"("stream_options":{"include_usage":1})"), usage } });
}

TEST_CASE_METHOD(api_request_fixture, "api_request_with_required_fields_only_gets_defaults")
{
  const completion_request request = Read(kText, R"({"model":"m","prompt":"one two"})");
  CHECK(request.mModel == "m");
  CHECK(request.mPrompt == "one two");
  CHECK(request.mMaxTokens == 16);
  CHECK_FALSE(request.mStream);
  CHECK_FALSE(request.mIncludeUsage);
}

TEST_CASE_METHOD(api_request_fixture, "api_request_null_and_unknown_fields_are_ignored")
{
  const completion_request request = Read(
    kText,
    WithField(R"("max_tokens":null,"stream":null,"stream_options":null,"temperature":0.5,"user":{"a":[1]},"n":1)"));
  CHECK(request.mMaxTokens == 16);
  CHECK_FALSE(request.mStream);
}

TEST_CASE_METHOD(api_request_fixture, "api_request_with_all_fields_is_read_whole")
{
  const completion_request request =
    Read(kText, WithField(R"("max_tokens":1048576,"stream":true,"stream_options":{"include_usage":true})"));
  CHECK(request.mMaxTokens == 1048576);
  CHECK(request.mStream);
  CHECK(request.mIncludeUsage);
  CHECK(Read(kText, WithField(R"("max_tokens":2.0)")).mMaxTokens == 2);
  CHECK(Read(kText, WithField(R"("max_tokens":null,"max_completion_tokens":3)")).mMaxTokens == 3);
  CHECK_FALSE(Read(kText, WithField(R"("stream_options":{"include_usage":null})")).mIncludeUsage);
}

TEST_CASE_METHOD(api_request_fixture, "api_request_chat_is_joined_role_by_role")
{
  const completion_request request =
    Read(kChat, WithMessages(R"([{"role":"system","content":"Be brief."},{"role":"user","content":"Sch\u00f6n\n!"}])"));
  CHECK(request.mStyle == api_style::Chat);
  CHECK(request.mPrompt == "system: Be brief.\nuser: Sch\xc3\xb6n\n!\n");
}

TEST_CASE("count_tokens_counts_words_whatever_the_space")
{
  CHECK(entry::CountTokens("") == 0);
  CHECK(entry::CountTokens(" \t\n") == 0);
  CHECK(entry::CountTokens("one") == 1);
  CHECK(entry::CountTokens("  one\ttwo\n\nthree ") == 3);
  CHECK(entry::CountTokens("sch\xc3\xb6n \xff") == 2);
}
