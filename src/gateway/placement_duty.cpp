#include "gateway/placement_duty.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include <fmt/format.h>

#include <algorithm>

#include "base/clock.h"
#include "base/decision_log.h"
#include "policy/layer_plan.h"

namespace chervilpulley::gateway {

namespace {

/// Length of the lease: a lost holder is followed within about three seconds.
constexpr duration kLeaseLength = std::chrono::milliseconds(2400);
/// Time between two renewals; two of them may be lost.
constexpr duration kRenewal = std::chrono::milliseconds(500);
/// Time between two looks at another's lease; longer at gateways that take what the store says from others: one of each
/// failure domain is enough to follow a lost holder soon.
constexpr duration kLook = std::chrono::milliseconds(900);
constexpr duration kLookOfFollowers = std::chrono::milliseconds(2700);
constexpr duration kStoreTimeout = std::chrono::milliseconds(800);
/// Time between two plans.
constexpr duration kPlanPause = std::chrono::milliseconds(100);
/// Engines that are listed one by one at the start are waited for until the list has been still for so long.
constexpr duration kStillList = std::chrono::milliseconds(500);
constexpr duration kOrderTimeout = std::chrono::milliseconds(700);
/// Time beside its load within which an order's effect is listed: engines report about each second.
constexpr duration kOrderSlack = std::chrono::milliseconds(2500);
/// Pause after a refused order: reports are some hundred milliseconds old.
constexpr duration kRefusedPause = std::chrono::milliseconds(500);
const std::string kDutyName = "placement";

} // namespace

placement_duty::placement_duty(boost::asio::io_context& aContext,
                               instance_id aSelf,
                               ref<store_client> aStore,
                               ref<store_sync> aSync,
                               ref<fleet> aFleet,
                               ref<backend_calls> aCalls,
                               ref<engine_inquiries> aInquiries,
                               ref<peer_hints> aHints,
                               ref<gateway_metrics> aMetrics)
  : mContext(aContext)
  , mSelf(std::move(aSelf))
  , mStore(std::move(aStore))
  , mSync(std::move(aSync))
  , mFleet(std::move(aFleet))
  , mCalls(std::move(aCalls))
  , mInquiries(std::move(aInquiries))
  , mHints(std::move(aHints))
  , mMetrics(std::move(aMetrics))
  , mLease(kLeaseLength)
{
}

void placement_duty::Start()
{
  boost::asio::co_spawn(mContext, KeepLease(), boost::asio::detached);
  boost::asio::co_spawn(mContext, Run(), boost::asio::detached);
}

boost::asio::awaitable<void> placement_duty::Run()
{
  const ref<placement_duty> self(this);
  while (true) {
    co_await Pause(kPlanPause);
    const bool held = mLease.IsHeld(BootNow()) && !mIsLeaving;
    if (held != mWasHeld) {
      log_line(held ? log_event::DutyTaken : log_event::DutyLeft)
        .Text("duty", kDutyName)
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

boost::asio::awaitable<void> placement_duty::KeepLease()
{
  const ref<placement_duty> self(this);
  while (!mIsLeaving) {
    if (mLease.IsHeld(BootNow())) {
      co_await WriteLease();
      co_await Pause(kRenewal);
      continue;
    }
    if (mLease.MayTake(BootNow())) {
      co_await LookAtLease();
    }
    if (mLease.MayTake(BootNow())) {
      co_await WriteLease();
    }
    if (!mLease.IsHeld(BootNow())) {
      const duration look = mSync->IsFollowing() ? kLookOfFollowers : kLook;
      co_await Pause(look);
      co_await LookAtLease();
    }
  }
  if (const auto held = mLease.HeldRevision(); held && mLease.IsHeld(BootNow())) {
    // Only as we know it: a removal that is carried out late would else take the duty from the next holder.
    const auto answer =
      co_await mStore->Call(wire::EncodeDelete(wire::object_kind::LeaderLeases, kDutyName, *held), kStoreTimeout);
    log_line(log_event::DutyGivenUp).Text("duty", kDutyName).Count("status", answer.mStatus);
  }
}

boost::asio::awaitable<void> placement_duty::LookAtLease()
{
  const auto answer =
    co_await mStore->Call(wire::EncodeGet(wire::object_kind::LeaderLeases, kDutyName, true), kStoreTimeout);
  std::string fault;
  if (answer.mStatus == 404) {
    mLease.SeenNone();
  } else if (answer.IsSuccess()) {
    if (const auto object = wire::DecodeRecord(answer.mBody, fault)) {
      mLease.Seen(object->mRevision, BootNow());
    }
  }
}

boost::asio::awaitable<void> placement_duty::WriteLease()
{
  const policy::lease_attempt attempt = mLease.Attempt(BootNow());
  // The time makes each renewal a change; a write that changes nothing gets no new revision.
  const std::string spec =
    fmt::format(R"({{"holder":"{}","renewed":{}}})", mSelf.Str(), attempt.mSent.time_since_epoch().count());
  const auto question = attempt.mCondition
                          ? wire::EncodeReplace(wire::object_kind::LeaderLeases, kDutyName, spec, *attempt.mCondition)
                          : wire::EncodeCreate(wire::object_kind::LeaderLeases, kDutyName, spec);
  const auto answer = co_await mStore->Call(question, kStoreTimeout);
  std::string fault;
  const auto object = wire::DecodeRecord(answer.mBody, fault);
  if (answer.IsSuccess() && object) {
    mLease.Accepted(attempt, object->mRevision);
  } else if (answer.mStatus == 409 && object) {
    mLease.Refused(object->mRevision, BootNow());
  } else if (answer.mStatus == 409 || answer.mStatus == 404) {
    mLease.Refused(std::nullopt, BootNow());
  }
}

void placement_duty::Plan(instant aNow)
{
  if (mMembersVersion != mFleet->Members().Version()) {
    mMembersVersion = mFleet->Members().Version();
    mMembersChangedAt = aNow;
  }
  const auto configuration = mFleet->Configuration();
  if (!configuration) {
    return;
  }
  CloseOrders(aNow);
  for (const pool& each : configuration->mPools) {
    if (each.mEngine && each.mEngine->mLayers > 0) {
      PlanPool(each, aNow);
    }
  }
}

void placement_duty::PlanPool(const pool& aPool, instant aNow)
{
  std::vector<policy::plan_engine> engines;
  bool anyHolds = false;
  mFleet->ForEachEngine(aPool, [&](const policy::backend_member& aMember, const policy::accelerator_kind& aKind) {
    policy::plan_engine engine;
    engine.mId = aMember.mId;
    engine.mDomain = aMember.mDomain;
    engine.mKind = aKind;
    engine.mHeld = aMember.mLayers;
    const bool isLost = mFleet->IsBelievedLost(aMember.mId, aNow);
    engine.mGone = aMember.mLeaving || isLost;
    engine.mStays = aMember.mLeaving && !isLost;
    if (const auto order = mOrders.find(aMember.mId); order != mOrders.end()) {
      engine.mHeld = order->second.mRange;
      engine.mBusy = true;
    }
    anyHolds = anyHolds || !aMember.mLayers.IsEmpty();
    engines.push_back(std::move(engine));
  });
  if (!anyHolds && aNow - mMembersChangedAt < kStillList) {
    return;
  }
  const auto most = static_cast<std::size_t>(aPool.mEngine->mLoadsAtOnce) * 2;
  const auto mayCut =
    mFleet->Configuration()->StreamsResume(aPool.mName) ? policy::cut_rule::AnyStream : policy::cut_rule::LaterParts;
  for (const policy::layer_order& order : policy::PlanLayers(*aPool.mEngine, std::move(engines), mayCut)) {
    if (anyHolds && mOrders.size() >= most) {
      return;
    }
    Give(order, *aPool.mEngine, aNow);
  }
}

/// Forgets orders whose effect is listed, and asks about those that should have had one by now.
void placement_duty::CloseOrders(instant aNow)
{
  for (auto order = mOrders.begin(); order != mOrders.end();) {
    const auto* member = mFleet->Members().Find(order->first);
    const bool isGone = member == nullptr || member->mStartedAt != order->second.mStartedAt;
    const bool isDone = !isGone && member->mLayers == order->second.mRange;
    if (!isGone && !isDone && order->second.mUntil <= aNow) {
      order->second.mUntil = aNow + kOrderSlack;
      AskAgain(order->first);
    }
    if (!isGone && !isDone && order->second.mTellAgain <= aNow) {
      TellMoving(order->first, aNow);
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

/// All gateways leave an engine alone that gives up layers: it takes nothing new, and waits for what passes through it.
void placement_duty::TellMoving(const backend_id& aEngine, instant aNow)
{
  open_order& order = mOrders[aEngine];
  order.mTellAgain = aNow + kMovingBelief / 2;
  if (order.mGivesUp) {
    mFleet->BelieveMoving(aEngine, aNow);
    mHints->TellMoving(aEngine);
  }
}

void placement_duty::AskAgain(const backend_id& aEngine)
{
  mInquiries->Ask(aEngine, [self = ref<placement_duty>(this), aEngine](const auto& aReport) {
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

void placement_duty::AskCount(const backend_id& aEngine)
{
  mInquiries->Ask(aEngine, [self = ref<placement_duty>(this), aEngine](const auto& aReport) {
    if (aReport) {
      self->mOrderCounts[aEngine] = aReport->mOrders;
    }
  });
}

void placement_duty::Give(const policy::layer_order& aOrder, const policy::engine_model& aModel, instant aNow)
{
  const auto* member = mFleet->Members().Find(aOrder.mEngine);
  const auto address = mFleet->AddressOf(aOrder.mEngine);
  if (member == nullptr || !address) {
    return;
  }
  const auto known = mOrderCounts.find(aOrder.mEngine);
  if (known == mOrderCounts.end() && !member->mLayers.IsEmpty()) {
    AskCount(aOrder.mEngine);
    return;
  }
  // An engine that holds nothing has most likely had no order; where it had, it refuses and is asked.
  const std::uint64_t orders = known == mOrderCounts.end() ? 0 : known->second;
  const double share = static_cast<double>(aOrder.mRange.Size()) / aModel.mLayers;
  const auto load = std::chrono::duration_cast<duration>(aModel.mLoad * share);
  const bool givesUp = !member->mLayers.IsEmpty() &&
                       (aOrder.mRange.mFrom > member->mLayers.mFrom || aOrder.mRange.mEnd < member->mLayers.mEnd);
  mOrders[aOrder.mEngine] = { aOrder.mRange, member->mStartedAt, aNow + load * 2 + kOrderSlack, givesUp, aNow };
  log_line(log_event::LayersOrdered)
    .Text("backend", aOrder.mEngine.Str())
    .Count("from", aOrder.mRange.mFrom)
    .Count("end", aOrder.mRange.mEnd)
    .Count("held_from", member->mLayers.mFrom)
    .Count("held_end", member->mLayers.mEnd)
    .Text("mode", aOrder.mCutsOff ? "cut off" : "wait")
    .Count("fence", mLease.Fence())
    .Count("orders", orders)
    .Count("members_version", mFleet->Members().Version());
  TellMoving(aOrder.mEngine, aNow);
  CallShortly(mContext,
              mCalls,
              *address,
              wire::EncodeLayerOrder(aOrder, mLease.Fence(), orders),
              kOrderTimeout,
              [self = ref<placement_duty>(this), aOrder](const auto& aReply) { self->Answered(aOrder, aReply); });
}

void placement_duty::Answered(const policy::layer_order& aOrder, const std::optional<net::http_reply>& aReply)
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
    // Another gateway has the duty with a higher number.
    mLease.Lost();
    return;
  }
  if (status == 0) {
    // It may have been accepted, and may be carried out late: the engine is asked in time.
    return;
  }
  order->second.mUntil = Now() + kRefusedPause;
}

} // namespace chervilpulley::gateway
