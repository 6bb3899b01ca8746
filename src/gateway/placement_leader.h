#pragma once

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>

#include <map>

#include "gateway/engine_probes.h"
#include "gateway/peer_hints.h"
#include "gateway/store_sync.h"
#include "policy/leader_lease.h"

/// Orders engines to load layers, so that a pool serves all layers of its model when engines join, fail or leave. One
/// gateway at a time is the placement leader, by a lease in the store. Its only state is what the engines hold, so the
/// next leader continues where it stopped.
namespace chervilpulley::gateway {

/// Acquires and renews the lease; while it is held, plans the placement and sends orders to engines.
class placement_leader : public ref_counted
{
public:
  placement_leader(boost::asio::io_context& aContext,
                   instance_id aSelf,
                   ref<store_client> aStore,
                   ref<store_sync> aSync,
                   ref<fleet> aFleet,
                   ref<backend_calls> aCalls,
                   ref<engine_probes> aProbes,
                   ref<peer_hints> aHints,
                   ref<gateway_metrics> aMetrics);

  /// Starts to contend for the lease and, while it is held, to plan.
  void Start();
  /// Releases the leadership, so that another gateway need not wait for the lease to expire.
  void Leave() { mIsLeaving = true; }

private:
  /// An order that was sent and whose effect is not listed yet.
  struct pending_order
  {
    policy::layer_span mRange;
    std::uint64_t mStartedAt = 0; ///< start time of the engine
    instant mDeadline;            ///< when the engine is probed for the outcome
    bool mReleasesLayers = false; ///< whether the engine drops layers that it held before
    instant mNotifyAgainAt;       ///< when the other gateways are notified again of the move
  };

  boost::asio::awaitable<void> Run();
  boost::asio::awaitable<void> KeepLease();
  boost::asio::awaitable<void> WriteLease();
  boost::asio::awaitable<void> ReadLease();
  void Plan(instant aNow);
  void PlanPool(const pool& aPool, instant aNow);
  void ClosePendingOrders(instant aNow);
  void SendOrder(const policy::layer_order& aOrder, const policy::engine_model& aModel, instant aNow);
  void OnResponse(const policy::layer_order& aOrder, const std::optional<net::http_reply>& aReply);
  /// Gets the number of orders that an engine has accepted.
  void ProbeOrderCount(const backend_id& aEngine);
  void NotifyMoving(const backend_id& aEngine, instant aNow);
  void ProbeOrder(const backend_id& aEngine);

  boost::asio::io_context& mContext;
  instance_id mSelf;
  ref<store_client> mStore;
  ref<store_sync> mSync;
  ref<fleet> mFleet;
  ref<backend_calls> mCalls;
  ref<engine_probes> mProbes;
  ref<peer_hints> mHints;
  ref<gateway_metrics> mMetrics;
  policy::leader_lease mLease;
  std::map<backend_id, pending_order> mOrders;
  std::map<backend_id, std::uint64_t> mOrderCounts; ///< orders accepted by each engine, as it reported
  std::uint64_t mMembersVersion = 0;
  instant mMembersChangedAt;
  bool mIsLeaving = false;
  bool mWasHeld = false;
};

} // namespace chervilpulley::gateway
