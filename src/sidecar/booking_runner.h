#pragma once

#include <algorithm>
#include <atomic>
#include <string>
#include <utility>

#include "base/log.h"
#include "base/random.h"
#include "base/sharded_map.h"
#include "engine/service_client.h"
#include "sidecar/booking_partition.h"
#include "sidecar/service_message.h"
#include "sidecar/service_runner.h"

/// Runs calls of a plain service at most once per idempotency key, also when they are retried after lost responses,
/// crashes of sidecars and outages of the platform.
namespace chervilpulley::sidecar {

/// Retry-after of a call whose claim could not be made.
inline constexpr std::chrono::milliseconds kClaimRetryAfter{ 1000 };
/// Retention of claims whose call does not set one.
inline constexpr std::chrono::milliseconds kDefaultRetention = std::chrono::hours(72);
/// Longest idempotency key, in bytes.
inline constexpr std::size_t kMaxKeyBytes = 255;

/// A service_runner that keeps its claims in the platform's object API.
template<platform::object_store Store>
class booking_runner : public service_runner
{
public:
  booking_runner(boost::asio::io_context& aContext,
                 Store& aStore,
                 ref<engine::service_client> aService,
                 service_runner_options aOptions)
    : mContext(aContext)
    , mStore(aStore)
    , mService(std::move(aService))
    , mOptions(std::move(aOptions))
    , mHonoursKey(mOptions.mHonoursKey)
  {
  }

  boost::asio::awaitable<service_outcome> Run(link::service_call aCall, request_id aRequest) override
  {
    const ref<booking_runner> self(this);
    call_context call{ std::move(aCall), std::move(aRequest), std::chrono::steady_clock::now() };
    if (call.mCall.idempotent() || call.mCall.idempotency_key().empty()) {
      co_return co_await RunOnce(call);
    }
    co_return co_await RunBooking(call);
  }

  void SetHonoursKey(bool aHonoursKey) override { mHonoursKey = aHonoursKey; }
  std::size_t OpenBookings() const override { return mBookings.Size(); }

private:
  using partition = booking_partition<Store>;

  struct call_context
  {
    link::service_call mCall;
    request_id mRequest;
    std::chrono::steady_clock::time_point mStarted;
  };
  /// A booking that this process runs, or whose result is not written yet.
  struct booking : ref_counted
  {
    explicit booking(policy::body_digest aBody)
      : mBody(aBody)
    {
    }
    const policy::body_digest mBody;
    const ref<booking_promise<service_outcome>> mOutcome = MakeRef<booking_promise<service_outcome>>();
  };

  service_outcome Refuse(link::refusal_reason aReason, link::call_outcome aOutcome, std::string aMessage) const
  {
    return MakeRefusal(mOptions.mInstance, aReason, aOutcome, std::move(aMessage));
  }

  /// Time left for the service; not positive once the deadline has passed.
  duration TimeLeft(const call_context& aCall) const
  {
    if (aCall.mCall.deadline_ms() == 0) {
      return mOptions.mCallTimeout;
    }
    const auto passed = std::chrono::steady_clock::now() - aCall.mStarted;
    const auto left = std::chrono::milliseconds(aCall.mCall.deadline_ms()) - passed;
    return std::min(mOptions.mCallTimeout, std::chrono::floor<duration>(left));
  }

  boost::asio::awaitable<engine::service_result> Dispatch(const call_context& aCall)
  {
    const duration left = TimeLeft(aCall);
    if (left <= duration::zero()) {
      co_return engine::service_error{ engine::service_errc::NotSent, "the deadline has passed" };
    }
    co_return co_await mService->Call(MakeServiceRequest(aCall.mCall, aCall.mRequest, mHonoursKey), left);
  }

  service_outcome RefuseError(const engine::service_error& aError) const
  {
    const bool notSent = aError.mCode == engine::service_errc::NotSent;
    const auto callOutcome = notSent ? link::OUTCOME_NOT_RUN : link::OUTCOME_UNKNOWN;
    return Refuse(link::REFUSAL_BACKEND_DOWN, callOutcome, aError.mMessage);
  }

  boost::asio::awaitable<service_outcome> RunOnce(const call_context& aCall)
  {
    const auto reply = co_await Dispatch(aCall);
    if (reply.has_error()) {
      co_return RefuseError(reply.error());
    }
    co_return MakeServiceReply(reply.value());
  }

