#pragma once

#include <boost/asio/awaitable.hpp>

#include <cstddef>
#include <variant>

#include "base/ref_counted.h"
#include "chervilpulley/ids.h"
#include "chervilpulley/units.h"
#include "generated/link.pb.h"

/// Interface for running calls of a plain service at most once.
namespace chervilpulley::sidecar {

/// The response of the service, or the reason why there is none and whether the call may have run.
using service_outcome = std::variant<link::service_reply, link::refusal>;

/// Limits of a service_runner.
struct service_runner_options
{
  instance_id mInstance;
  duration mCallTimeout = std::chrono::seconds(30); ///< longest wait for the service
  std::size_t mJournalBytes = 64U << 20U;           ///< approximate memory limit of cached journals, in bytes
  bool mHonoursKey = false;                         ///< the service accepts an Idempotency-Key header
};

/// Runs the calls of plain services; those that are not idempotent but have an idempotency key run at most once.
/// Thread-safe. Created by MakeServiceRunner() in sidecar/booking_runner.h.
class service_runner : public ref_counted
{
public:
  /// Runs a call. A refusal says whether it ran: OUTCOME_NOT_RUN certainly not, OUTCOME_UNKNOWN possibly.
  virtual boost::asio::awaitable<service_outcome> Run(link::service_call aCall, request_id aRequest) = 0;
  /// Sets whether the service accepts an Idempotency-Key header, as the pool is configured; applies to later calls.
  virtual void SetHonoursKey(bool aHonoursKey) = 0;
  /// Number of bookings that run or whose result is not written yet; a shutdown waits for them.
  virtual std::size_t OpenBookings() const = 0;
};

} // namespace chervilpulley::sidecar
