#pragma once

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/strand.hpp>

#include <atomic>
#include <string>
#include <utility>
#include <vector>

#include "base/clock.h"
#include "base/log.h"
#include "base/random.h"
#include "config/async_mutex.h"
#include "config/config_responses.h"
#include "config/config_store.h"
#include "config/on_strand.h"
#include "config/peer_sync.h"
#include "config/platform_log.h"
#include "policy/config_writer.h"

/// Implementation of the configuration store: the log is in an object store of the platform, the state is replicated in
/// each process. Relays follow the platform, other processes pull from them, and during an outage processes pull from
/// other failure domains.
namespace chervilpulley::config {

/// Configuration store whose log is in an object store of type Store.
template<platform::object_store Store>
class replicated_config_store : public config_store
{
public:
  replicated_config_store(boost::asio::io_context& aContext,
                          Store& aStore,
                          ref<peer_client> aPeers,
                          config_store_options aOptions)
    : mContext(aContext)
    , mStore(aStore)
    , mOptions(std::move(aOptions))
    , mReplica(MakeRef<config_replica>())
    , mSync(MakeRef<peer_sync>(std::move(aPeers), mReplica, mOptions))
  {
  }

  ref<const config_view> Current() const override { return mReplica->Current(); }
  bool Ready() const override { return mReady; }
  void Run() override { Spawn(Follow()); }
  void Stop() override
  {
    mStopped = true;
    mReplica->CancelWaits();
  }

  boost::asio::awaitable<config_result<apply_outcome>> Apply(admin::change aChange, std::string aActor) override
  {
    return RunOnStrand(mContext, ApplyOnStrand(std::move(aChange), std::move(aActor)));
  }

  config_result<revision_number> Validate(const admin::change& aChange) override
  {
    return mReplica->WithLog([&](const policy::config_log& aLog) -> config_result<revision_number> {
      auto entry = aLog.Propose(aChange, {});
      if (!entry) {
        return ToConfigError(entry.error());
      }
      return aLog.Revision().Next();
    });
  }

  boost::asio::awaitable<config_result<std::vector<admin::log_entry>>> Log(revision_number aAfter,
                                                                           std::size_t aLimit) override
  {
    const ref<replicated_config_store> self(this);
    if (auto retained = mReplica->EntriesAfter(aAfter, aLimit)) {
      co_return std::move(*retained);
    }
    platform_log log(mStore);
    std::vector<admin::log_entry> entries;
    for (auto revision = aAfter.Next(); entries.size() < aLimit; revision = revision.Next()) {
      auto entry = co_await log.Read(revision);
      if (!entry) {
        co_return entry.error();
      }
      if (!entry.value()) {
        break;
      }
      entries.push_back(std::move(*entry.value()));
    }
    co_return entries;
  }

  boost::asio::awaitable<admin::rollout_reply> Rollout(revision_number aRevision) override
  {
    return RunOnStrand(mContext, RolloutOnStrand(aRevision));
  }

  void AddChangeCallback(change_callback aCallback) override { mReplica->AddChangeCallback(std::move(aCallback)); }

  boost::asio::awaitable<revision_number> WaitForRevisionAbove(revision_number aAfter, duration aTimeout) override
  {
    return RunOnStrand(mContext, mReplica->WaitForRevisionAbove(aAfter, aTimeout));
  }

  void UpdateInstances(std::vector<platform::live_instance> aInstances, instant aRequestedAt) override
  {
    mSync->SetInstances(aInstances, aRequestedAt);
  }

  bool ReadsLiveList() const override
  {
    return mSync->Directory().Plan()->IsRelay() || mSync->ListAge() > mOptions.mListTimeout;
  }

  void SetInstancesCallback(instances_callback aCallback) override
  {
    mSync->SetInstancesCallback(std::move(aCallback));
  }

  void ObserveRevision(const instance_id& aInstance,
                       const failure_domain_id& aDomain,
                       revision_number aRevision) override
  {
    if (aInstance == mOptions.mInstance) {
      return;
    }
    mSync->Rollout().AddReport(aInstance, aDomain, aRevision, Now());
    CatchUpTo(aInstance, aRevision);
  }

  rpc::pull_config_reply HandlePull(const rpc::pull_config_request& aRequest) override
  {
    HandleReport({ aRequest.mInstance, aRequest.mFailureDomain, aRequest.mAfterRevision, 0 });
    for (const auto& report : aRequest.mReports) {
      HandleReport(report);
    }
    auto reply = MakePullReply(*mReplica, revision_number(aRequest.mAfterRevision));
    if (aRequest.mWantsList) {
      reply.mList = mSync->ListDifferenceSince(aRequest.mListDigest);
    }
    return reply;
  }

