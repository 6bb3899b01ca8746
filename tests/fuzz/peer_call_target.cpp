/// Fuzzes the parsers of calls between instances and of their responses.

#include "fuzz/fuzz_target.h"
#include "rpc/peer_calls.h"

using namespace chervilpulley;

namespace {

/// Responds to every call with fixed values.
class stub_handler : public rpc::peer_handler
{
public:
  rpc::pull_config_reply PullConfig(const rpc::pull_config_request& aRequest) override
  {
    rpc::pull_config_reply reply;
    reply.mRevision = aRequest.mAfterRevision;
    reply.mEntries = { "entry" };
    return reply;
  }
  rpc::drain_reply Drain(const rpc::drain_request&) override { return { 3 }; }
  rpc::report_suspect_reply ReportSuspect(const rpc::report_suspect_request& aRequest) override
  {
    fuzz::Require(aRequest.mCrashes <= INT32_MAX && aRequest.mTtlMs <= INT32_MAX, "numbers are not negative");
    return { aRequest.mCrashes };
  }
  rpc::get_status_reply GetStatus() override { return { 4, { { "a", "f", 4, 5 } }, "status" }; }
};

std::string Respond(const std::string& aCall)
{
  stub_handler handler;
  return rpc::HandlePeerCall(handler, aCall);
}

rpc::pull_config_request SamplePullRequest()
{
  rpc::pull_config_request request;
  request.mAfterRevision = 18;
  request.mInstance = "a";
  request.mReports = { { "b", "f", 17, 250 } };
  request.mWantsList = true;
  return request;
}

std::vector<std::string> SampleCalls()
{
  return { rpc::MakePullConfigCall(SamplePullRequest()),
           rpc::MakeDrainCall({ true }),
           rpc::MakeReportSuspectCall({ "77", 1, 600000 }),
           rpc::MakeGetStatusCall() };
}

} // namespace

std::vector<std::string> fuzz::SeedInputs()
{
  std::vector<std::string> seeds = SampleCalls();
  for (const std::string& call : SampleCalls()) {
    seeds.push_back(Respond(call));
  }
  return seeds;
}

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* aData, std::size_t aSize)
{
  const std::string body = fuzz::ToText(aData, aSize);
  Respond(body);
  const bool isParsed = rpc::ParsePullConfigReply(body).has_value() || rpc::ParseDrainReply(body).has_value() ||
                        rpc::ParseReportSuspectReply(body).has_value() || rpc::ParseGetStatusReply(body).has_value();
  fuzz::Require(!isParsed || !body.empty(), "an empty body is not a valid response");
  return 0;
}
