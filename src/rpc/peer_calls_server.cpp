#include "rpc/peer_calls.h"

#include <limits>

#include "generated/peer_server_stub.h"
#include "rpc/peer_json.h"

namespace chervilpulley {
namespace rpc {

namespace {

/// Passes one request from memory to the server and stores the response.
class memory_connector : public jsonrpc::AbstractServerConnector
{
public:
  bool StartListening() override { return true; }
  bool StopListening() override { return true; }
  bool SendResponse(const std::string& aResponse, void*) override
  {
    mResponse = aResponse;
    return true;
  }
  const std::string& Response() const { return mResponse; }

private:
  std::string mResponse;
};

std::uint32_t ToUnsigned(int aNumber, const char* aName)
{
  if (aNumber < 0) {
    throw invalid_field(aName);
  }
  return static_cast<std::uint32_t>(aNumber);
}

Json::Int ToInt(std::uint32_t aNumber)
{
  constexpr auto kMax = static_cast<std::uint32_t>(std::numeric_limits<Json::Int>::max());
  return static_cast<Json::Int>(aNumber < kMax ? aNumber : kMax);
}

/// Converts calls of the generated stub into calls of a peer_handler.
class handler_server : public peer_server_stub
{
public:
  handler_server(jsonrpc::AbstractServerConnector& aConnector, peer_handler& aHandler)
    : peer_server_stub(aConnector)
    , mHandler(aHandler)
  {
  }

  Json::Value PullConfig(const std::string& aAfterRevision,
                         const std::string& aFailureDomain,
                         const std::string& aInstance,
                         const std::string& aListDigest,
                         const Json::Value& aReports,
                         int aWaitMs) override
  {
    pull_config_request request;
    request.mAfterRevision = ParseNumber(aAfterRevision, "after_revision");
    request.mFailureDomain = aFailureDomain;
    request.mInstance = aInstance;
    request.mReports = ParseReports(aReports, "reports");
    request.mWantsList = !aListDigest.empty();
    request.mListDigest = request.mWantsList ? ParseNumber(aListDigest, "list_digest") : 0;
    request.mWaitMs = ToUnsigned(aWaitMs, "wait_ms");
    const pull_config_reply reply = mHandler.PullConfig(request);
    Json::Value value(Json::objectValue);
    value["revision"] = std::to_string(reply.mRevision);
    value["entries"] = StringsToJson(reply.mEntries);
    value["snapshot"] = reply.mSnapshot;
    value["list_digest"] = std::to_string(reply.mList.mDigest);
    value["list_full"] = reply.mList.mFull;
    value["list_changed"] = reply.mList.mChanged;
    value["list_removed"] = StringsToJson(reply.mList.mRemoved);
    value["list_age_ms"] = ToInt(reply.mList.mAgeMs);
    return value;
  }

  Json::Value Drain(bool aUndo) override
  {
    drain_request request;
    request.mUndo = aUndo;
    Json::Value value(Json::objectValue);
    value["running"] = ToInt(mHandler.Drain(request).mRunning);
    return value;
  }

  Json::Value ReportSuspect(int aCrashes, const std::string& aDigest, int aTtlMs) override
  {
    report_suspect_request request;
    request.mCrashes = ToUnsigned(aCrashes, "crashes");
    request.mDigest = aDigest;
    request.mTtlMs = ToUnsigned(aTtlMs, "ttl_ms");
    Json::Value value(Json::objectValue);
    value["crashes"] = ToInt(mHandler.ReportSuspect(request).mCrashes);
    return value;
  }

  Json::Value GetStatus() override
  {
    const get_status_reply reply = mHandler.GetStatus();
    Json::Value value(Json::objectValue);
    value["revision"] = std::to_string(reply.mRevision);
    value["instances"] = ReportsToJson(reply.mInstances);
    value["status"] = reply.mStatus;
    return value;
  }

private:
  peer_handler& mHandler;
};

std::string ErrorBody(int aCode, const std::string& aMessage)
{
  Json::Value body(Json::objectValue);
  body["jsonrpc"] = "2.0";
  body["id"] = Json::Value();
  body["error"]["code"] = aCode;
  body["error"]["message"] = aMessage;
  return Json::FastWriter().write(body);
}

} // namespace

std::string HandlePeerCall(peer_handler& aHandler, const std::string& aBody)
{
  try {
    memory_connector connector;
    handler_server server(connector, aHandler);
    connector.OnRequest(aBody);
    return connector.Response();
  } catch (const invalid_field& error) {
    return ErrorBody(jsonrpc::Errors::ERROR_RPC_INVALID_PARAMS, error.what());
  } catch (const std::exception&) {
    return ErrorBody(jsonrpc::Errors::ERROR_RPC_INVALID_REQUEST, "request can't be read");
  }
}

} // namespace rpc
} // namespace chervilpulley
