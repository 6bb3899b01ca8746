#include "cli/admin_client.h"

#include <fmt/format.h>
#include <grpcpp/create_channel.h>

#include <algorithm>
#include <chrono>

#include "admin/grpc_logs.h"
#include "admin/outcome_metadata.h"
#include "generated/admin.grpc.pb.h"

namespace chervilpulley::cli {

namespace {

/// Maximum time to wait for a connection.
constexpr std::chrono::milliseconds kConnectTimeout(3000);
/// Minimum and maximum delay between two attempts to connect.
constexpr std::chrono::milliseconds kMinReconnectDelay(100);
constexpr std::chrono::milliseconds kMaxReconnectDelay(1000);

std::shared_ptr<grpc::Channel> OpenChannel(const net::endpoint& aAddress)
{
  grpc::ChannelArguments arguments;
  arguments.SetInt(GRPC_ARG_INITIAL_RECONNECT_BACKOFF_MS, static_cast<int>(kMinReconnectDelay.count()));
  arguments.SetInt(GRPC_ARG_MIN_RECONNECT_BACKOFF_MS, static_cast<int>(kConnectTimeout.count()));
  arguments.SetInt(GRPC_ARG_MAX_RECONNECT_BACKOFF_MS, static_cast<int>(kMaxReconnectDelay.count()));
  return grpc::CreateCustomChannel(aAddress.Str(), grpc::InsecureChannelCredentials(), arguments);
}

/// Whether the server reported that the call had no effect.
bool IsReportedNotRun(const grpc::ClientContext& aContext)
{
  const auto& trailer = aContext.GetServerTrailingMetadata();
  const auto found = trailer.find(admin::kOutcomeMetadata);
  return found != trailer.end() &&
         std::string_view(found->second.data(), found->second.size()) == admin::kOutcomeNotRun;
}

client_error ErrorOf(const grpc::Status& aStatus, const grpc::ClientContext& aContext)
{
  const std::string& text = aStatus.error_message();
  switch (aStatus.error_code()) {
    case grpc::StatusCode::INVALID_ARGUMENT:
    case grpc::StatusCode::NOT_FOUND:
    case grpc::StatusCode::PERMISSION_DENIED:
    case grpc::StatusCode::UNAUTHENTICATED:
    case grpc::StatusCode::UNIMPLEMENTED:
      return { client_errc::Refused, text };
    case grpc::StatusCode::ABORTED:
      return { client_errc::Conflict, text };
    default:
      return { IsReportedNotRun(aContext) ? client_errc::Unavailable : client_errc::Unknown, text };
  }
}

class grpc_admin_client : public admin_client
{
public:
  explicit grpc_admin_client(const client_options& aOptions)
    : mOptions(aOptions)
    , mChannel(OpenChannel(aOptions.mAddress))
    , mStub(admin::admin::NewStub(mChannel))
  {
  }

  client_result<admin::apply_reply> Apply(const admin::apply_request& aRequest) override
  {
    return Call<admin::apply_reply>(&admin::admin::Stub::Apply, aRequest);
  }

  client_result<admin::get_reply> Get(const admin::get_request& aRequest) override
  {
    return Read<admin::get_reply>(&admin::admin::Stub::Get, aRequest);
  }

  client_result<admin::list_reply> List(const admin::list_request& aRequest) override
  {
    return Read<admin::list_reply>(&admin::admin::Stub::List, aRequest);
  }

  client_result<admin::audit_reply> Audit(const admin::audit_request& aRequest) override
  {
    return Read<admin::audit_reply>(&admin::admin::Stub::Audit, aRequest);
  }

  client_result<admin::rollout_reply> GetRollout(const admin::rollout_request& aRequest) override
  {
    return Read<admin::rollout_reply>(&admin::admin::Stub::GetRollout, aRequest);
  }

  client_result<admin::drain_reply> Drain(const admin::drain_request& aRequest) override
  {
    return Call<admin::drain_reply>(&admin::admin::Stub::Drain, aRequest);
  }

  client_result<admin::status_reply> Status() override
  {
    return Read<admin::status_reply>(&admin::admin::Stub::Status, admin::status_request());
  }

  client_result<void> Watch(const admin::watch_request& aRequest,
                            const std::function<bool(const admin::log_entry&)>& aSink) override
  {
    if (!Connect()) {
      return NotConnected();
    }
    grpc::ClientContext context;
    AddKey(context);
    const auto reader = mStub->Watch(&context, aRequest);
    admin::log_entry entry;
    while (reader->Read(&entry)) {
      if (!aSink(entry)) {
        context.TryCancel();
        reader->Finish();
        return outcome::success();
      }
    }
    const grpc::Status status = reader->Finish();
    if (!status.ok()) {
      return ToReadError(ErrorOf(status, context));
    }
    return outcome::success();
  }

private:
  template<class Request, class Reply>
  using method = grpc::Status (admin::admin::Stub::*)(grpc::ClientContext*, const Request&, Reply*);

  /// Maps Unknown to Unavailable: a call that only reads can't have an unknown outcome.
  static client_error ToReadError(client_error aError)
  {
    if (aError.mCode == client_errc::Unknown) {
      aError.mCode = client_errc::Unavailable;
    }
    return aError;
  }

  /// Waits for a connection; returns false at once when it is refused.
  bool Connect()
  {
    const auto deadline = std::chrono::system_clock::now() + ConnectTimeout();
    grpc_connectivity_state state = mChannel->GetState(true);
    while (state != GRPC_CHANNEL_READY) {
      if (state == GRPC_CHANNEL_TRANSIENT_FAILURE || !mChannel->WaitForStateChange(state, deadline)) {
        return false;
      }
      state = mChannel->GetState(true);
    }
    return true;
  }

  std::chrono::microseconds ConnectTimeout() const
  {
    return std::min<std::chrono::microseconds>(kConnectTimeout, mOptions.mTimeout);
  }

  client_error NotConnected() const
  {
    return { client_errc::Unavailable, fmt::format("no server answers at \"{}\"", mOptions.mAddress.Str()) };
  }

  void AddKey(grpc::ClientContext& aContext) const { aContext.AddMetadata("authorization", "Bearer " + mOptions.mKey); }

  template<class Reply, class Request>
  client_result<Reply> Call(method<Request, Reply> aMethod, const Request& aRequest)
  {
    if (!Connect()) {
      return NotConnected();
    }
    grpc::ClientContext context;
    AddKey(context);
    context.set_deadline(std::chrono::system_clock::now() + mOptions.mTimeout);
    Reply reply;
    const grpc::Status status = ((*mStub).*aMethod)(&context, aRequest, &reply);
    if (!status.ok()) {
      return ErrorOf(status, context);
    }
    return reply;
  }

  template<class Reply, class Request>
  client_result<Reply> Read(method<Request, Reply> aMethod, const Request& aRequest)
  {
    auto called = Call<Reply>(aMethod, aRequest);
    if (!called) {
      return ToReadError(called.error());
    }
    return called;
  }

  const client_options mOptions;
  const std::shared_ptr<grpc::Channel> mChannel;
  const std::unique_ptr<admin::admin::Stub> mStub;
};

} // namespace

ref<admin_client> admin_client::Create(const client_options& aOptions)
{
  admin::SilenceGrpcLogs();
  return MakeRef<grpc_admin_client>(aOptions);
}

} // namespace chervilpulley::cli
