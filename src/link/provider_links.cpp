#include "link/provider_links.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include <algorithm>
#include <unordered_set>

#include "base/clock.h"
#include "base/log.h"

namespace chervilpulley::link {

namespace {

constexpr part_log kLog("links");
constexpr duration kInitialRetryDelay = std::chrono::milliseconds(100);
constexpr duration kMaxRetryDelay = std::chrono::seconds(2);
/// Failed attempts to connect after which requests stop waiting for a sidecar: it has probably ended, and the live list
/// lags behind.
constexpr std::uint32_t kMaxFailuresWhileAwaited = 3;
constexpr duration kSilenceBeforeProbe = std::chrono::milliseconds(300);

duration RetryDelay(std::uint32_t aFailures)
{
  return std::min(kMaxRetryDelay, kInitialRetryDelay * (1U << std::min(aFailures, 6U)));
}

} // namespace

ref<connection> provider::Link() const
{
  std::lock_guard lock(mMutex);
  return mLink;
}

load_report provider::Report() const
{
  std::lock_guard lock(mMutex);
  return mReport;
}

bool provider::IsAwaited() const
{
  std::lock_guard lock(mMutex);
  const bool hasReported = mLink && mReportTime != instant{};
  return mWanted && !mListedLeaving && !hasReported && mConnectFailures < kMaxFailuresWhileAwaited;
}

policy::route_candidate provider::Candidate(instant aNow) const
{
  std::lock_guard lock(mMutex);
  policy::route_candidate candidate;
  candidate.mInstance = mListed.mInstance;
  candidate.mFailureDomain = mListed.mFailureDomain;
  candidate.mFirstLayer = layer_index(mReport.first_layer());
  candidate.mLastLayer = layer_index(mReport.last_layer());
  candidate.mQueued = mReport.queued();
  candidate.mRunning = mReport.running();
  candidate.mSlots = mReport.slots();
  candidate.mStep = duration(mReport.step_us());
  candidate.mPrefillPerToken = duration(mReport.prefill_us_per_token());
  candidate.mCostToGo = duration(mReport.cost_to_go_us());
  candidate.mLinkDelay = mLinkDelay;
  candidate.mReportAge = (aNow - mReportTime) + duration(mReport.age_us());
  candidate.mInFlightSinceReport = mSentSinceReport;
  candidate.mInFlight = mInFlight;
  if (mJoinedAt != instant::min()) {
    candidate.mJoinedFor = aNow - mJoinedAt;
  }
  candidate.mLeaving = mListedLeaving || mReport.leaving();
  candidate.mBackendUp = mLink && mLink->IsOpen() && mReport.backend_up();
  return candidate;
}

void provider::Began()
{
  std::lock_guard lock(mMutex);
  ++mInFlight;
  ++mSentSinceReport;
}

void provider::Ended()
{
  std::lock_guard lock(mMutex);
  if (mInFlight > 0) {
    --mInFlight;
  }
}

provider_links::provider_links(boost::asio::io_context& aContext,
                               link_options aOptions,
                               hello aHello,
                               ref<local_revision> aOwnRevision,
                               provider_events aEvents)
  : mContext(aContext)
  , mOptions(std::move(aOptions))
  , mHello(std::move(aHello))
  , mOwnRevision(std::move(aOwnRevision))
  , mEvents(std::move(aEvents))
{
}

void provider_links::SetWanted(const std::vector<platform::live_instance>& aWanted, instant aNow)
{
  std::unordered_set<instance_id> names;
  const bool isFirst = mProviders.Size() == 0;
  for (const auto& listed : aWanted) {
    names.insert(listed.mInstance);
    ref<provider> known = Find(listed.mInstance);
    if (known && known->Address() != listed.mLink) {
      // The instance was restarted at another address.
      if (auto link = known->Link()) {
        link->Close();
      }
      mProviders.Erase(listed.mInstance);
      known = nullptr;
    }
    if (!known) {
      known = MakeRef<provider>(listed);
      known->mJoinedAt = isFirst ? instant::min() : aNow;
      mProviders.Insert(listed.mInstance, known);
    }
    std::lock_guard lock(known->mMutex);
    known->mListedLeaving = listed.mLeaving;
    known->mWanted = true;
  }
  for (const auto& known : mProviders.Values()) {
    if (!names.contains(known->Instance())) {
      std::lock_guard lock(known->mMutex);
      known->mWanted = false;
    }
  }
  Tick(aNow);
}

ref<provider> provider_links::AddWanted(const platform::live_instance& aListed, instant aNow)
{
  ref<provider> wanted = Find(aListed.mInstance);
  if (!wanted) {
    mProviders.Insert(aListed.mInstance, MakeRef<provider>(aListed));
    wanted = Find(aListed.mInstance);
  }
  if (!wanted->Link()) {
    Connect(wanted, aNow);
  }
  return wanted;
}

void provider_links::Tick(instant aNow)
{
  for (const auto& known : mProviders.Values()) {
    const ref<connection> link = known->Link();
    bool isWanted = false;
    bool isIdle = false;
    {
      std::lock_guard lock(known->mMutex);
      isWanted = known->mWanted;
      isIdle = known->mInFlight == 0;
    }
    if (!isWanted && isIdle) {
      mProviders.Erase(known->Instance());
      if (link) {
        link->Close();
      }
    } else if (!link) {
      Connect(known, aNow);
    } else if (!isIdle && link->TimeSinceLastReceive() > kSilenceBeforeProbe) {
      Probe(known);
    }
  }
}

void provider_links::Connect(const ref<provider>& aProvider, instant aNow)
{
  {
    std::lock_guard lock(aProvider->mMutex);
    if (aProvider->mConnecting || aNow < aProvider->mRetryAt) {
      return;
    }
    aProvider->mConnecting = true;
  }
  boost::asio::co_spawn(
    mContext,
    [self = ref<provider_links>(this), aProvider]() -> boost::asio::awaitable<void> {
      co_await self->RunConnect(aProvider);
    },
    boost::asio::detached);
}

boost::asio::awaitable<void> provider_links::RunConnect(ref<provider> aProvider)
{
  const ref<provider_links> self(this);
  events linkEvents;
  linkEvents.mOnMessage = [self, aProvider](connection&, const std::string& aMessage) {
    self->HandleMessage(aProvider, aMessage);
  };
  linkEvents.mOnClosed = [self, aProvider](connection&) { self->OnClosed(aProvider); };
  auto connected = co_await link::Connect(mContext, aProvider->Address(), mOptions, std::move(linkEvents));
  frame greeting;
  *greeting.mutable_hello() = mHello;
  {
    std::lock_guard lock(aProvider->mMutex);
    aProvider->mConnecting = false;
    if (connected.has_error()) {
      aProvider->mRetryAt = Now() + RetryDelay(aProvider->mConnectFailures++);
      co_return;
    }
    aProvider->mConnectFailures = 0;
    aProvider->mLink = connected.value();
    aProvider->mProbeSentAt = Now();
  }
  SendFrame(connected.value().get(), *mOwnRevision, greeting);
  if (!connected.value()->IsOpen()) {
    OnClosed(aProvider);
  }
}

void provider_links::HandleMessage(const ref<provider>& aProvider, const std::string& aMessage)
{
  frame received;
  if (!ParseFrame(aMessage, received)) {
    kLog.Warning("Closed the link to {}: received a malformed frame.", aProvider->Instance().Str());
    if (auto link = aProvider->Link()) {
      link->Close();
    }
    return;
  }
  mEvents.mOnRevision(aProvider->Instance(), aProvider->FailureDomain(), revision_number(received.config_revision()));
  if (received.has_load()) {
    HandleReport(*aProvider, received.load());
    return;
  }
  mEvents.mOnFrame(aProvider, std::move(received));
}

void provider_links::HandleReport(provider& aProvider, const load_report& aReport)
{
  const instant now = Now();
  std::lock_guard lock(aProvider.mMutex);
  aProvider.mReport = aReport;
  aProvider.mReportTime = now;
  aProvider.mSentSinceReport = 0;
  if (aProvider.mProbeSentAt != instant{}) {
    aProvider.mLinkDelay = (now - aProvider.mProbeSentAt) / 2;
    aProvider.mProbeSentAt = {};
  }
}

void provider_links::OnClosed(const ref<provider>& aProvider)
{
  {
    std::lock_guard lock(aProvider->mMutex);
    if (!aProvider->mLink) {
      return;
    }
    aProvider->mLink = nullptr;
    aProvider->mInFlight = 0;
    aProvider->mRetryAt = Now() + kInitialRetryDelay;
  }
  mEvents.mOnLost(aProvider);
}

std::vector<ref<provider>> provider_links::OfPool(const pool_name& aPool) const
{
  std::vector<ref<provider>> members = mProviders.Values();
  std::erase_if(members, [&](const ref<provider>& aProvider) { return aProvider->Pool() != aPool; });
  std::sort(members.begin(), members.end(), [](const auto& aLeft, const auto& aRight) {
    return aLeft->Instance() < aRight->Instance();
  });
  return members;
}

ref<provider> provider_links::Find(const instance_id& aInstance) const
{
  return mProviders.Find(aInstance).value_or(nullptr);
}

bool provider_links::Send(const ref<provider>& aProvider, frame aFrame)
{
  const ref<connection> link = aProvider->Link();
  return SendFrame(link.get(), *mOwnRevision, std::move(aFrame));
}

bool provider_links::SendOver(const ref<connection>& aLink, frame aFrame)
{
  return SendFrame(aLink.get(), *mOwnRevision, std::move(aFrame));
}

void provider_links::Probe(const ref<provider>& aProvider)
{
  frame probe;
  *probe.mutable_hello() = mHello;
  {
    std::lock_guard lock(aProvider->mMutex);
    if (aProvider->mProbeSentAt == instant{}) {
      aProvider->mProbeSentAt = Now();
    }
  }
  Send(aProvider, std::move(probe));
}

} // namespace chervilpulley::link
