#include "sidecar/service_calls.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include "base/clock.h"

namespace chervilpulley::sidecar {

namespace {

constexpr duration kRetryAfter = std::chrono::milliseconds(500);

link::frame ResponseTo(const link::frame& aFrame)
{
  return link::AttemptFrame(request_id(aFrame.request()), link::AttemptOf(aFrame));
}

} // namespace

service_calls::service_calls(boost::asio::io_context& aContext,
                             instance_id aInstance,
                             ref<service_runner> aRunner,
                             ref<backend_monitor> aMonitor,
                             ref<admission_gate> aGate,
                             view_source aView,
                             ref<link::local_revision> aLocalRevision)
  : mContext(aContext)
  , mInstance(std::move(aInstance))
  , mRunner(std::move(aRunner))
  , mMonitor(std::move(aMonitor))
  , mGate(std::move(aGate))
  , mView(std::move(aView))
  , mLocalRevision(std::move(aLocalRevision))
{
}

policy::admission_request service_calls::AdmissionOf(const link::service_call& aCall) const
{
  policy::admission_request request;
  request.mWorkspace = workspace_id(aCall.workspace());
  const admin::workspace* workspace = mView()->FindWorkspace(request.mWorkspace);
  request.mWeight = workspace != nullptr && workspace->weight() > 0 ? workspace->weight() : 1.0;
  request.mOutputTokens = token_count(1);
  request.mPriority = aCall.priority();
  if (aCall.deadline_ms() > 0) {
    request.mFirstTokenDeadline = Now() + std::chrono::milliseconds(aCall.deadline_ms());
  }
  return request;
}

void service_calls::OnCall(const ref<link::connection>& aLink, const link::frame& aFrame)
{
  const std::string self = "sidecar \"" + mInstance.Str() + "\" ";
  if (mLeaving) {
    Refuse(aLink, aFrame, link::REFUSAL_LEAVING, self + "is leaving", kRetryAfter);
    return;
  }
  if (!mMonitor->IsUp()) {
    Refuse(aLink, aFrame, link::REFUSAL_BACKEND_DOWN, "the service of " + self + "can't be reached", kRetryAfter);
    return;
  }
  const gate_response response =
    mGate->Enter(AdmissionOf(aFrame.call()), true, [self = ref<service_calls>(this), aLink, aFrame](bool aIsExpired) {
      if (aIsExpired) {
        self->Refuse(aLink, aFrame, link::REFUSAL_OVERLOADED, "the call waited until its deadline", std::nullopt);
      } else {
        self->Start(aLink, aFrame);
      }
    });
  if (std::holds_alternative<gate_started>(response)) {
    Start(aLink, aFrame);
  } else if (const auto* error = std::get_if<policy::admission_error>(&response)) {
    Refuse(aLink, aFrame, link::REFUSAL_OVERLOADED, self + "has no room for the call", error->mRetryAfter);
  }
}

void service_calls::Refuse(const ref<link::connection>& aLink,
                           const link::frame& aFrame,
                           link::refusal_reason aReason,
                           const std::string& aMessage,
                           std::optional<duration> aRetryAfter)
{
  link::frame response = ResponseTo(aFrame);
  link::refusal& refusal = *response.mutable_refused();
  refusal.set_reason(aReason);
  refusal.set_outcome(link::OUTCOME_NOT_RUN);
  refusal.set_message(aMessage);
  refusal.set_instance(mInstance.Str());
  if (aRetryAfter) {
    refusal.set_retry_after_ms(
      static_cast<std::uint64_t>(std::chrono::ceil<std::chrono::milliseconds>(*aRetryAfter).count()));
  }
  link::SendFrame(aLink.get(), *mLocalRevision, std::move(response));
}

void service_calls::Start(const ref<link::connection>& aLink, const link::frame& aFrame)
{
  boost::asio::co_spawn(mContext, Run(aLink, aFrame), boost::asio::detached);
}

boost::asio::awaitable<void> service_calls::Run(ref<link::connection> aLink, link::frame aFrame)
{
  const ref<service_calls> self(this);
  const service_outcome outcome = co_await mRunner->Run(aFrame.call(), request_id(aFrame.request()));
  link::frame response = ResponseTo(aFrame);
  if (const auto* reply = std::get_if<link::service_reply>(&outcome)) {
    *response.mutable_reply() = *reply;
  } else {
    *response.mutable_refused() = std::get<link::refusal>(outcome);
  }
  link::SendFrame(aLink.get(), *mLocalRevision, std::move(response));
  mGate->Leave();
}

} // namespace chervilpulley::sidecar
