#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "gateway/configuration.h"
#include "net/http.h"
#include "policy/layer_plan.h"
#include "policy/member_table.h"

/// What is said to callers and backend servers, and what the platform keeps, as types that say what they hold. The
/// functions are defined in platform/, which alone knows the names on the wire.
namespace chervilpulley::gateway::wire {

/// What a caller asks, from the head of its request.
struct request_metadata
{
  request_id mId;
  std::string mHost;
  std::string mKey;
  std::optional<duration> mCallerTimeout;  ///< how long the caller waits
  std::optional<std::uint64_t> mLastEvent; ///< the caller has the events up to this one
  double mPromptTokens = 0;
  double mMaxOutputTokens = 0;
  std::optional<double> mOutputTokensHint; ///< the caller's guess of the answer's tokens; often far off
};

/// A part of the path of a request.
struct path_hop
{
  std::string mAddress;
  policy::layer_span mRange;
};

/// What a gateway adds to a request for a backend server.
struct dispatch
{
  backend_id mExpected;
  duration mTimeLeft{ 0 };
  std::string mWorkspace;                  ///< empty: no key was asked for
  std::uint32_t mPriority = 0;             ///< 0 is the most urgent
  std::vector<path_hop> mPath;             ///< empty: the server alone
  std::optional<std::uint64_t> mLastEvent; ///< events up to this one are not wanted again
};

/// What the head of a backend server's answer says.
struct response_metadata
{
  std::string mRequestId;     ///< id of the request that it answers, as the server gives it
  bool mDidNotRun = false;    ///< the server says that the request was not run
  bool mIsStamped = false;    ///< the server put its mark on the answer
  std::string mFaultyAddress; ///< the server on the path that is at fault
  std::string mActualInstance;
};

/// What an engine says of itself.
struct engine_report
{
  struct stalled_request
  {
    std::string mRequestId;
    std::string mFaultyAddress; ///< the engine that it waits for
  };
  policy::layer_span mLayers;
  std::uint64_t mOrders = 0;
  bool mIsBusy = false;
  double mSlowness = 1;
  double mUsedMemory = 0; ///< tokens x layers that can't yield
  double mTotalMemory = 0;
  std::uint64_t mStartedAt = 0;
  std::vector<stalled_request> mStalled;
};

request_metadata DecodeMetadata(const net::http_headers& aHeaders);
/// The headers for the backend server: the caller's, less those of the connection and of the system, and the dispatch.
net::http_headers EncodeDispatch(const net::http_headers& aCallers, const dispatch& aDispatch);
response_metadata DecodeResponseMetadata(unsigned aStatus, const net::http_headers& aHeaders);
/// A header that tells a caller when to come back.
net::http_header RetryAfterHeader(duration aTime);
/// The path of a request to a backend server, as sent.
std::string EncodePath(const std::vector<path_hop>& aPath);

/// Each gives nothing, and says why in aFault, for what can't be read.
ref<const configuration> DecodeConfiguration(std::string_view aSpec, std::string& aFault);
std::optional<policy::backend_member> DecodeMember(const std::string& aName,
                                                   std::string_view aSpec,
                                                   std::string& aFault);
std::optional<engine_report> DecodeReport(std::string_view aBody, std::string& aFault);

/// Requests to an engine for orders and reports.
net::http_request EncodeLayerOrder(const policy::layer_order& aOrder, std::uint64_t aFence, std::uint64_t aOrders);
net::http_request EncodeNewPath(const std::string& aRequest, const std::vector<path_hop>& aPath);
/// Address of the engine because of which a new path was refused; empty when the answer names none.
std::string DecodePathRefusal(std::string_view aBody);
net::http_request EncodeReportRequest();
/// The target at which the platform's balancer asks whether this instance takes callers.
bool IsReadinessCheck(std::string_view aTarget);

/// An object as the platform's store keeps it.
struct record
{
  std::string mName;
  std::uint64_t mRevision = 0;
  std::string mSpec; ///< JSON
};
struct record_list
{
  std::vector<record> mItems;
  bool mIsTruncated = false; ///< goes on after the last item
  std::uint64_t mRevision = 0;
};
struct record_change
{
  record mObject;
  bool mIsDeleted = false;
};
struct record_changes
{
  std::vector<record_change> mChanges;
  std::uint64_t mRevision = 0;
};

/// Kinds of objects in the store.
enum class object_kind
{
  Configuration, ///< written by operators
  Backends,      ///< written by backend servers
  LeaderLeases,  ///< ours: who holds which duty
  Gateways       ///< ours: which gateways there are
};

/// What a gateway says of itself in the store.
struct gateway_record
{
  failure_domain_id mDomain;
  std::string mAddress; ///< for datagrams, ip:port
  std::string mRelay;   ///< where others of its failure domain ask what it has read of the store, ip:port
  instant mRenewedAt;   ///< makes each renewal a change; of the writer's own clock
};
std::string EncodeGateway(const gateway_record& aNote);
std::optional<gateway_record> DecodeGateway(std::string_view aSpec, std::string& aFault);

net::http_request EncodeGet(object_kind aKind, const std::string& aName, bool aMayBeOld);
net::http_request EncodeList(object_kind aKind, const std::string& aAfter, bool aMayBeOld);
net::http_request EncodeWatch(object_kind aKind, std::uint64_t aRevision, duration aWait);
net::http_request EncodeCreate(object_kind aKind, const std::string& aName, const std::string& aSpec);
/// Replaces an object that must have this revision.
net::http_request EncodeReplace(object_kind aKind,
                                const std::string& aName,
                                const std::string& aSpec,
                                std::uint64_t aRevision);
net::http_request EncodeDelete(object_kind aKind, const std::string& aName, std::uint64_t aRevision);
std::optional<record> DecodeRecord(std::string_view aBody, std::string& aFault);
std::optional<record_list> DecodeList(std::string_view aBody, std::string& aFault);
std::optional<record_changes> DecodeChanges(std::string_view aBody, std::string& aFault);
/// Name of the one object that holds the configuration.
const std::string& ConfigurationName();

} // namespace chervilpulley::gateway::wire