  std::vector<rpc::instance_report> Reports() const override
  {
    auto reports = mSync->Rollout().All(Now());
    reports.push_back({ mOptions.mInstance.Str(), mOptions.mFailureDomain.Str(), mReplica->Revision().Value(), 0 });
    return reports;
  }

private:
  static constexpr part_log kLog{ "config" };

  void Spawn(boost::asio::awaitable<void> aTask)
  {
    boost::asio::co_spawn(boost::asio::make_strand(mContext), std::move(aTask), boost::asio::detached);
  }

  boost::asio::awaitable<void> Pause(duration aTimeout)
  {
    boost::asio::steady_timer timer(mContext, aTimeout);
    co_await timer.async_wait(boost::asio::use_awaitable);
  }

  boost::asio::awaitable<config_result<apply_outcome>> ApplyOnStrand(admin::change aChange, std::string aActor)
  {
    const ref<replicated_config_store> self(this);
    BOOST_OUTCOME_CO_TRY(const auto accepted, co_await Write(std::move(aChange), std::move(aActor)));
    const bool isPropagated = co_await mSync->ConfirmPropagation(accepted.mRevision);
    if (accepted.mRevision.Value() >= mSnapshotRevision + mOptions.mSnapshotInterval &&
        !mSavingSnapshot.exchange(true)) {
      Spawn(SaveSnapshot());
    }
    co_return apply_outcome{ accepted.mRevision, !isPropagated, accepted.mRepeated };
  }

  /// Writes a change to the log. Changes of one process are written one at a time, so that they do not conflict with
  /// each other.
  boost::asio::awaitable<config_result<policy::accepted_change>> Write(admin::change aChange, std::string aActor)
  {
    const auto guard = co_await mWriteMutex->Lock(mOptions.mWriteQueueTimeout);
    if (!guard) {
      co_return config_error{ config_errc::Unavailable,
                              "change \"" + aChange.change_id() + "\" has no effect: too many changes wait here",
                              {} };
    }
    platform_log log(mStore);
    policy::config_writer writer(std::move(aChange), { std::move(aActor), CalendarNow(), RandomNumber() });
    auto step = mReplica->WithLog([&](policy::config_log& aLog) { return writer.Start(aLog); });
    while (step.mAction != policy::write_step::action::Done) {
      if (step.mAction == policy::write_step::action::Create) {
        step = co_await CreateEntry(log, writer, std::move(step.mEntry));
      } else {
        step = co_await ReadEntry(log, writer, step.mRevision);
      }
    }
    if (!step.mResult) {
      co_return ToConfigError(step.mResult.error());
    }
    co_return step.mResult.value();
  }

  boost::asio::awaitable<policy::write_step> CreateEntry(platform_log<Store>& aLog,
                                                         policy::config_writer& aWriter,
                                                         admin::log_entry aEntry)
  {
    const auto created = co_await aLog.Create(aEntry);
    switch (created.mStatus) {
      case creation_status::Created:
        mReplica->Accept(aEntry);
        co_return mReplica->WithLog([&](policy::config_log& aState) { return aWriter.OnCreated(aState); });
      case creation_status::AlreadyExists:
        co_return aWriter.OnAlreadyExists();
      case creation_status::ResponseLost:
        co_return aWriter.OnResponseLost();
      case creation_status::NotCreated:
        break;
    }
    co_return aWriter.OnNotCreated(created.mMessage);
  }

  boost::asio::awaitable<policy::write_step> ReadEntry(platform_log<Store>& aLog,
                                                       policy::config_writer& aWriter,
                                                       revision_number aRevision)
  {
    const auto entry = co_await aLog.Read(aRevision);
    if (!entry) {
      co_return aWriter.OnReadFailed(entry.error().mMessage);
    }
    if (entry.value()) {
      mReplica->Accept(*entry.value());
    }
    co_return mReplica->WithLog([&](policy::config_log& aState) { return aWriter.OnRead(aState, entry.value()); });
  }

  /// Writes a snapshot of the current state if enough revisions were accepted since the newest one.
  boost::asio::awaitable<void> SaveSnapshot()
  {
    const ref<replicated_config_store> self(this);
    platform_log log(mStore);
    const auto newest = co_await log.SnapshotRevision();
    if (newest) {
      mSnapshotRevision = newest.value().Value();
    }
    auto state = mReplica->WithLog([](const policy::config_log& aLog) { return aLog.State(); });
    const auto revision = state.revision();
    if (newest && revision >= mSnapshotRevision + mOptions.mSnapshotInterval) {
      const auto saved = co_await log.SaveSnapshot(std::move(state));
      if (saved) {
        mSnapshotRevision = revision;
        kLog.Info("Wrote the snapshot of revision {}.", revision);
      } else {
        kLog.Warning("Could not write the snapshot of revision {}: {}.", revision, saved.error().mMessage);
      }
    }
    mSavingSnapshot = false;
  }

