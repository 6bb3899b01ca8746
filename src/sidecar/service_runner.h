#pragma once

#include <boost/asio/awaitable.hpp>

#include <cstddef>
#include <variant>

#include "base/ref_counted.h"
#include "chervilpulley/ids.h"
#include "chervilpulley/units.h"
#include "generated/link.pb.h"

namespace chervilpulley::sidecar {

/// The answer of the service, or why there is none and whether the call may have run.
using service_outcome = std::variant<link::service_reply, link::refusal>;

struct service_runner_options
{
  instance_id mInstance;
  duration mCallTimeout = std::chrono::seconds(30); ///< longest wait for the service
  std::size_t mJournalBytes = 64U << 20U;           ///< memory for copies of journals, in bytes and roughly
  bool mHonoursKey = false;                         ///< the service takes an Idempotency-Key of its own
};

/// Runs the calls of plain services: those that aren't idempotent at most once. Thread-safe.
/// Made by MakeServiceRunner() in sidecar/booking_runner.h.
class service_runner : public ref_counted
{
public:
  /// Runs a call. A refusal tells what is known: OUTCOME_NOT_RUN surely, OUTCOME_UNKNOWN it may have run.
  virtual boost::asio::awaitable<service_outcome> Run(link::service_call aCall, request_id aRequest) = 0;
  /// Follows the pool's configuration; takes effect for later calls.
  virtual void SetHonoursKey(bool aHonoursKey) = 0;
  /// Bookings that run, or whose result is not written yet; a shutdown waits for them.
  virtual std::size_t OpenBookings() const = 0;
};

} // namespace chervilpulley::sidecar
