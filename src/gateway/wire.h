#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "gateway/configuration.h"
#include "net/http.h"
#include "policy/crash_journal.h"
#include "policy/layer_plan.h"
#include "policy/member_table.h"
#include "policy/store_revision.h"

/// Messages between the gateway and callers, backend servers and the platform's store, as typed structs. The functions
/// are defined in platform/, the only place that knows the headers, JSON members and paths used on the wire.
namespace chervilpulley::gateway::wire {

/// What the gateway reads from the headers of a caller's request.
struct request_metadata
{
  request_id mId;
  std::string mHost;
  std::string mKey;                        ///< API key
  std::optional<duration> mCallerTimeout;  ///< how long the caller waits
  std::optional<std::uint64_t> mLastEvent; ///< the caller has the events up to and including this one
  double mPromptTokens = 0;
  double mMaxOutputTokens = 0;
  std::optional<double> mOutputTokensHint; ///< the caller's estimate of the output's length; often far off
  /// IDs of the parts of the prompt that other requests may share, first to last.
  std::vector<std::string> mSharedParts;
};

/// One stage of the path of a request: an engine and the layers that it runs.
struct path_hop
{
  std::string mAddress;
  policy::layer_span mRange;
};

/// What a gateway adds to a request that it sends to a backend server.
struct dispatch
{
  backend_id mExpected; ///< the backend server that the request is meant for
  duration mTimeLeft{ 0 };
  std::string mWorkspace;                  ///< empty: no key was required
  std::uint32_t mPriority = 0;             ///< 0 is the most urgent
  std::vector<path_hop> mPath;             ///< empty: the request runs on this server alone
  std::optional<std::uint64_t> mLastEvent; ///< the stream resumes after this event
};

/// What the gateway reads from the status and headers of a backend server's response.
struct response_metadata
{
  std::string mAnsweredRequestId; ///< ID of the request that the response belongs to, as sent by the server
  bool mDidNotRun = false;        ///< the server reports that it did not run the request
  bool mIsStamped = false;        ///< the response carries the server's stamp
  std::string mFaultyAddress;     ///< the server on the path that caused the failure
  std::string mActualInstance;
  bool mIsLeaving = false;     ///< the server says that it is leaving
  bool mIsMisdirected = false; ///< the request reached another server than the one that it was meant for
  /// How long the server, which turned the request away, wants no requests from this gateway.
  std::optional<duration> mPause;
  /// Whether the server names the rate of requests that it takes from all gateways together; the rate, in requests a
  /// second, if it can be read.
  bool mNamesLimit = false;
  std::optional<double> mLimit;
};

/// An engine's report of its own state.
struct engine_report
{
  struct stalled_request
  {
    std::string mRequestId;
    std::string mFaultyAddress; ///< the engine that it waits for
  };
  policy::layer_span mLayers;
  std::uint64_t mOrders = 0; ///< number of layer orders that the engine has accepted
  bool mIsBusy = false;
  double mSlowdownFactor = 1; ///< factor on the predicted step and prefill times; 1 is normal speed
  double mUsedMemory = 0;     ///< tokens x layers that can't be evicted
  double mTotalMemory = 0;    ///< tokens x layers
  std::uint64_t mStartedAt = 0;
  std::vector<stalled_request> mStalled;
};

request_metadata DecodeMetadata(const net::http_headers& aHeaders);
/// The headers for the backend server: those of the caller, without connection headers and internal headers, and
/// those of the dispatch.
net::http_headers EncodeDispatch(const net::http_headers& aCallers, const dispatch& aDispatch);
response_metadata DecodeResponseMetadata(unsigned aStatus, const net::http_headers& aHeaders);
/// Whether callers take a response with this status to mean that the request has not run and never will.
bool PromisesNotRun(unsigned aStatus);
/// A header that asks a caller to retry after this time.
net::http_header RetryAfterHeader(duration aTime);
/// The path of a request as the value of a header or JSON member.
std::string EncodePath(const std::vector<path_hop>& aPath);

/// The decoders return nothing for malformed input and set aFault to the reason.
ref<const configuration> DecodeConfiguration(std::string_view aSpec, std::string& aFault);
std::optional<policy::backend_member> DecodeMember(const std::string& aName,
                                                   std::string_view aSpec,
                                                   std::string& aFault);
std::optional<engine_report> DecodeReport(std::string_view aBody, std::string& aFault);

/// Orders an engine to hold a span of layers.
/// @param aFence of the placement leader.
/// @param aOrders number of orders that the engine is expected to have accepted before.
net::http_request EncodeLayerOrder(const policy::layer_order& aOrder, std::uint64_t aFence, std::uint64_t aOrders);
/// Asks an engine to move a running request to a new path.
net::http_request EncodeNewPath(const std::string& aRequest, const std::vector<path_hop>& aPath);
/// Address of the engine because of which a new path was refused; empty when the response names none.
std::string DecodePathRefusal(std::string_view aBody);
net::http_request EncodeReportRequest();
/// Whether this is the target at which the platform's load balancer checks that the instance accepts callers.
bool IsReadinessCheck(std::string_view aTarget);

/// An object of the platform's store.
struct record
{
  std::string mName;
  policy::store_revision mRevision;
  std::string mSpec; ///< JSON as stored; may be unreadable
};
/// One page of a list.
struct record_list
{
  std::vector<record> mItems;
  bool mIsTruncated = false; ///< there are more items after the last one
  policy::store_revision mRevision;
};
struct record_change
{
  record mObject;
  bool mIsDeleted = false;
};
/// The changes up to a revision.
struct record_changes
{
  std::vector<record_change> mChanges;
  policy::store_revision mRevision;
};

/// The era that a response of the store names; nothing when it names none.
std::optional<policy::store_era> DecodeStoreEra(const net::http_headers& aHeaders);

/// Kinds of objects in the store.
enum class object_kind
{
  Configuration, ///< written by operators
  Backends,      ///< written by backend servers
  LeaderLeases,  ///< written by gateways: the leases of leaders
  Gateways,      ///< written by gateways: the list of live gateways
  Crashes        ///< written by gateways: what each has found out about crashes of backend servers
};

/// A gateway's own entry in the store.
struct gateway_record
{
  failure_domain_id mDomain;
  std::string mAddress; ///< for hints, ip:port
  std::string mRelay;   ///< where gateways of its failure domain read its cache of the store, ip:port
  instant mRenewedAt;   ///< by the writer's own clock; differs in each renewal, so that readers see a change
};
std::string EncodeGateway(const gateway_record& aRecord);
std::optional<gateway_record> DecodeGateway(std::string_view aSpec, std::string& aFault);

/// What a gateway has found out about crashes, as its object in the store. Times are stored as ages and with the time
/// of day of the write; a reader whose clock differs takes ages that are wrong by the difference.
std::string EncodeFindings(const policy::crash_findings& aFindings, instant aNow, calendar_time aWrittenAt);
/// The findings that are not forgotten by now.
std::optional<policy::crash_findings> DecodeFindings(std::string_view aSpec,
                                                     instant aNow,
                                                     calendar_time aReadAt,
                                                     std::string& aFault);

/// @param aMayBeStale allows a cheaper read that may return an older state.
net::http_request EncodeGet(object_kind aKind, const std::string& aName, bool aMayBeStale);
/// Requests one page of a list.
/// @param aAfter name of the last object of the previous page; empty for the first page.
net::http_request EncodeList(object_kind aKind, const std::string& aAfter, bool aMayBeStale);
/// Waits for changes after a revision, up to aWait. The response belongs to it only if the store is still in its era.
net::http_request EncodeWatch(object_kind aKind, const policy::store_revision& aRevision, duration aWait);
net::http_request EncodeCreate(object_kind aKind, const std::string& aName, const std::string& aSpec);
/// Replaces an object if it still has this revision. In another era its number may belong to somebody else's write.
net::http_request EncodeReplace(object_kind aKind,
                                const std::string& aName,
                                const std::string& aSpec,
                                const policy::store_revision& aRevision);
/// Deletes an object if it still has this revision, as with EncodeReplace().
net::http_request EncodeDelete(object_kind aKind, const std::string& aName, const policy::store_revision& aRevision);
/// @param aEra of the response.
std::optional<record> DecodeRecord(std::string_view aBody, policy::store_era aEra, std::string& aFault);
std::optional<record_list> DecodeList(std::string_view aBody, policy::store_era aEra, std::string& aFault);
std::optional<record_changes> DecodeChanges(std::string_view aBody, policy::store_era aEra, std::string& aFault);
/// Name of the single object that holds the configuration.
const std::string& ConfigurationName();

} // namespace chervilpulley::gateway::wire
