#pragma once

#include <boost/asio/io_context.hpp>

#include <functional>
#include <mutex>
#include <optional>
#include <unordered_map>
#include <variant>

#include "base/ref_counted.h"
#include "metrics/metrics.h"
#include "policy/admission_queue.h"

/// Limits how many requests run at the backend server at once and queues the rest. Keeps a burst from overloading it.
namespace chervilpulley::sidecar {

/// Sizes of the gate, in requests.
struct gate_limits
{
  std::uint32_t mMaxRunning = 64;
  std::uint32_t mMaxQueued = 256;
};

/// The request has a slot and can run now.
struct gate_started
{};
/// The request is queued; its callback runs when it gets a slot or expires.
struct gate_waiting
{
  policy::admission_ticket mTicket;
};
/// Result of admission_gate::Enter(): started, queued or refused.
using gate_response = std::variant<gate_started, gate_waiting, policy::admission_error>;

/// Slots of the backend server and the queue for them. Thread-safe. Each started request must call Leave() exactly
/// once.
class admission_gate : public ref_counted
{
public:
  /// Called on one of the context's threads when a waiting request is started or has expired.
  using start_callback = std::function<void(bool aIsExpired)>;

  admission_gate(boost::asio::io_context& aContext, gate_limits aLimits, ref<metrics::process_metrics> aMetrics);

  /// Takes a slot, or queues the request if aMayWait; refuses it otherwise or when the queue is full.
  /// @param aOnStart is called only for a queued request.
  gate_response Enter(const policy::admission_request& aRequest, bool aMayWait, start_callback aOnStart);
  /// Releases a slot and starts waiting requests.
  void Leave();
  /// Removes a waiting request; false if it has been started or has expired already.
  bool CancelWaiting(policy::admission_ticket aTicket);
  /// Sets the number of slots. A higher one starts waiting requests; a lower one lets running requests finish.
  void SetMaxRunning(std::uint32_t aMaxRunning);
  std::uint32_t MaxRunning() const;
  std::uint32_t Running() const;
  std::uint32_t Waiting() const;

private:
  void StartWaiting();

  boost::asio::io_context& mContext;
  mutable std::mutex mMutex;
  std::uint32_t mMaxRunning;
  std::uint32_t mRunning = 0;
  policy::admission_queue mQueue;
  struct waiter
  {
    start_callback mOnStart;
    instant mSince{};
  };
  ref<metrics::process_metrics> mMetrics;
  std::unordered_map<policy::admission_ticket, waiter> mWaiters;
};

} // namespace chervilpulley::sidecar