  boost::asio::awaitable<service_outcome> RunBooking(const call_context& aCall)
  {
    const link::service_call& call = aCall.mCall;
    if (call.idempotency_key().size() > kMaxKeyBytes) {
      co_return Refuse(link::REFUSAL_BAD_REQUEST,
                       link::OUTCOME_NOT_RUN,
                       "the idempotency key has more than " + std::to_string(kMaxKeyBytes) + " bytes");
    }
    const std::chrono::milliseconds requestedRetention(call.retention_ms());
    const auto retention = requestedRetention.count() == 0 ? kDefaultRetention : requestedRetention;
    const auto lifetime = policy::LifetimeOfKey(call.idempotency_key(), CalendarNow(), retention);
    if (!lifetime) {
      co_return Refuse(
        link::REFUSAL_BAD_REQUEST, link::OUTCOME_NOT_RUN, "the idempotency key carries a time in the future");
    }
    policy::claim_request request;
    request.mKey =
      policy::MakeClaimKey(workspace_id(call.workspace()), route_name(call.route()), call.idempotency_key());
    request.mId = policy::claim_id(RandomNumber());
    request.mBody = policy::MakeBodyDigest(call.method(), call.path(), call.body());
    request.mLifetime = *lifetime;
    co_return co_await JoinOrRun(aCall, request);
  }

  /// Waits for the booking with the same key if this process runs one; otherwise runs it.
  boost::asio::awaitable<service_outcome> JoinOrRun(const call_context& aCall, policy::claim_request aRequest)
  {
    const auto own = MakeRef<booking>(aRequest.mBody);
    const ref<booking> current = mBookings.WithShard(
      aRequest.mKey, [&](auto& aBookings) { return aBookings.try_emplace(aRequest.mKey, own).first->second; });
    if (current == own) {
      Start(aCall, aRequest, own);
      co_return co_await own->mOutcome->Wait();
    }
    if (current->mBody != aRequest.mBody) {
      co_return RefuseKeyReuse(aCall);
    }
    service_outcome result = co_await current->mOutcome->Wait();
    if (auto* reply = std::get_if<link::service_reply>(&result)) {
      reply->set_replayed(true);
    }
    co_return result;
  }

  /// Runs a booking in a coroutine of its own, so that it continues when the caller disconnects.
  void Start(const call_context& aCall, const policy::claim_request& aRequest, const ref<booking>& aBooking)
  {
    const ref<booking_runner> self(this);
    boost::asio::co_spawn(
      mContext,
      [self, call = aCall, aRequest, aBooking]() -> boost::asio::awaitable<void> {
        aBooking->mOutcome->Set(co_await self->RunClaim(call, aRequest));
      },
      boost::asio::detached);
  }

  boost::asio::awaitable<service_outcome> RunClaim(const call_context& aCall, policy::claim_request aRequest)
  {
    const ref<partition> journal = PartitionOf(aCall.mCall);
    const policy::claim_decision decision = co_await journal->Claim(aRequest);
    if (decision.mStatus == policy::claim_status::Won) {
      co_return co_await RunClaimed(aCall, aRequest, *journal);
    }
    mBookings.Erase(aRequest.mKey);
    co_return OutcomeOf(aCall, decision);
  }

  service_outcome RefuseKeyReuse(const call_context& aCall) const
  {
    return Refuse(link::REFUSAL_KEY_REUSED,
                  link::OUTCOME_NOT_RUN,
                  "the idempotency key was used with another call on route \"" + aCall.mCall.route() +
                    "\" in workspace \"" + aCall.mCall.workspace() + "\"");
  }

  /// Response to a call whose claim was not won.
  service_outcome OutcomeOf(const call_context& aCall, const policy::claim_decision& aDecision) const
  {
    switch (aDecision.mStatus) {
      case policy::claim_status::HasResult:
        return Replay(*aDecision.mResponse);
      case policy::claim_status::NoResult:
        return Refuse(link::REFUSAL_UNSPECIFIED,
                      link::OUTCOME_UNKNOWN,
                      "the idempotency key was claimed before and has no answer yet; the call may have run");
      case policy::claim_status::KeyReused:
        return RefuseKeyReuse(aCall);
      case policy::claim_status::TooOld:
        return Refuse(link::REFUSAL_KEY_TOO_OLD,
                      link::OUTCOME_NOT_RUN,
                      "the idempotency key is older than the retention time of route \"" + aCall.mCall.route() + "\"");
      case policy::claim_status::Unavailable:
      case policy::claim_status::Won:
        break;
    }
    auto refusal = MakeRefusal(mOptions.mInstance,
                               link::REFUSAL_PLATFORM_DOWN,
                               link::OUTCOME_NOT_RUN,
                               "the idempotency key could not be claimed");
    refusal.set_retry_after_ms(static_cast<std::uint64_t>(kClaimRetryAfter.count()));
    return refusal;
  }

