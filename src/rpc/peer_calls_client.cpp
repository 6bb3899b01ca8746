#include "rpc/peer_calls.h"

#include <limits>

#include "generated/peer_client_stub.h"
#include "rpc/peer_json.h"

namespace chervilpulley {
namespace rpc {

namespace {

constexpr int kCaptured = 1;

/// Keeps the message that the generated client makes, and ends the call.
class capture_connector : public jsonrpc::IClientConnector
{
public:
  void SendRPCMessage(const std::string& aMessage, std::string&) throw(jsonrpc::JsonRpcException) override
  {
    mMessage = aMessage;
    throw jsonrpc::JsonRpcException(kCaptured);
  }
  const std::string& Message() const { return mMessage; }

private:
  std::string mMessage;
};

/// Answers each call with a body that came before.
class replay_connector : public jsonrpc::IClientConnector
{
public:
  explicit replay_connector(const std::string& aBody)
    : mBody(aBody)
  {
  }
  void SendRPCMessage(const std::string&, std::string& aResult) throw(jsonrpc::JsonRpcException) override
  {
    aResult = mBody;
  }

private:
  const std::string& mBody;
};

template<class Call>
std::string Capture(const Call& aCall)
{
  capture_connector connector;
  peer_client_stub client(connector);
  try {
    aCall(client);
  } catch (const jsonrpc::JsonRpcException&) {
    // Ends the call after the message was made.
  }
  return connector.Message();
}

peer_error ErrorOf(const jsonrpc::JsonRpcException& aException)
{
  const bool unreadable = aException.GetCode() == jsonrpc::Errors::ERROR_CLIENT_INVALID_RESPONSE ||
                          aException.GetCode() == jsonrpc::Errors::ERROR_RPC_JSON_PARSE_ERROR;
  peer_error error;
  error.mCode = unreadable ? peer_errc::Malformed : peer_errc::Failed;
  error.mMessage = std::string(PeerErrorText(error.mCode)) + ": " + aException.GetMessage();
  return error;
}

/// Runs a call of the generated client against an answer, and reads its result.
template<class Reply, class Call, class Read>
peer_result<Reply> Replay(const std::string& aBody, const Call& aCall, const Read& aRead)
{
  replay_connector connector(aBody);
  peer_client_stub client(connector);
  try {
    return aRead(aCall(client));
  } catch (const jsonrpc::JsonRpcException& exception) {
    return ErrorOf(exception);
  } catch (const std::exception& exception) {
    peer_error error;
    error.mCode = peer_errc::Malformed;
    error.mMessage = std::string(PeerErrorText(error.mCode)) + ": " + exception.what();
    return error;
  }
}

int ToInt(std::uint32_t aNumber)
{
  constexpr auto kMost = static_cast<std::uint32_t>(std::numeric_limits<int>::max());
  return static_cast<int>(aNumber < kMost ? aNumber : kMost);
}

Json::Value CallPullConfig(peer_client_stub& aClient, const pull_config_request& aRequest)
{
  return aClient.PullConfig(std::to_string(aRequest.mAfterRevision),
                            aRequest.mFailureDomain,
                            aRequest.mInstance,
                            aRequest.mWantsList ? std::to_string(aRequest.mListDigest) : std::string(),
                            ReportsToJson(aRequest.mReports),
                            ToInt(aRequest.mWaitMs));
}

Json::Value CallReportSuspect(peer_client_stub& aClient, const report_suspect_request& aRequest)
{
  return aClient.ReportSuspect(ToInt(aRequest.mCrashes), aRequest.mDigest, ToInt(aRequest.mTtlMs));
}

} // namespace

std::string MakePullConfigCall(const pull_config_request& aRequest)
{
  return Capture([&](peer_client_stub& aClient) { CallPullConfig(aClient, aRequest); });
}

std::string MakeDrainCall(const drain_request& aRequest)
{
  return Capture([&](peer_client_stub& aClient) { aClient.Drain(aRequest.mUndo); });
}

std::string MakeReportSuspectCall(const report_suspect_request& aRequest)
{
  return Capture([&](peer_client_stub& aClient) { CallReportSuspect(aClient, aRequest); });
}

std::string MakeGetStatusCall()
{
  return Capture([](peer_client_stub& aClient) { aClient.GetStatus(); });
}

peer_result<pull_config_reply> ParsePullConfigReply(const std::string& aBody)
{
  return Replay<pull_config_reply>(
    aBody,
    [](peer_client_stub& aClient) { return CallPullConfig(aClient, pull_config_request()); },
    [](const Json::Value& aResult) {
      pull_config_reply reply;
      reply.mRevision = ParseNumber(ReadText(aResult, "revision"), "revision");
      reply.mEntries = ReadTexts(aResult, "entries");
      reply.mSnapshot = ReadText(aResult, "snapshot");
      reply.mList.mDigest = ParseNumber(ReadText(aResult, "list_digest"), "list_digest");
      reply.mList.mFull = ReadFlag(aResult, "list_full");
      reply.mList.mChanged = ReadText(aResult, "list_changed");
      reply.mList.mRemoved = ReadTexts(aResult, "list_removed");
      return reply;
    });
}

peer_result<drain_reply> ParseDrainReply(const std::string& aBody)
{
  return Replay<drain_reply>(
    aBody,
    [](peer_client_stub& aClient) { return aClient.Drain(false); },
    [](const Json::Value& aResult) {
      drain_reply reply;
      reply.mRunning = ReadNumber(aResult, "running");
      return reply;
    });
}

peer_result<report_suspect_reply> ParseReportSuspectReply(const std::string& aBody)
{
  return Replay<report_suspect_reply>(
    aBody,
    [](peer_client_stub& aClient) { return CallReportSuspect(aClient, report_suspect_request()); },
    [](const Json::Value& aResult) {
      report_suspect_reply reply;
      reply.mCrashes = ReadNumber(aResult, "crashes");
      return reply;
    });
}

peer_result<get_status_reply> ParseGetStatusReply(const std::string& aBody)
{
  return Replay<get_status_reply>(
    aBody,
    [](peer_client_stub& aClient) { return aClient.GetStatus(); },
    [](const Json::Value& aResult) {
      get_status_reply reply;
      reply.mRevision = ParseNumber(ReadText(aResult, "revision"), "revision");
      reply.mInstances = ParseReports(aResult["instances"], "instances");
      reply.mStatus = ReadText(aResult, "status");
      return reply;
    });
}

} // namespace rpc
} // namespace chervilpulley
