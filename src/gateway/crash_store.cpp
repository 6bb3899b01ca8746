#include "gateway/crash_store.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>
#include <utility>

#include "base/clock.h"
#include "base/decision_log.h"

namespace chervilpulley::gateway {

namespace {

constexpr duration kStoreTimeout = std::chrono::milliseconds(800);
constexpr duration kReadRetryPause = std::chrono::milliseconds(100);
constexpr duration kWriteRetryPause = std::chrono::milliseconds(700);
/// Time until a first crash and cleared traits are written. Most servers that end are crashed by no request, and the
/// output of the retries shows that within this time.
constexpr duration kWriteDelay = std::chrono::milliseconds(500);
/// Interval at which a gateway looks whether its object was written in the store's era.
constexpr duration kEraCheckInterval = std::chrono::milliseconds(1000);

} // namespace

crash_store::crash_store(boost::asio::io_context& aContext,
                         instance_id aSelf,
                         ref<store_client> aStore,
                         ref<crash_watch> aCrashes)
  : mContext(aContext)
  , mSelf(std::move(aSelf))
  , mStore(std::move(aStore))
  , mCrashes(std::move(aCrashes))
  , mTimer(aContext)
{
}

void crash_store::Start()
{
  // Capturing this is safe: both objects live as long as the process.
  mCrashes->OnFindings([this](bool aIsUrgent) { FindingsChanged(aIsUrgent); });
  Spawn(mContext, Run());
}

void crash_store::FindingsChanged(bool aIsUrgent)
{
  const instant at = Now() + (aIsUrgent ? duration::zero() : kWriteDelay);
  if (!mWriteAt || at < *mWriteAt) {
    mWriteAt = at;
    mTimer.cancel();
  }
}

boost::asio::awaitable<void> crash_store::Run()
{
  const ref<crash_store> self(this);
  while (!mIsRead) {
    mIsRead = co_await Read();
    if (!mIsRead) {
      co_await Pause(kReadRetryPause);
    }
  }
  while (true) {
    co_await AwaitChanges();
    mWriteAt.reset();
    const bool isWritten = co_await Write();
    if (!isWritten) {
      mWriteAt = Now();
      co_await Pause(kWriteRetryPause);
    }
  }
}

/// Waits until changes are due, or until the store has come back from a copy that may lack this gateway's object.
boost::asio::awaitable<void> crash_store::AwaitChanges()
{
  while (!mWriteAt || Now() < *mWriteAt) {
    mTimer.expires_at(std::min<instant>(mWriteAt.value_or(instant::max()), Now() + kEraCheckInterval));
    co_await mTimer.async_wait(boost::asio::as_tuple(boost::asio::use_awaitable));
    if (mRevision && mRevision->mEra != mStore->Era()) {
      log_line(log_event::ObjectWrittenAgain).Text("kind", "crashes").Count("era", mStore->Era().Value());
      mWriteAt = Now();
    }
  }
}

/// Reads the objects of all gateways once. A cheaper read that may be stale could lack the last crashes.
boost::asio::awaitable<bool> crash_store::Read()
{
  const instant begun = Now();
  std::vector<wire::record> objects;
  std::string after;
  while (true) {
    auto request = wire::EncodeList(wire::object_kind::Crashes, after, false);
    const auto response = co_await mStore->Call(std::move(request), kStoreTimeout);
    std::string fault;
    const auto list = response.IsSuccess() ? wire::DecodeList(response.mBody, response.mEra, fault) : std::nullopt;
    if (!list && response.mStatus != 404) {
      co_return false;
    }
    if (!list) {
      break; // no object of this kind was ever written
    }
    objects.insert(objects.end(), list->mItems.begin(), list->mItems.end());
    if (!list->mIsTruncated || list->mItems.empty()) {
      break;
    }
    after = list->mItems.back().mName;
  }
  policy::crash_findings findings;
  std::vector<wire::record> expired;
  for (const wire::record& object : objects) {
    std::string fault;
    const auto found = wire::DecodeFindings(object.mSpec, Now(), CalendarNow(), fault);
    if (object.mName == mSelf.Str()) {
      mRevision = object.mRevision;
    }
    if (!found) {
      log_line(log_event::CrashesUnreadable).Text("gateway", object.mName).Text("reason", fault);
    } else if (!found->IsEmpty()) {
      findings.Append(*found);
    } else if (object.mName != mSelf.Str()) {
      expired.push_back(object);
    }
    if (found && object.mName == mSelf.Str()) {
      mCrashes->Journal().Adopt(*found, Now());
      FindingsChanged(false);
    }
  }
  log_line(log_event::CrashesRead)
    .Count("gateways", objects.size())
    .Count("crashes", findings.mCrashes.size())
    .Count("blocks", findings.mBlocks.size())
    .Number("after_ms", std::chrono::duration<double, std::milli>(Now() - begun).count());
  mCrashes->Restore(std::move(findings), Now());
  mIsRead = true;
  for (wire::record& object : expired) {
    co_await RemoveExpired(std::move(object));
  }
  co_return true;
}

/// Removes the object of a gateway that may not run any more, so that it does not remain for ever.
boost::asio::awaitable<void> crash_store::RemoveExpired(wire::record aObject)
{
  const auto request = wire::EncodeDelete(wire::object_kind::Crashes, aObject.mName, aObject.mRevision);
  co_await mStore->Call(request, kStoreTimeout);
}

/// Writes this gateway's object once, or removes it when there is nothing to keep.
boost::asio::awaitable<bool> crash_store::Write()
{
  if (mRevision && mRevision->mEra != mStore->Era()) {
    mRevision.reset();
  }
  const policy::crash_findings findings = mCrashes->Journal().Findings(Now());
  if (findings.IsEmpty()) {
    const bool isRemoved = co_await Remove();
    co_return isRemoved;
  }
  const std::string spec = wire::EncodeFindings(findings, Now(), CalendarNow());
  const auto request = mRevision ? wire::EncodeReplace(wire::object_kind::Crashes, mSelf.Str(), spec, *mRevision)
                                 : wire::EncodeCreate(wire::object_kind::Crashes, mSelf.Str(), spec);
  const bool isFirst = !std::exchange(mHasSent, true);
  const auto response = co_await mStore->Call(request, kStoreTimeout);
  std::string fault;
  const auto object = wire::DecodeRecord(response.mBody, response.mEra, fault);
  if ((response.IsSuccess() || response.mStatus == 409) && object) {
    mRevision = object->mRevision;
  } else if (response.mStatus == 404) {
    mRevision.reset();
  }
  if (response.mStatus == 409 && object && isFirst) {
    MergeOwn(*object);
  }
  log_line(log_event::CrashesWritten)
    .Count("status", response.mStatus)
    .Count("crashes", findings.mCrashes.size())
    .Count("blocks", findings.mBlocks.size())
    .Count("revision", mRevision ? mRevision->mNumber : 0);
  co_return response.IsSuccess();
}

boost::asio::awaitable<bool> crash_store::Remove()
{
  if (!mRevision) {
    co_return true;
  }
  const auto request = wire::EncodeDelete(wire::object_kind::Crashes, mSelf.Str(), *mRevision);
  const auto response = co_await mStore->Call(request, kStoreTimeout);
  std::string fault;
  const auto object = wire::DecodeRecord(response.mBody, response.mEra, fault);
  if (response.IsSuccess() || response.mStatus == 404) {
    mRevision.reset();
    co_return true;
  }
  if (response.mStatus == 409 && object) {
    mRevision = object->mRevision;
  }
  co_return false;
}

/// Adopts what a late write of the process before this one has left in the object.
void crash_store::MergeOwn(const wire::record& aObject)
{
  std::string fault;
  if (const auto found = wire::DecodeFindings(aObject.mSpec, Now(), CalendarNow(), fault)) {
    mCrashes->Journal().Adopt(*found, Now());
    mCrashes->Restore(*found, Now());
  }
}

} // namespace chervilpulley::gateway
