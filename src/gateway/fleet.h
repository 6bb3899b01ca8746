#pragma once

#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include "gateway/configuration.h"
#include "gateway/wire.h"
#include "net/endpoint.h"
#include "policy/key_freshness.h"
#include "policy/member_table.h"
#include "policy/path_choice.h"
#include "policy/retry_allowance.h"

/// What this gateway believes of the backend servers: who there is, what they hold, what of our work they have, and
/// which of them were seen failing. One thread.
namespace chervilpulley::gateway {

/// A believed loss ends after this time unless it is seen again: by then the platform's list has dropped a dead server.
inline constexpr duration kLossBelief = std::chrono::milliseconds(4000);
/// A server that refused for want of room is not asked for this time.
inline constexpr duration kRefusalBelief = std::chrono::milliseconds(150);
/// One whose memory is full, by its own report: a request gives its memory back after three seconds or so.
inline constexpr duration kFullBelief = std::chrono::milliseconds(400);
/// One that does not hold what the list says: the list follows within a second or so.
inline constexpr duration kStaleBelief = std::chrono::milliseconds(700);
/// An engine that was slow is asked again after this time, as nothing else would show that it is quick again: slow ones
/// get no work.
inline constexpr duration kSlownessBelief = std::chrono::milliseconds(1500);
/// Times the usual from which an engine counts as slow.
inline constexpr double kSlow = 1.25;
/// Share of the memory for requests from which an engine counts as full.
inline constexpr double kFullShare = 0.85;

/// Time for which an engine that moves to other layers is left alone after the last word of it.
inline constexpr duration kMovingBelief = std::chrono::milliseconds(3000);

/// Who found a server lost.
enum class loss_source
{
  Own, ///< a request or inquiry of this gateway
  Hint ///< another gateway, and then an inquiry of this one
};

/// What is known of one backend server beside its list entry.
struct backend_belief
{
  net::endpoint mAddress;
  double mPromised = 0; ///< tokens x layers of our requests
  std::uint32_t mRunning = 0;
  instant mLostUntil;
  instant mRefusingUntil;
  double mFailures = 0; ///< recent share of failed requests
  double mSlowdownFactor = 1;
  instant mSlownessSeen; ///< when it was last reported
  std::uint64_t mStartedAt = 0;
  std::optional<instant> mLeavingSince; ///< when it was first seen leaving
  instant mMovingUntil;                 ///< it gives up its layers as soon as nothing passes through them
  policy::layer_span mMovingFrom;       ///< what it held when it was told to
};

/// A path that was chosen, with what is needed to use it.
struct chosen_path
{
  struct part
  {
    backend_id mEngine;
    std::string mAddress;
    policy::layer_span mRange;
    failure_domain_id mDomain;
  };
  std::vector<part> mStages;
  double mTokens = 0; ///< promised at each layer
  policy::path_cost mCost;
};

/// Engines of a pool as this gateway believes them to be, for logs and metrics.
struct engine_supply
{
  std::size_t mUsable = 0;
  std::size_t mLost = 0;
  std::size_t mRefusing = 0; ///< for want of room, or as the list is old
  std::size_t mMoving = 0;
  std::size_t mUncoveredHere = 0;     ///< layers that no usable engine of our failure domain holds
  std::size_t mUncoveredAnywhere = 0; ///< layers that no usable engine holds
  std::size_t mHeldOnceHere = 0;      ///< layers that a single usable engine of our failure domain holds
};

/// What a path is asked for.
struct path_question
{
  pool_name mPool;
  double mInputTokens = 0;
  double mOutputTokens = 0;
  std::set<backend_id> mExcluded;
  std::optional<policy::layer_span> mSpan; ///< only these layers
  /// The parts of a running path next to these layers: the one before is in the domain where a replacement is best.
  std::optional<failure_domain_id> mDomainBefore;
  std::optional<failure_domain_id> mDomainAfter;
  bool mFastEnginesOnly = false;
};

/// A server that is not listed any more. It has ended, or leaves without having said so and serves on for a while.
struct departed_backend
{
  net::endpoint mAddress;
  std::uint64_t mStartedAt = 0;
  bool mIsLost = false; ///< it was out of reach before or since
  instant mSince;
};

/// Departed servers are forgotten after this time; streams that they may still have are shorter.
inline constexpr duration kDepartedMemory = std::chrono::seconds(60);

class fleet : public ref_counted
{
public:
  fleet(failure_domain_id aHome, duration aReturnTime, policy::retry_bounds aRetryBounds);

  void SetConfiguration(ref<const configuration> aConfiguration) { mConfiguration = std::move(aConfiguration); }
  const ref<const configuration>& Configuration() const { return mConfiguration; }
  policy::member_table& Members() { return mMembers; }
  const policy::member_table& Members() const { return mMembers; }
  /// Must be called after members have changed.
  void MembersChanged(instant aNow);

  std::optional<chosen_path> ChoosePath(const path_question& aQuestion, instant aNow);
  engine_supply Supply(const pool_name& aPool, instant aNow);
  std::optional<backend_id> ChooseService(const pool_name& aPool,
                                          const std::set<backend_id>& aExcluded,
                                          std::uint64_t aRandom,
                                          instant aNow);

