#include "rpc/peer_calls.h"

#include <limits>

#include "generated/peer_client_stub.h"
#include "rpc/peer_json.h"

namespace chervilpulley {
namespace rpc {

namespace {

constexpr int kCaptured = 1;

/// Stores the message that the generated client builds, and aborts the call by an exception.
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

/// Returns a response body that was received earlier.
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
    // Thrown by capture_connector once it has the message.
  }
  return connector.Message();
}

peer_error ToPeerError(const jsonrpc::JsonRpcException& aException)
{
  const bool isMalformed = aException.GetCode() == jsonrpc::Errors::ERROR_CLIENT_INVALID_RESPONSE ||
                           aException.GetCode() == jsonrpc::Errors::ERROR_RPC_JSON_PARSE_ERROR;
  peer_error error;
  error.mCode = isMalformed ? peer_errc::Malformed : peer_errc::Failed;
  error.mMessage = std::string(PeerErrorText(error.mCode)) + ": " + aException.GetMessage();
  return error;
}

/// Decodes a response body: runs a call of the generated client on it and reads the result.
template<class Reply, class Call, class ParseResult>
peer_result<Reply> Replay(const std::string& aBody, const Call& aCall, const ParseResult& aParseResult)
{
  replay_connector connector(aBody);
  peer_client_stub client(connector);
  try {
    return aParseResult(aCall(client));
  } catch (const jsonrpc::JsonRpcException& exception) {
    return ToPeerError(exception);
  } catch (const std::exception& exception) {
    peer_error error;
    error.mCode = peer_errc::Malformed;
    error.mMessage = std::string(PeerErrorText(error.mCode)) + ": " + exception.what();
    return error;
  }
}

int ToInt(std::uint32_t aNumber)
{
  constexpr auto kMax = static_cast<std::uint32_t>(std::numeric_limits<int>::max());
  return static_cast<int>(aNumber < kMax ? aNumber : kMax);
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
      reply.mRevision = ParseNumber(ReadString(aResult, "revision"), "revision");
      reply.mEntries = ReadStrings(aResult, "entries");
      reply.mSnapshot = ReadString(aResult, "snapshot");
      reply.mList.mDigest = ParseNumber(ReadString(aResult, "list_digest"), "list_digest");
      reply.mList.mFull = ReadBool(aResult, "list_full");
      reply.mList.mChanged = ReadString(aResult, "list_changed");
      reply.mList.mRemoved = ReadStrings(aResult, "list_removed");
      // Earlier releases do not send it.
      reply.mList.mAgeMs = aResult.isMember("list_age_ms") ? ReadNumber(aResult, "list_age_ms") : 0;
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
      reply.mRevision = ParseNumber(ReadString(aResult, "revision"), "revision");
      reply.mInstances = ParseReports(aResult["instances"], "instances");
      reply.mStatus = ReadString(aResult, "status");
      return reply;
    });
}

} // namespace rpc
} // namespace chervilpulley
