/// Fuzzes the parser of API request bodies that callers send to the entry.

#include "entry/api_request.h"
#include "fuzz/fuzz_target.h"

using namespace chervilpulley;

namespace {

void Check(entry::api_style aStyle, const std::string& aBody)
{
  const auto parsed = entry::ReadCompletionRequest(aStyle, aBody);
  if (parsed.has_error()) {
    fuzz::Require(parsed.error().mStatus == 400, "an invalid body is rejected with status 400");
    fuzz::Require(parsed.error().mOutcome == link::OUTCOME_NOT_RUN, "an invalid body is reported as not run");
    fuzz::Require(!entry::ErrorBody(parsed.error()).empty(), "an error has a response body");
    return;
  }
  const entry::completion_request& request = parsed.value();
  fuzz::Require(!request.mModel.empty() && !request.mPrompt.empty(), "model and prompt are not empty");
  fuzz::Require(request.mMaxTokens >= 1 && request.mMaxTokens <= 1U << 20U, "the token limit is within its range");
  fuzz::Require(entry::CountTokens(request.mPrompt) <= request.mPrompt.size(), "a token has at least one byte");
}

} // namespace

std::vector<std::string> fuzz::SeedInputs()
{
  return {
    R"({"model":"m","prompt":"one two","max_tokens":16,"stream":true,"stream_options":{"include_usage":true}})",
    R"({"model":"m","messages":[{"role":"user","content":"c"},{"role":"system","content":"\u00e9\ud83d\ude00"}]})",
    R"({"model":"m","prompt":"p","max_completion_tokens":1e2,"stream":null,"temperature":0.5})"
  };
}

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* aData, std::size_t aSize)
{
  const std::string body = fuzz::ToText(aData, aSize);
  Check(entry::api_style::Completion, body);
  Check(entry::api_style::Chat, body);
  return 0;
}
