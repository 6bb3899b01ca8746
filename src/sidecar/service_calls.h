#pragma once

#include <boost/asio/io_context.hpp>

#include <atomic>
#include <functional>

#include "config/config_view.h"
#include "link/frames.h"
#include "sidecar/admission_gate.h"
#include "sidecar/backend_monitor.h"
#include "sidecar/service_runner.h"

/// Calls of the plain service beside this process, from the request frame to the response frame. Refuses calls early
/// while the sidecar is leaving, the service is down or the queue is full.
namespace chervilpulley::sidecar {

/// Admits calls, runs them and sends their responses. Thread-safe.
class service_calls : public ref_counted
{
public:
  using view_source = std::function<ref<const config::config_view>()>;
  service_calls(boost::asio::io_context& aContext,
                instance_id aInstance,
                ref<service_runner> aRunner,
                ref<backend_monitor> aMonitor,
                ref<admission_gate> aGate,
                view_source aView,
                ref<link::local_revision> aLocalRevision);

  /// Handles a call; its response is sent over the same link.
  void OnCall(const ref<link::connection>& aLink, const link::frame& aFrame);
  /// Sets whether new calls are refused; those admitted already finish.
  void Leave(bool aIsLeaving) { mLeaving = aIsLeaving; }
  void SetHonoursKey(bool aHonoursKey) { mRunner->SetHonoursKey(aHonoursKey); }
  std::uint32_t OpenBookings() const { return static_cast<std::uint32_t>(mRunner->OpenBookings()); }

private:
  policy::admission_request AdmissionOf(const link::service_call& aCall) const;
  void Refuse(const ref<link::connection>& aLink,
              const link::frame& aFrame,
              link::refusal_reason aReason,
              const std::string& aMessage,
              std::optional<duration> aRetryAfter);
  void Start(const ref<link::connection>& aLink, const link::frame& aFrame);
  boost::asio::awaitable<void> Run(ref<link::connection> aLink, link::frame aFrame);

  boost::asio::io_context& mContext;
  instance_id mInstance;
  ref<service_runner> mRunner;
  ref<backend_monitor> mMonitor;
  ref<admission_gate> mGate;
  view_source mView;
  ref<link::local_revision> mLocalRevision;
  std::atomic<bool> mLeaving{ false };
};

} // namespace chervilpulley::sidecar