  service_outcome Replay(const journal::answer& aResponse) const
  {
    if (aResponse.too_large()) {
      return Refuse(
        link::REFUSAL_UNSPECIFIED, link::OUTCOME_UNKNOWN, "the call ran before; its answer was too large to keep");
    }
    return MakeReplay(aResponse);
  }

  boost::asio::awaitable<service_outcome> RunClaimed(const call_context& aCall,
                                                     policy::claim_request aRequest,
                                                     partition& aJournal)
  {
    engine::service_result reply = engine::service_error{ engine::service_errc::NotSent, "the claim has expired" };
    if (policy::MayDispatch(aRequest.mLifetime, CalendarNow())) {
      reply = co_await Dispatch(aCall);
    }
    if (reply.has_value()) {
      co_return co_await Finish(aCall, aRequest, aJournal, MakeServiceReply(reply.value()));
    }
    if (reply.error().mCode == engine::service_errc::NotSent) {
      co_await aJournal.Release(aRequest);
    } else {
      kBookingLog.Request(aCall.mRequest.Str(), "No response from the service; the call may have run.");
    }
    mBookings.Erase(aRequest.mKey);
    co_return RefuseError(reply.error());
  }

  /// Writes the result, so that a retry at any sidecar gets this response. The caller gets it even if the write fails.
  boost::asio::awaitable<service_outcome> Finish(const call_context& aCall,
                                                 policy::claim_request aRequest,
                                                 partition& aJournal,
                                                 link::service_reply aReply)
  {
    const ref<booking_runner> self(this);
    std::function<void()> onEnd = [self, key = aRequest.mKey] { self->mBookings.Erase(key); };
    const auto state = co_await aJournal.WriteResult(aRequest, MakeStoredResponse(aReply), std::move(onEnd));
    if (state != policy::write_state::Written) {
      kBookingLog.Request(aCall.mRequest.Str(), "The result could not be written yet.");
    }
    co_return aReply;
  }

  ref<partition> PartitionOf(const link::service_call& aCall)
  {
    const std::string prefix =
      policy::ClaimPartitionPrefix(workspace_id(aCall.workspace()), route_name(aCall.route()), aCall.idempotency_key());
    return mPartitions.WithShard(prefix, [&](auto& aPartitions) {
      const auto found = aPartitions.find(prefix);
      if (found != aPartitions.end()) {
        return found->second;
      }
      EvictIdle(aPartitions);
      return aPartitions.emplace(prefix, MakeRef<partition>(mContext, mStore, prefix)).first->second;
    });
  }

  /// Evicts cached journals that are idle, while those of a shard exceed its share of the memory limit.
  template<class Partitions>
  void EvictIdle(Partitions& aPartitions) const
  {
    std::size_t bytes = 0;
    for (const auto& entry : aPartitions) {
      bytes += entry.second->MemoryBytes();
    }
    for (auto next = aPartitions.begin(); next != aPartitions.end() && bytes > mOptions.mJournalBytes / kShardCount;) {
      if (next->second->IsIdle()) {
        bytes -= std::min(bytes, next->second->MemoryBytes());
        next = aPartitions.erase(next);
      } else {
        ++next;
      }
    }
  }

  static constexpr part_log kBookingLog{ "booking" };

  boost::asio::io_context& mContext;
  Store& mStore;
  const ref<engine::service_client> mService;
  const service_runner_options mOptions;
  std::atomic<bool> mHonoursKey;
  sharded_map<policy::claim_key, ref<booking>> mBookings;
  sharded_map<std::string, ref<partition>> mPartitions;
};

/// Creates the runner of a sidecar beside a plain service.
/// @param aStore must outlive the runner and all that aContext runs.
template<platform::object_store Store>
ref<service_runner> MakeServiceRunner(boost::asio::io_context& aContext,
                                      Store& aStore,
                                      ref<engine::service_client> aService,
                                      service_runner_options aOptions)
{
  return MakeRef<booking_runner<Store>>(aContext, aStore, std::move(aService), std::move(aOptions));
}

} // namespace chervilpulley::sidecar
