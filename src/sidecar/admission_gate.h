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

/// Places at the backend server, and the queue for them.
namespace chervilpulley::sidecar {

struct gate_limits
{
  std::uint32_t mMaxRunning = 64;
  std::uint32_t mMaxQueued = 256;
};

/// How a request that asked to enter goes on.
struct gate_started
{};
struct gate_waiting
{
  policy::admission_ticket mTicket;
};
using gate_response = std::variant<gate_started, gate_waiting, policy::admission_error>;

/// Thread-safe. A request that was started must Leave() once.
class admission_gate : public ref_counted
{
public:
  /// Called on one of the context's threads when a waiting request is started, or has expired.
  using start_callback = std::function<void(bool aIsExpired)>;

  admission_gate(boost::asio::io_context& aContext, gate_limits aLimits, ref<metrics::process_metrics> aMetrics);

  /// Takes a place, or waits for one if aMayWait.
  gate_response Enter(const policy::admission_request& aRequest, bool aMayWait, start_callback aOnStart);
  /// Gives a place back.
  void Leave();
  /// Removes a waiting request; false when it was started or has expired meanwhile.
  bool CancelWaiting(policy::admission_ticket aTicket);
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
