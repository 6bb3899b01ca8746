#pragma once

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <functional>
#include <mutex>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

#include "platform/object_store.h"
#include "policy/claim_journal.h"
#include "sidecar/booking_promise.h"

/// Stores the claims and results of one partition of a claim journal in the object store. A claim keeps a call from
/// running twice when it is retried at another sidecar or after a crash.
namespace chervilpulley::sidecar {

/// Wall-clock time in milliseconds, the resolution of claims.
inline calendar_time CalendarNow()
{
  return std::chrono::floor<std::chrono::milliseconds>(std::chrono::system_clock::now());
}

/// Executes the steps of one partition's claim journal one at a time, while there is work. Thread-safe.
template<platform::object_store Store>
class booking_partition : public ref_counted
{
public:
  /// @param aStore must outlive this.
  /// @param aPrefix is the key prefix of the partition's objects and ends with a slash.
  booking_partition(boost::asio::io_context& aContext, Store& aStore, std::string aPrefix)
    : mContext(aContext)
    , mStore(aStore)
    , mPrefix(std::move(aPrefix))
  {
  }

  /// Makes a claim, or returns why it could not be made. Fails at once during the backoff after a store failure.
  boost::asio::awaitable<policy::claim_decision> Claim(policy::claim_request aRequest)
  {
    const auto promise = MakeRef<booking_promise<policy::claim_decision>>();
    {
      std::lock_guard lock(mMutex);
      if (mJournal.IsBackingOff(CalendarNow())) {
        co_return policy::claim_decision{ aRequest.mId, policy::claim_status::Unavailable, std::nullopt };
      }
      mClaims.emplace(aRequest.mId, promise);
      mJournal.Claim(aRequest);
    }
    Wake();
    co_return co_await promise->Wait();
  }

  /// Writes a result. Returns once it is written, or deferred to be retried in the background.
  /// @param aOnEnd is called when it is written or abandoned; it must not call into the partition.
  boost::asio::awaitable<policy::write_state> WriteResult(policy::claim_request aClaim,
                                                          journal::answer aResponse,
                                                          std::function<void()> aOnEnd)
  {
    return Write(aClaim.mId, std::move(aOnEnd), [this, aClaim, answer = std::move(aResponse)] {
      mJournal.WriteResult(aClaim, answer, CalendarNow());
    });
  }

  /// Releases a claim whose call was certainly not dispatched. Returns once the release is written or deferred.
  boost::asio::awaitable<policy::write_state> Release(policy::claim_request aClaim)
  {
    return Write(aClaim.mId, nullptr, [this, aClaim] { mJournal.Release(aClaim, CalendarNow()); });
  }

  /// Whether no call waits for this partition and no step is in progress.
  bool IsIdle()
  {
    std::lock_guard lock(mMutex);
    return !mIsRunning && mClaims.empty() && mWrites.empty();
  }

  /// Approximate memory use of the journal that is held in memory, in bytes.
  std::size_t MemoryBytes()
  {
    std::lock_guard lock(mMutex);
    return mJournal.MemoryBytes();
  }

private:
  /// A result or release that is not written yet.
  struct pending_write
  {
    ref<booking_promise<policy::write_state>> mFirstReport;
    std::function<void()> mOnEnd;
  };
  /// Decisions and reports that the journal has produced since the last step.
  struct journal_updates
  {
    std::vector<policy::claim_decision> mDecisions;
    std::vector<policy::write_report> mReports;
  };

  boost::asio::awaitable<policy::write_state> Write(policy::claim_id aId,
                                                    std::function<void()> aOnEnd,
                                                    std::function<void()> aAdd)
  {
    const auto promise = MakeRef<booking_promise<policy::write_state>>();
    {
      std::lock_guard lock(mMutex);
      mWrites[aId] = { promise, std::move(aOnEnd) };
      aAdd();
    }
    Wake();
    co_return co_await promise->Wait();
  }

  /// Starts RunSteps() unless it is running.
  void Wake()
  {
    {
      std::lock_guard lock(mMutex);
      if (mIsRunning) {
        return;
      }
      mIsRunning = true;
    }
    const ref<booking_partition> self(this);
    boost::asio::co_spawn(
      mContext, [self] { return self->RunSteps(); }, boost::asio::detached);
  }

  boost::asio::awaitable<void> RunSteps()
  {
    while (true) {
      const policy::journal_step step = NextStep();
      if (step.mAction == policy::journal_action::Idle) {
        co_return;
      }
      if (step.mAction == policy::journal_action::Wait) {
        co_await Sleep(step.mUntil - CalendarNow());
        continue;
      }
      policy::journal_reply reply = co_await Perform(step);
      OnReply(std::move(reply));
    }
  }

  policy::journal_step NextStep()
  {
    policy::journal_step step;
    journal_updates updates;
    {
      std::lock_guard lock(mMutex);
      step = mJournal.Next(CalendarNow());
      mIsRunning = step.mAction != policy::journal_action::Idle;
      updates = TakeUpdates();
    }
    Notify(updates);
    return step;
  }

  void OnReply(policy::journal_reply aReply)
  {
    journal_updates updates;
    {
      std::lock_guard lock(mMutex);
      mJournal.HandleReply(std::move(aReply), CalendarNow());
      updates = TakeUpdates();
    }
    Notify(updates);
  }

