#pragma once

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>

#include <map>

#include "gateway/engine_inquiries.h"
#include "gateway/peer_hints.h"
#include "gateway/store_sync.h"
#include "policy/duty_lease.h"

/// Brings layers to engines. One gateway at a time has the duty; what it needs to know is what engines hold, so that
/// the next one goes on where it stopped.
namespace chervilpulley::gateway {

class placement_duty : public ref_counted
{
public:
  placement_duty(boost::asio::io_context& aContext,
                 instance_id aSelf,
                 ref<store_client> aStore,
                 ref<store_sync> aSync,
                 ref<fleet> aFleet,
                 ref<backend_calls> aCalls,
                 ref<engine_inquiries> aInquiries,
                 ref<peer_hints> aHints,
                 ref<gateway_metrics> aMetrics);

  void Start();
  /// Gives the duty up, so that another gateway need not wait.
  void Leave() { mIsLeaving = true; }

private:
  /// An order that was given and whose effect is not listed yet.
  struct open_order
  {
    policy::layer_span mRange;
    std::uint64_t mStartedAt = 0; ///< of the engine
    instant mUntil;               ///< then the engine is asked what became of it
    bool mGivesUp = false;        ///< layers that it held before
    instant mTellAgain;           ///< the other gateways
  };

  boost::asio::awaitable<void> Run();
  boost::asio::awaitable<void> KeepLease();
  boost::asio::awaitable<void> WriteLease();
  boost::asio::awaitable<void> LookAtLease();
  void Plan(instant aNow);
  void PlanPool(const pool& aPool, instant aNow);
  void CloseOrders(instant aNow);
  void Give(const policy::layer_order& aOrder, const policy::engine_model& aModel, instant aNow);
  void Answered(const policy::layer_order& aOrder, const std::optional<net::http_reply>& aReply);
  /// Asks an engine how many orders it has had.
  void AskCount(const backend_id& aEngine);
  void TellMoving(const backend_id& aEngine, instant aNow);
  void AskAgain(const backend_id& aEngine);

  boost::asio::io_context& mContext;
  instance_id mSelf;
  ref<store_client> mStore;
  ref<store_sync> mSync;
  ref<fleet> mFleet;
  ref<backend_calls> mCalls;
  ref<engine_inquiries> mInquiries;
  ref<peer_hints> mHints;
  ref<gateway_metrics> mMetrics;
  policy::duty_lease mLease;
  std::map<backend_id, open_order> mOrders;
  std::map<backend_id, std::uint64_t> mOrderCounts; ///< as engines reported them
  std::uint64_t mMembersVersion = 0;
  instant mMembersChangedAt;
  bool mIsLeaving = false;
  bool mWasHeld = false;
};

} // namespace chervilpulley::gateway
