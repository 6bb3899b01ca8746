#include "admin/admin_server.h"

#include <fmt/format.h>
#include <grpcpp/resource_quota.h>
#include <grpcpp/server.h>
#include <grpcpp/server_builder.h>

#include <atomic>
#include <chrono>

#include "admin/admin_calls.h"
#include "admin/grpc_logs.h"
#include "admin/outcome_metadata.h"
#include "base/log.h"
#include "generated/admin.grpc.pb.h"

namespace chervilpulley::admin {

namespace {

constexpr part_log kLog("admin");
/// Threads of the server; calls beyond them are refused.
constexpr int kMaxThreads = 24;
/// Maximum number of concurrent watches; each occupies a thread.
constexpr int kMaxWatches = 12;
/// Largest request, in bytes.
constexpr int kMaxRequestBytes = 2 << 20;
/// Idle time after which a connection is probed.
constexpr std::chrono::milliseconds kKeepAlive(20'000);
/// Time that running calls get to finish when the server stops.
constexpr std::chrono::seconds kStopGrace(2);
constexpr const char* kAuthorization = "authorization";

grpc::StatusCode CodeOf(admin_errc aCode)
{
  switch (aCode) {
    case admin_errc::Invalid:
      return grpc::StatusCode::INVALID_ARGUMENT;
    case admin_errc::NotFound:
      return grpc::StatusCode::NOT_FOUND;
    case admin_errc::Conflict:
      return grpc::StatusCode::ABORTED;
    case admin_errc::Unknown:
      return grpc::StatusCode::UNKNOWN;
    case admin_errc::Unavailable:
      return grpc::StatusCode::UNAVAILABLE;
    case admin_errc::Forbidden:
      return grpc::StatusCode::PERMISSION_DENIED;
    case admin_errc::BadKey:
      return grpc::StatusCode::UNAUTHENTICATED;
    case admin_errc::Busy:
      return grpc::StatusCode::RESOURCE_EXHAUSTED;
  }
  return grpc::StatusCode::INTERNAL;
}

std::string AuthorizationOf(const grpc::ServerContext& aContext)
{
  const auto& metadata = aContext.client_metadata();
  const auto found = metadata.find(kAuthorization);
  return found == metadata.end() ? std::string() : std::string(found->second.data(), found->second.size());
}

/// The status of a failed call. Trailing metadata marks calls that certainly had no effect.
grpc::Status ErrorStatus(grpc::ServerContext& aContext, const admin_error& aError)
{
  if (aError.mCode != admin_errc::Unknown) {
    aContext.AddTrailingMetadata(kOutcomeMetadata, kOutcomeNotRun);
  }
  return { CodeOf(aError.mCode), aError.mMessage };
}

template<class Reply>
grpc::Status Respond(grpc::ServerContext& aContext, const admin_result<Reply>& aResult, Reply& aReply)
{
  if (!aResult) {
    return ErrorStatus(aContext, aResult.error());
  }
  aReply = aResult.value();
  return grpc::Status::OK;
}

/// Counts one watch for the lifetime of this object.
class watch_slot
{
public:
  explicit watch_slot(std::atomic<int>& aCount)
    : mCount(aCount)
    , mIsFree(aCount.fetch_add(1) < kMaxWatches)
  {
  }
  watch_slot(const watch_slot&) = delete;
  watch_slot& operator=(const watch_slot&) = delete;
  ~watch_slot() { mCount.fetch_sub(1); }
  /// Whether the watch is within the limit.
  bool IsFree() const { return mIsFree; }

private:
  std::atomic<int>& mCount;
  const bool mIsFree;
};

/// The generated service interface; forwards each call to admin_calls.
class grpc_service : public admin::Service
{
public:
  grpc_service(admin_backend& aBackend, const std::string& aBootstrapKey)
    : mCalls(aBackend, aBootstrapKey)
  {
  }

  void EndWatches() { mIsStopping = true; }

  grpc::Status Apply(grpc::ServerContext* aContext, const apply_request* aRequest, apply_reply* aReply) override
  {
    return Respond(*aContext, mCalls.Apply(AuthorizationOf(*aContext), *aRequest), *aReply);
  }

  grpc::Status Get(grpc::ServerContext* aContext, const get_request* aRequest, get_reply* aReply) override
  {
    return Respond(*aContext, mCalls.Get(AuthorizationOf(*aContext), *aRequest), *aReply);
  }

  grpc::Status List(grpc::ServerContext* aContext, const list_request* aRequest, list_reply* aReply) override
  {
    return Respond(*aContext, mCalls.List(AuthorizationOf(*aContext), *aRequest), *aReply);
  }

  grpc::Status Watch(grpc::ServerContext* aContext,
                     const watch_request* aRequest,
                     grpc::ServerWriter<log_entry>* aWriter) override
  {
    const watch_slot slot(mWatches);
    if (!slot.IsFree()) {
      return ErrorStatus(*aContext,
                         { admin_errc::Busy, fmt::format("{} watches are open, which is the most", kMaxWatches) });
    }
    const auto sink = [aWriter](const log_entry& aEntry) { return aWriter->Write(aEntry); };
    const auto isOver = [this, aContext] { return mIsStopping || aContext->IsCancelled(); };
    const auto ended = mCalls.Watch(AuthorizationOf(*aContext), *aRequest, sink, isOver);
    if (!ended) {
      return ErrorStatus(*aContext, ended.error());
    }
    return mIsStopping ? ErrorStatus(*aContext, { admin_errc::Unavailable, "this instance is stopping" })
                       : grpc::Status::OK;
  }

  grpc::Status Audit(grpc::ServerContext* aContext, const audit_request* aRequest, audit_reply* aReply) override
  {
    return Respond(*aContext, mCalls.Audit(AuthorizationOf(*aContext), *aRequest), *aReply);
  }

  grpc::Status GetRollout(grpc::ServerContext* aContext,
                          const rollout_request* aRequest,
                          rollout_reply* aReply) override
  {
    return Respond(*aContext, mCalls.GetRollout(AuthorizationOf(*aContext), *aRequest), *aReply);
  }

  grpc::Status Drain(grpc::ServerContext* aContext, const drain_request* aRequest, drain_reply* aReply) override
  {
    return Respond(*aContext, mCalls.Drain(AuthorizationOf(*aContext), *aRequest), *aReply);
  }

  grpc::Status Status(grpc::ServerContext* aContext, const status_request* aRequest, status_reply* aReply) override
  {
    return Respond(*aContext, mCalls.Status(AuthorizationOf(*aContext), *aRequest), *aReply);
  }

private:
  admin_calls mCalls;
  std::atomic<int> mWatches{ 0 };
  std::atomic<bool> mIsStopping{ false };
};

class grpc_admin_server : public admin_server
{
public:
  grpc_admin_server(const admin_options& aOptions, admin_backend& aBackend)
    : mEndpoint(aOptions.mEndpoint)
    , mService(aBackend, aOptions.mBootstrapKey)
  {
  }

  ~grpc_admin_server() override { Stop(); }

  admin_result<void> Listen()
  {
    grpc::ServerBuilder builder;
    SetLimits(builder);
    int port = 0;
    builder.AddListeningPort(mEndpoint.Str(), grpc::InsecureServerCredentials(), &port);
    builder.RegisterService(&mService);
    mServer = builder.BuildAndStart();
    if (!mServer || port == 0) {
      return admin_error{ admin_errc::Unavailable,
                          fmt::format("address \"{}\" can't be listened on for operators", mEndpoint.Str()) };
    }
    mEndpoint.mPort = static_cast<std::uint16_t>(port);
    kLog.Info("Serving operators at {}.", mEndpoint.Str());
    return outcome::success();
  }

  net::endpoint LocalEndpoint() const override { return mEndpoint; }

  void Stop() override
  {
    mService.EndWatches();
    if (mServer) {
      mServer->Shutdown(std::chrono::system_clock::now() + kStopGrace);
    }
  }

private:
  static void SetLimits(grpc::ServerBuilder& aBuilder)
  {
    grpc::ResourceQuota quota("admin");
    quota.SetMaxThreads(kMaxThreads);
    aBuilder.SetResourceQuota(quota);
    aBuilder.SetSyncServerOption(grpc::ServerBuilder::NUM_CQS, 1);
    aBuilder.SetSyncServerOption(grpc::ServerBuilder::MIN_POLLERS, 1);
    aBuilder.SetSyncServerOption(grpc::ServerBuilder::MAX_POLLERS, 2);
    aBuilder.SetMaxReceiveMessageSize(kMaxRequestBytes);
    aBuilder.AddChannelArgument(GRPC_ARG_ALLOW_REUSEPORT, 0);
    aBuilder.AddChannelArgument(GRPC_ARG_KEEPALIVE_TIME_MS, static_cast<int>(kKeepAlive.count()));
  }

  net::endpoint mEndpoint;
  grpc_service mService;
  std::unique_ptr<grpc::Server> mServer;
};

} // namespace

admin_result<ref<admin_server>> admin_server::Start(const admin_options& aOptions, admin_backend& aBackend)
{
  SilenceGrpcLogs();
  auto server = MakeRef<grpc_admin_server>(aOptions, aBackend);
  BOOST_OUTCOME_TRYV(server->Listen());
  return ref<admin_server>(std::move(server));
}

} // namespace chervilpulley::admin