  /// Counts what a request on a path takes of the pipes between failure domains, for so many tokens.
  void CountCrossings(const pool_name& aPool, const chosen_path& aPath, double aTokens, instant aNow);
  /// Counts a path's promise at its engines, or takes it back.
  void Promise(const chosen_path& aPath);
  void Release(const chosen_path& aPath);
  void Started(const backend_id& aId);
  void Ended(const backend_id& aId);
  /// Outcome of a request at a server, for its share of failures.
  void Outcome(const backend_id& aId, bool aFailed);

  /// A server was found dead or out of reach.
  void BelieveLost(const backend_id& aId, instant aNow, loss_source aSource = loss_source::Own);
  /// No connection to a server could be made for a request, which was not sent.
  void BelieveUnreachable(const backend_id& aId, const std::string& aRequest, const std::string& aReason, instant aNow);
  /// Called when this gateway itself finds a server lost that it took for alive.
  void OnLossFound(std::function<void(const backend_id&)> aCallback) { mOnLossFound = std::move(aCallback); }
  /// Called with each engine that has said that it is slow.
  void OnSlowFound(std::function<void(const backend_id&)> aCallback) { mOnSlowFound = std::move(aCallback); }
  /// Engines that are believed slow.
  std::size_t SlowEngines() const;
  /// Calls aVisit(member, kind) for each listed engine of a pool whose kind of accelerator is known; the last start of
  /// each address only.
  template<class Visit>
  void ForEachEngine(const pool& aPool, Visit aVisit) const
  {
    for (const auto& [id, member] : mMembers.Members()) {
      const policy::accelerator_kind* kind = aPool.mEngine->FindKind(member.mAccelerator);
      if (member.mPool == aPool.mName && kind != nullptr && !IsReplaced(id)) {
        aVisit(member, *kind);
      }
    }
  }
  /// Whether a server belongs to a pool of model engines.
  bool IsEngine(const backend_id& aId) const;
  void BelieveRefusing(const backend_id& aId, instant aNow, duration aTime = kRefusalBelief);
  /// What an engine says of itself.
  void Reported(const backend_id& aId, const wire::engine_report& aReport, instant aNow);
  /// One that is not listed any more counts as lost here: it takes nothing new.
  bool IsBelievedLost(const backend_id& aId, instant aNow) const;
  /// Whether a server was seen to fail or be out of reach. One that is not listed any more may serve on what it has.
  bool IsFoundLost(const backend_id& aId, instant aNow) const;
  bool IsListed(const backend_id& aId) const { return mMembers.Find(aId) != nullptr; }
  /// Whether what runs at a server may still run there.
  bool MayBeAlive(const policy::backend_member& aServer) const;
  /// Engines that were slow when they last reported, a while ago.
  std::vector<backend_id> SlowSoFar(instant aNow) const;

  /// An engine was told to give up its layers for others: streams leave it, so that it need not wait for them.
  void BelieveMoving(const backend_id& aId, instant aNow);
  bool IsMoving(const backend_id& aId, instant aNow) const;
  /// Since when a server is known to be leaving; nothing when it is not, or is not listed any more.
  std::optional<instant> LeavingSince(const backend_id& aId) const;

  /// The address of a server; also of one that is not listed any more, as long as no other one is listed there.
  std::optional<net::endpoint> AddressOf(const backend_id& aId) const;
  /// Whether a later start of a server is listed at the same address.
  bool IsReplaced(const backend_id& aId) const;
  /// The server that is listed at an address; the last one started.
  std::optional<backend_id> AtAddress(const std::string& aAddress) const;

  policy::retry_allowance& Retries(const pool_name& aPool);
  /// Gateways that share what is bounded for all together.
  std::size_t Gateways() const { return mGateways; }
  void SetGateways(std::size_t aAll, std::size_t aInDomain);

private:
  backend_belief& Belief(const backend_id& aId);
  void FillEngines(const pool& aPool);
  void RememberDeparted(const backend_id& aId, const backend_belief& aBelief, instant aNow);

  failure_domain_id mHome;
  std::function<void(const backend_id&)> mOnLossFound;
  std::function<void(const backend_id&)> mOnSlowFound;
  ref<const configuration> mConfiguration;
  policy::member_table mMembers;
  std::map<backend_id, backend_belief> mBeliefs;
  std::unordered_map<std::string, backend_id> mByAddress;
  std::map<backend_id, departed_backend> mDeparted;
  policy::interconnect_load mPipes;
  policy::retry_bounds mRetryBounds;
  std::unordered_map<pool_name, policy::retry_allowance> mRetries;
  std::size_t mGateways = 1;
  std::size_t mGatewaysInDomain = 1;
  std::vector<policy::path_engine> mEngines; ///< of the pool and versions below
  pool_name mEnginesOf;
  std::uint64_t mEnginesVersion = 0;
  const configuration* mEnginesConfiguration = nullptr;
};

} // namespace chervilpulley::gateway
