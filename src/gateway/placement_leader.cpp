#include "gateway/placement_leader.h"

#include <fmt/format.h>

#include <algorithm>

#include "base/clock.h"
#include "base/decision_log.h"
#include "policy/layer_plan.h"

namespace chervilpulley::gateway {

namespace {

/// Length of the lease: a leader that is lost is replaced within about three seconds.
constexpr duration kLeaseLength = std::chrono::milliseconds(2400);
/// Time between two renewals of the lease; two in a row may fail.
constexpr duration kRenewInterval = std::chrono::milliseconds(500);
constexpr duration kRewritePause = std::chrono::milliseconds(100);
/// Time between two reads of another gateway's lease. It is longer at gateways that read the store through a relay: one
/// gateway in each failure domain is enough to replace a lost leader soon.
constexpr duration kReadInterval = std::chrono::milliseconds(900);
constexpr duration kReadIntervalWithRelay = std::chrono::milliseconds(2700);
constexpr duration kStoreTimeout = std::chrono::milliseconds(800);
/// Time between two runs of the planner.
constexpr duration kPlanInterval = std::chrono::milliseconds(100);
/// When a pool starts, its engines are listed one by one. The first plan waits until the list has not changed for this
/// time.
constexpr duration kListSettleTime = std::chrono::milliseconds(500);
constexpr duration kOrderTimeout = std::chrono::milliseconds(700);
/// Time in addition to the load within which the list shows the new layers: engines report about once a second.
constexpr duration kOrderEffectTime = std::chrono::milliseconds(2500);
/// Time after a refused order until the engine is probed and may get another order: the reports that orders are based
/// on are some hundred milliseconds old.
constexpr duration kRefusalBackoff = std::chrono::milliseconds(500);
const std::string kLeaseName = "placement";

} // namespace

placement_leader::placement_leader(boost::asio::io_context& aContext,
                                   instance_id aSelf,
                                   ref<store_client> aStore,
                                   ref<store_sync> aSync,
                                   ref<fleet> aFleet,
                                   ref<backend_calls> aCalls,
                                   ref<engine_probes> aProbes,
                                   ref<peer_hints> aHints,
                                   ref<gateway_metrics> aMetrics)
  : mContext(aContext)
  , mSelf(std::move(aSelf))
  , mStore(std::move(aStore))
  , mSync(std::move(aSync))
  , mFleet(std::move(aFleet))
  , mCalls(std::move(aCalls))
  , mProbes(std::move(aProbes))
  , mHints(std::move(aHints))
  , mMetrics(std::move(aMetrics))
  , mLease(kLeaseLength)
{
}

void placement_leader::Start()
{
  Spawn(mContext, KeepLease());
  Spawn(mContext, Run());
}

boost::asio::awaitable<void> placement_leader::Run()
{
  const ref<placement_leader> self(this);
  while (true) {
    co_await Pause(kPlanInterval);
    const bool held = mLease.IsHeld(BootNow()) && !mIsLeaving;
    if (held != mWasHeld) {
      log_line(held ? log_event::DutyTaken : log_event::DutyLeft)
        .Text("duty", kLeaseName)
        .Count("fence", mLease.Fence());
      mWasHeld = held;
      mOrders.clear();
      mOrderCounts.clear();
    }
    if (held) {
      Plan(Now());
    }
  }
}

boost::asio::awaitable<void> placement_leader::KeepLease()
{
  const ref<placement_leader> self(this);
  while (!mIsLeaving) {
    if (mLease.IsHeld(BootNow())) {
      co_await WriteLease();
      // After the store has come back from a copy the lease is written again soon.
      const duration pause = mLease.HeldRevision() ? kRenewInterval : kRewritePause;
      co_await Pause(pause);
      continue;
    }
    if (mLease.MayAcquire(BootNow())) {
      co_await ReadLease();
    }
    if (mLease.MayAcquire(BootNow())) {
      co_await WriteLease();
    }
    if (!mLease.IsHeld(BootNow())) {
      const duration interval = mSync->IsFollowing() ? kReadIntervalWithRelay : kReadInterval;
      co_await Pause(interval);
      co_await ReadLease();
    }
  }
  const auto held = mLease.HeldRevision();
  if (held && held->mEra == mStore->Era() && mLease.IsHeld(BootNow())) {
    // Deletes this revision only: a delayed delete would otherwise take the lease from the next leader.
    const auto response =
      co_await mStore->Call(wire::EncodeDelete(wire::object_kind::LeaderLeases, kLeaseName, *held), kStoreTimeout);
    log_line(log_event::DutyGivenUp).Text("duty", kLeaseName).Count("status", response.mStatus);
  }
}

boost::asio::awaitable<void> placement_leader::ReadLease()
{
  const auto response =
    co_await mStore->Call(wire::EncodeGet(wire::object_kind::LeaderLeases, kLeaseName, true), kStoreTimeout);
  std::string fault;
  if (response.mStatus == 404) {
    mLease.SeenNone(response.mEra, BootNow());
  } else if (response.IsSuccess()) {
    if (const auto object = wire::DecodeRecord(response.mBody, response.mEra, fault)) {
      mLease.Seen(object->mRevision, BootNow());
    }
  }
}

boost::asio::awaitable<void> placement_leader::WriteLease()
{
  const policy::lease_attempt attempt = mLease.Attempt(BootNow());
  // The time makes each renewal a change: a write that changes nothing gets no new revision.
  const std::string spec =
    fmt::format(R"({{"holder":"{}","renewed":{}}})", mSelf.Str(), attempt.mSent.time_since_epoch().count());
  const auto request =
    attempt.mExpectedRevision
      ? wire::EncodeReplace(wire::object_kind::LeaderLeases, kLeaseName, spec, *attempt.mExpectedRevision)
      : wire::EncodeCreate(wire::object_kind::LeaderLeases, kLeaseName, spec);
  const auto response = co_await mStore->Call(request, kStoreTimeout);
  std::string fault;
  const auto object = wire::DecodeRecord(response.mBody, response.mEra, fault);
  if (response.IsSuccess() && object) {
    const bool isRewritten = mLease.IsHeld(BootNow()) && !attempt.mIsRenewal;
    mLease.Accepted(attempt, object->mRevision);
    if (isRewritten) {
      log_line(log_event::ObjectWrittenAgain).Text("kind", "lease").Count("era", response.mEra.Value());
    }
  } else if (response.mStatus == 409 && object) {
    mLease.Refused(response.mEra, object->mRevision, BootNow());
  } else if (response.mStatus == 409 || response.mStatus == 404) {
    mLease.Refused(response.mEra, std::nullopt, BootNow());
  }
}

void placement_leader::Plan(instant aNow)
{
  if (mMembersVersion != mFleet->Members().Version()) {
    mMembersVersion = mFleet->Members().Version();
    mMembersChangedAt = aNow;
  }
  const auto configuration = mFleet->Configuration();
  if (!configuration) {
    return;
  }
  ClosePendingOrders(aNow);
  for (const pool& each : configuration->mPools) {
    if (each.mEngine && each.mEngine->mLayers > 0) {
      PlanPool(each, aNow);
    }
  }
}

void placement_leader::PlanPool(const pool& aPool, instant aNow)
{
  std::vector<policy::plan_engine> engines;
  bool anyHolds = false;
  mFleet->ForEachEngine(aPool, [&](const policy::backend_member& aMember, const policy::accelerator_kind& aKind) {
    policy::plan_engine engine;
    engine.mId = aMember.mId;
    engine.mDomain = aMember.mDomain;
    engine.mKind = aKind;
    engine.mHeld = aMember.mLayers;
    const bool isLost = mFleet->IsLostOrUnlisted(aMember.mId, aNow);
    const bool isLeaving = mFleet->LeavingSince(aMember.mId).has_value();
    engine.mGone = isLeaving || isLost;
    engine.mStillServes = isLeaving && !isLost;
    if (const auto order = mOrders.find(aMember.mId); order != mOrders.end()) {
      engine.mHeld = order->second.mRange;
      engine.mBusy = true;
    }
    anyHolds = anyHolds || !aMember.mLayers.IsEmpty();
    engines.push_back(std::move(engine));
  });
  if (!anyHolds && aNow - mMembersChangedAt < kListSettleTime) {
    return;
  }
  const auto maxOrders = static_cast<std::size_t>(aPool.mEngine->mMaxConcurrentLoads) * 2;
  const auto interruption = mFleet->Configuration()->AllStreamsResumable(aPool.mName)
                              ? policy::interruption_rule::AnyStream
                              : policy::interruption_rule::LaterStages;
  for (const policy::layer_order& order : policy::PlanLayers(*aPool.mEngine, std::move(engines), interruption)) {
    if (anyHolds && mOrders.size() >= maxOrders) {
      return;
    }
    SendOrder(order, *aPool.mEngine, aNow);
  }
}

/// Removes orders whose effect is listed, and probes engines whose order should have taken effect by now.
void placement_leader::ClosePendingOrders(instant aNow)
{
  for (auto order = mOrders.begin(); order != mOrders.end();) {
    const auto* member = mFleet->Members().Find(order->first);
    const bool isGone = member == nullptr || member->mStartedAt != order->second.mStartedAt;
    const bool isDone = !isGone && member->mLayers == order->second.mRange;
    if (!isGone && !isDone && order->second.mDeadline <= aNow) {
      order->second.mDeadline = aNow + kOrderEffectTime;
      ProbeOrder(order->first);
    }
    if (!isGone && !isDone && order->second.mNotifyAgainAt <= aNow) {
      NotifyMoving(order->first, aNow);
    }
    if (isGone) {
      mOrderCounts.erase(order->first);
    } else if (isDone) {
      log_line(log_event::LayersHeld)
        .Text("backend", order->first.Str())
        .Count("from", order->second.mRange.mFrom)
        .Count("end", order->second.mRange.mEnd);
    }
    order = isGone || isDone ? mOrders.erase(order) : std::next(order);
  }
}

/// Notifies all gateways to send no new requests to an engine that releases layers: it refuses them, and waits for the
/// streams that pass through it.
void placement_leader::NotifyMoving(const backend_id& aEngine, instant aNow)
{
  pending_order& order = mOrders[aEngine];
  order.mNotifyAgainAt = aNow + kMovingHoldTime / 2;
  if (order.mReleasesLayers) {
    mFleet->MarkMoving(aEngine, aNow);
    mHints->NotifyMoving(aEngine);
  }
}

void placement_leader::ProbeOrder(const backend_id& aEngine)
{
  mProbes->Probe(aEngine, [self = ref<placement_leader>(this), aEngine](const auto& aReport) {
    const auto order = self->mOrders.find(aEngine);
    if (order == self->mOrders.end() || !aReport || aReport->mIsBusy) {
      return;
    }
    self->mOrderCounts[aEngine] = aReport->mOrders;
    if (!(aReport->mLayers == order->second.mRange)) {
      log_line(log_event::OrderWithoutEffect)
        .Text("backend", aEngine.Str())
        .Count("from", aReport->mLayers.mFrom)
        .Count("end", aReport->mLayers.mEnd)
        .Count("orders", aReport->mOrders);
      self->mOrders.erase(order);
    }
  });
}

void placement_leader::ProbeOrderCount(const backend_id& aEngine)
{
  mProbes->Probe(aEngine, [self = ref<placement_leader>(this), aEngine](const auto& aReport) {
    if (aReport) {
      self->mOrderCounts[aEngine] = aReport->mOrders;
    }
  });
}

void placement_leader::SendOrder(const policy::layer_order& aOrder, const policy::engine_model& aModel, instant aNow)
{
  const auto* member = mFleet->Members().Find(aOrder.mEngine);
  const auto address = mFleet->AddressOf(aOrder.mEngine);
  if (member == nullptr || !address) {
    return;
  }
  const auto known = mOrderCounts.find(aOrder.mEngine);
  if (known == mOrderCounts.end() && !member->mLayers.IsEmpty()) {
    ProbeOrderCount(aOrder.mEngine);
    return;
  }
  // An engine that holds nothing has most likely had no order. If it had one, it refuses this one and is probed.
  const std::uint64_t orders = known == mOrderCounts.end() ? 0 : known->second;
  const double share = static_cast<double>(aOrder.mRange.Size()) / aModel.mLayers;
  const auto load = std::chrono::duration_cast<duration>(aModel.mLoadTime * share);
  const bool releasesLayers = !member->mLayers.IsEmpty() && (aOrder.mRange.mFrom > member->mLayers.mFrom ||
                                                             aOrder.mRange.mEnd < member->mLayers.mEnd);
  mOrders[aOrder.mEngine] = {
    aOrder.mRange, member->mStartedAt, aNow + load * 2 + kOrderEffectTime, releasesLayers, aNow
  };
  log_line(log_event::LayersOrdered)
    .Text("backend", aOrder.mEngine.Str())
    .Count("from", aOrder.mRange.mFrom)
    .Count("end", aOrder.mRange.mEnd)
    .Count("held_from", member->mLayers.mFrom)
    .Count("held_end", member->mLayers.mEnd)
    .Text("mode", aOrder.mInterruptsStreams ? "cut off" : "wait")
    .Count("fence", mLease.Fence())
    .Count("orders", orders)
    .Count("members_version", mFleet->Members().Version());
  NotifyMoving(aOrder.mEngine, aNow);
  CallWithTimeout(
    mContext,
    mCalls,
    *address,
    wire::EncodeLayerOrder(aOrder, mLease.Fence(), orders),
    kOrderTimeout,
    [self = ref<placement_leader>(this), aOrder](const auto& aReply) { self->OnResponse(aOrder, aReply); });
}

void placement_leader::OnResponse(const policy::layer_order& aOrder, const std::optional<net::http_reply>& aReply)
{
  const unsigned status = aReply ? aReply->mStatus : 0;
  mMetrics->OrderGiven(status == 200 || status == 202);
  if (status == 202) {
    ++mOrderCounts[aOrder.mEngine];
  }
  if (status == 200 || status == 202) {
    return;
  }
  log_line(log_event::OrderRefused)
    .Text("backend", aOrder.mEngine.Str())
    .Count("status", status)
    .Quote("answer", aReply ? std::string_view(aReply->mBody) : "");
  const auto order = mOrders.find(aOrder.mEngine);
  if (order == mOrders.end()) {
    return;
  }
  if (status == 412) {
    // Another gateway is the placement leader, with a higher fence.
    mLease.Lost();
    return;
  }
  if (status == 0) {
    // The order may have been accepted and may be carried out late: the engine is probed at the deadline.
    return;
  }
  order->second.mDeadline = Now() + kRefusalBackoff;
}

} // namespace chervilpulley::gateway
