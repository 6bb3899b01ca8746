#include "runtime/operator_backend.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/use_future.hpp>

#include <algorithm>

namespace chervilpulley::runtime {

namespace {

constexpr duration kStatusTimeout = std::chrono::milliseconds(800);
constexpr duration kDrainTimeout = std::chrono::seconds(2);

admin::admin_errc CodeOf(config::config_errc aCode)
{
  switch (aCode) {
    case config::config_errc::NotFound:
      return admin::admin_errc::NotFound;
    case config::config_errc::Conflict:
    case config::config_errc::AlreadyExists:
      return admin::admin_errc::Conflict;
    case config::config_errc::Unknown:
      return admin::admin_errc::Unknown;
    case config::config_errc::Unavailable:
    case config::config_errc::BadData:
      return admin::admin_errc::Unavailable;
    default:
      return admin::admin_errc::Invalid;
  }
}

admin::admin_error ToAdminError(const config::config_error& aError)
{
  return { CodeOf(aError.mCode), aError.mMessage };
}

/// Runs a call on the core's threads and blocks until it has completed. Results are not default-constructible, so an
/// optional carries them.
template<class T>
T RunBlocking(boost::asio::io_context& aContext, boost::asio::awaitable<T> aCall)
{
  auto task = [](boost::asio::awaitable<T> aInner) -> boost::asio::awaitable<std::optional<T>> {
    std::optional<T> value(co_await std::move(aInner));
    co_return value;
  };
  auto future = boost::asio::co_spawn(aContext, task(std::move(aCall)), boost::asio::use_future);
  return std::move(*future.get());
}

} // namespace

operator_backend::operator_backend(instance_core& aCore,
                                   ref<config::config_store> aStore,
                                   ref<config::peer_client> aPeers)
  : mCore(aCore)
  , mStore(std::move(aStore))
  , mPeers(std::move(aPeers))
{
}

admin::admin_result<admin::applied_change> operator_backend::Apply(const admin::change& aChange,
                                                                   const std::string& aActor)
{
  const auto applied = RunBlocking(mCore.Context(), mStore->Apply(aChange, aActor));
  if (applied.has_error()) {
    return ToAdminError(applied.error());
  }
  const auto& accepted = applied.value();
  return admin::applied_change{ accepted.mRevision, accepted.mPropagationPending, accepted.mRepeated };
}

admin::admin_result<admin::applied_change> operator_backend::Validate(const admin::change& aChange)
{
  const auto checked = mStore->Validate(aChange);
  if (checked.has_error()) {
    return ToAdminError(checked.error());
  }
  return admin::applied_change{ checked.value(), false, false };
}

admin::admin_result<admin::log_page> operator_backend::Log(revision_number aAfter, std::size_t aLimit)
{
  auto entries = RunBlocking(mCore.Context(), mStore->Log(aAfter, aLimit));
  if (entries.has_error()) {
    return ToAdminError(entries.error());
  }
  return admin::log_page{ std::move(entries).value(), mStore->Current()->Revision() };
}

revision_number operator_backend::WaitForChange(revision_number aAfter, duration aTimeout)
{
  return RunBlocking(mCore.Context(), mStore->WaitForRevisionAbove(aAfter, aTimeout));
}

admin::admin_result<admin::rollout_reply> operator_backend::Rollout(revision_number aRevision)
{
  return RunBlocking(mCore.Context(), mStore->Rollout(aRevision));
}

admin::admin_result<std::uint32_t> operator_backend::Drain(const instance_id& aInstance, bool aUndo)
{
  const auto live = mCore.Live();
  const auto found =
    std::find_if(live.begin(), live.end(), [&](const auto& aListed) { return aListed.mInstance == aInstance; });
  if (found == live.end()) {
    return admin::admin_error{ admin::admin_errc::NotFound,
                               "instance \"" + aInstance.Str() + "\" is not on the live list" };
  }
  const auto drained =
    RunBlocking(mCore.Context(), mPeers->Drain(found->mPeer, rpc::drain_request{ aUndo }, kDrainTimeout));
  if (drained.has_error()) {
    return admin::admin_error{ admin::admin_errc::Unavailable,
                               "instance \"" + aInstance.Str() + "\": " + drained.error().mMessage };
  }
  return drained.value().mRunning;
}

boost::asio::awaitable<void> operator_backend::FetchStatus(platform::live_instance aInstance,
                                                           admin::instance_status& aStatus)
{
  aStatus.set_instance(aInstance.mInstance.Str());
  aStatus.set_role(aInstance.mRole == platform::instance_role::Entry ? "entry" : "sidecar");
  aStatus.set_failure_domain(aInstance.mFailureDomain.Str());
  aStatus.set_pool(aInstance.mPool.Str());
  aStatus.set_leaving(aInstance.mLeaving);
  const auto reply = co_await mPeers->GetStatus(aInstance.mPeer, kStatusTimeout);
  if (reply.has_value()) {
    aStatus.ParseFromString(reply.value().mStatus);
  }
}

boost::asio::awaitable<admin::status_reply> operator_backend::FetchStatuses(
  std::vector<platform::live_instance> aInstances)
{
  admin::status_reply reply;
  for (const auto& listed : aInstances) {
    co_await FetchStatus(listed, *reply.add_instances());
  }
  co_return reply;
}

admin::admin_result<admin::status_reply> operator_backend::Status()
{
  admin::status_reply reply = RunBlocking(mCore.Context(), FetchStatuses(mCore.Live()));
  reply.set_revision(mStore->Current()->Revision().Value());
  reply.set_platform_up(mCore.IsPlatformUp());
  return reply;
}

} // namespace chervilpulley::runtime