  boost::asio::awaitable<admin::rollout_reply> RolloutOnStrand(revision_number aRevision)
  {
    const ref<replicated_config_store> self(this);
    const auto reports = co_await mSync->CollectReports();
    const auto head = mReplica->Revision();
    co_return MakeRolloutReply(head, aRevision.Value() == 0 ? head : aRevision, mSync->Directory().Members(), reports);
  }

  /// Handles a report received with a pull.
  void HandleReport(const rpc::instance_report& aReport)
  {
    if (aReport.mInstance == mOptions.mInstance.Str()) {
      return;
    }
    mSync->Rollout().AddPulledReport(aReport, Now());
    CatchUpTo(instance_id(aReport.mInstance), revision_number(aReport.mRevision));
  }

  void CatchUpTo(const instance_id& aInstance, revision_number aRevision)
  {
    if (aRevision.Value() > mReplica->Revision().Value() && !mCatchingUp.exchange(true)) {
      Spawn(CatchUp(aInstance, aRevision));
    }
  }

  /// Fetches a revision that another process reported, unless regular propagation delivers it first.
  boost::asio::awaitable<void> CatchUp(instance_id aInstance, revision_number aRevision)
  {
    const ref<replicated_config_store> self(this);
    const revision_number below(aRevision.Value() - 1);
    auto reached = co_await mReplica->WaitForRevisionAbove(below, mOptions.mCatchUpDelay);
    if (reached.Value() < aRevision.Value()) {
      co_await mSync->Pull(aInstance, duration(0), false);
    }
    if (mReplica->Revision().Value() < aRevision.Value()) {
      platform_log log(mStore);
      co_await log.Load(*mReplica);
    }
    mCatchingUp = false;
  }

  /// Loads the configuration, then follows its changes until Stop().
  boost::asio::awaitable<void> Follow()
  {
    const ref<replicated_config_store> self(this);
    platform_log log(mStore);
    while (!mReady && !mStopped) {
      mReady = co_await LoadInitial(log);
    }
    kLog.Info("Loaded the configuration at revision {}.", mReplica->Revision().Value());
    while (!mStopped) {
      const bool isRelay = mSync->Directory().Plan()->IsRelay();
      if (!isRelay && co_await mSync->PullFromDomain(mOptions.mMaxPullWait)) {
        continue;
      }
      co_await FollowPlatform(log);
    }
  }

  /// Loads the last accepted revision. Returns false if it can't be determined now.
  boost::asio::awaitable<bool> LoadInitial(platform_log<Store>& aLog)
  {
    const auto loaded = co_await aLog.Load(*mReplica);
    if (loaded) {
      co_return true;
    }
    kLog.Warning("Could not load the configuration from the platform: {}.", loaded.error().mMessage);
    if (co_await mSync->PullFromAllDomains()) {
      co_return true;
    }
    co_await Pause(mOptions.mRetryDelay);
    co_return false;
  }

  /// Waits once for updates from the platform, or from another failure domain while the platform can't be reached.
  boost::asio::awaitable<void> FollowPlatform(platform_log<Store>& aLog)
  {
    auto updates = co_await aLog.WaitForUpdates(*mReplica, mOptions.mMaxWatchWait);
    if (updates) {
      updates = co_await aLog.ReadForward(*mReplica);
    }
    if (mPlatformReachable != updates.has_value()) {
      mPlatformReachable = updates.has_value();
      kLog.Warning("The platform {} be reached for the configuration.", mPlatformReachable ? "can" : "can't");
    }
    if (!updates && !co_await mSync->PullFromOtherDomain(mOptions.mMaxPullWait)) {
      co_await Pause(mOptions.mRetryDelay);
    }
  }

  boost::asio::io_context& mContext;
  Store& mStore;
  const config_store_options mOptions;
  const ref<config_replica> mReplica;
  const ref<peer_sync> mSync;
  const ref<async_mutex> mWriteMutex = MakeRef<async_mutex>();
  std::atomic<bool> mReady{ false };
  std::atomic<bool> mStopped{ false };
  std::atomic<bool> mCatchingUp{ false };
  std::atomic<bool> mSavingSnapshot{ false };
  std::atomic<std::uint64_t> mSnapshotRevision{ 0 };
  bool mPlatformReachable = true; ///< used only by the coroutine of Follow
};

/// Makes the configuration store over an object store.
/// @param aStore must outlive the configuration store.
template<platform::object_store Store>
ref<config_store> MakeConfigStore(boost::asio::io_context& aContext,
                                  Store& aStore,
                                  ref<peer_client> aPeers,
                                  config_store_options aOptions)
{
  return MakeRef<replicated_config_store<Store>>(aContext, aStore, std::move(aPeers), std::move(aOptions));
}

} // namespace chervilpulley::config