  journal_updates TakeUpdates() { return { mJournal.TakeDecisions(), mJournal.TakeReports() }; }

  void Notify(const journal_updates& aUpdates)
  {
    for (const auto& decision : aUpdates.mDecisions) {
      if (const auto promise = TakeClaim(decision.mId)) {
        promise->Set(decision);
      }
    }
    for (const auto& report : aUpdates.mReports) {
      Notify(report);
    }
  }

  void Notify(const policy::write_report& aReport)
  {
    pending_write write;
    const bool isFinal = aReport.mState != policy::write_state::Deferred;
    {
      std::lock_guard lock(mMutex);
      const auto found = mWrites.find(aReport.mId);
      if (found == mWrites.end()) {
        return;
      }
      write = found->second;
      if (isFinal) {
        mWrites.erase(found);
      }
    }
    if (isFinal && write.mOnEnd) {
      write.mOnEnd();
    }
    write.mFirstReport->Set(aReport.mState);
  }

  ref<booking_promise<policy::claim_decision>> TakeClaim(policy::claim_id aId)
  {
    std::lock_guard lock(mMutex);
    const auto found = mClaims.find(aId);
    if (found == mClaims.end()) {
      return nullptr;
    }
    auto promise = found->second;
    mClaims.erase(found);
    return promise;
  }

  boost::asio::awaitable<void> Sleep(duration aTime)
  {
    boost::asio::steady_timer timer(mContext, aTime);
    co_await timer.async_wait(boost::asio::use_awaitable);
  }

  std::string OpenKey() const { return mPrefix + "open"; }
  std::string SealedKey(policy::segment_version aSegment) const { return mPrefix + std::to_string(aSegment.Value()); }

  boost::asio::awaitable<policy::journal_reply> Perform(policy::journal_step aStep)
  {
    using policy::journal_action;
    const platform::object_version version(aStep.mVersion.Value());
    switch (aStep.mAction) {
      case journal_action::ReadOpen:
        co_return ReadReply(co_await mStore.Get(OpenKey()));
      case journal_action::CreateOpen:
        co_return WriteReply(co_await mStore.Create(OpenKey(), std::move(aStep.mBody)));
      case journal_action::UpdateOpen:
        co_return WriteReply(co_await mStore.Update(OpenKey(), std::move(aStep.mBody), version));
      case journal_action::ReadSealed:
        co_return ReadReply(co_await mStore.Get(SealedKey(aStep.mSealed)));
      case journal_action::CreateSealed:
        co_return WriteReply(co_await mStore.Create(SealedKey(aStep.mSealed), std::move(aStep.mBody)));
      case journal_action::UpdateSealed:
        co_return WriteReply(co_await mStore.Update(SealedKey(aStep.mSealed), std::move(aStep.mBody), version));
      case journal_action::DeleteSealed:
        co_await Delete(SealedKey(aStep.mSealed));
        co_return policy::journal_reply{ policy::store_response::Ok, {}, {} };
      case journal_action::Idle:
      case journal_action::Wait:
        break;
    }
    co_return policy::journal_reply{};
  }

  /// Deletes a segment that the journal no longer refers to. A segment whose deletion fails remains and does no harm.
  boost::asio::awaitable<void> Delete(std::string aKey)
  {
    const auto object = co_await mStore.Get(aKey);
    if (object.has_value()) {
      co_await mStore.Delete(aKey, object.value().mVersion);
    }
  }

  static policy::journal_reply ReadReply(const platform::platform_result<platform::stored_object>& aResult)
  {
    using policy::store_response;
    if (aResult.has_value()) {
      const auto& object = aResult.value();
      return { store_response::Ok, policy::segment_version(object.mVersion.Value()), object.mBody };
    }
    const bool isAbsent = aResult.error().mCode == platform::platform_errc::NotFound;
    return { isAbsent ? store_response::NotFound : store_response::Unavailable, {}, {} };
  }

  static policy::journal_reply WriteReply(const platform::platform_result<platform::object_version>& aResult)
  {
    if (aResult.has_value()) {
      return { policy::store_response::Ok, policy::segment_version(aResult.value().Value()), {} };
    }
    return { StoreResponse(aResult.error().mCode), {}, {} };
  }

  static policy::store_response StoreResponse(platform::platform_errc aCode)
  {
    switch (aCode) {
      case platform::platform_errc::Conflict:
        return policy::store_response::Conflict;
      case platform::platform_errc::NotFound:
        return policy::store_response::NotFound;
      case platform::platform_errc::Unavailable:
      case platform::platform_errc::RateLimited:
      case platform::platform_errc::TooLarge:
        return policy::store_response::Unavailable;
      case platform::platform_errc::Unknown:
      case platform::platform_errc::BadReply:
        break;
    }
    return policy::store_response::Unknown;
  }

  boost::asio::io_context& mContext;
  Store& mStore;
  const std::string mPrefix;
  std::mutex mMutex;
  policy::claim_journal mJournal;
  std::unordered_map<policy::claim_id, ref<booking_promise<policy::claim_decision>>> mClaims;
  std::unordered_map<policy::claim_id, pending_write> mWrites;
  bool mIsRunning = false;
};

} // namespace chervilpulley::sidecar
