#include "sidecar/pipeline_stage.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include <algorithm>

#include "base/clock.h"
#include "base/random.h"

namespace chervilpulley::sidecar {

namespace {

constexpr duration kCancelTimeout = std::chrono::seconds(2);
constexpr std::uint32_t kStallSteps = 10;

} // namespace

pipeline_stage::pipeline_stage(boost::asio::io_context& aContext,
                               stage_options aOptions,
                               ref<engine::engine_client> aEngine,
                               ref<backend_monitor> aMonitor,
                               ref<admission_gate> aGate,
                               std::function<ref<const config::config_view>()> aView,
                               ref<link::local_revision> aLocalRevision)
  : mContext(aContext)
  , mOptions(std::move(aOptions))
  , mEngine(std::move(aEngine))
  , mMonitor(std::move(aMonitor))
  , mLocalRevision(std::move(aLocalRevision))
  , mGate(std::move(aGate))
  , mView(std::move(aView))
{
}

void pipeline_stage::OnRequestFrame(const ref<link::connection>& aFrom, const link::frame& aFrame)
{
  const request_id request(aFrame.request());
  ref<stage_stream> stream;
  if (aFrame.has_open()) {
    stream = mStreams.WithShard(request, [&](auto& aStreams) {
      auto& slot = aStreams[request];
      if (!slot) {
        slot = MakeRef<stage_stream>(*this, request);
      }
      return slot;
    });
  } else {
    stream = mStreams.Find(request).value_or(nullptr);
  }
  if (aFrame.has_resume()) {
    link::frame response = link::AttemptFrame(request, link::AttemptOf(aFrame));
    response.mutable_state();
    if (stream) {
      *response.mutable_state() =
        stream->State(aFrame.resume().workspace(), token_position(aFrame.resume().next_position()));
    }
    link::SendFrame(aFrom.get(), *mLocalRevision, std::move(response));
    return;
  }
  if (!stream) {
    if (aFrame.has_activation()) {
      link::frame lost = link::AttemptLostFrame(link::AttemptFrame(request, link::AttemptOf(aFrame)),
                                                mOptions.mInstance.Str(),
                                                "the request is not known at this stage");
      link::SendFrame(aFrom.get(), *mLocalRevision, std::move(lost));
    }
    return;
  }
  const policy::attempt_key attempt = link::AttemptOf(aFrame);
  if (aFrame.has_open()) {
    stream->OnOpen(aFrom, attempt, aFrame.open());
  } else if (aFrame.has_activation()) {
    stream->OnActivation(aFrom, attempt, aFrame.activation());
  } else if (aFrame.has_delivered()) {
    stream->OnDelivered(attempt, token_position(aFrame.delivered().next_position()));
  } else if (aFrame.has_cancel()) {
    stream->OnCancel(attempt);
  }
}

void pipeline_stage::OnUpstreamLost(const link::connection& aFrom)
{
  for (const auto& stream : mStreams.Values()) {
    stream->OnUpstreamLost(aFrom);
  }
}

void pipeline_stage::OnSuccessorFrame(const ref<link::provider>& aSuccessor, const link::frame& aFrame)
{
  if (auto stream = mStreams.Find(request_id(aFrame.request()))) {
    (*stream)->OnSuccessorFrame(aSuccessor, aFrame);
  }
}

void pipeline_stage::OnSuccessorLost(const ref<link::provider>& aSuccessor)
{
  for (const auto& stream : mStreams.Values()) {
    stream->OnSuccessorLost(aSuccessor);
  }
}

void pipeline_stage::OnTick(instant aNow)
{
  for (const auto& stream : mStreams.Values()) {
    stream->OnTick(aNow);
    if (stream->IsDiscardable(aNow)) {
      mStreams.Erase(stream->Request());
    }
  }
}

gate_response pipeline_stage::Enter(const ref<stage_stream>& aStream, const link::open_attempt& aOpen)
{
  policy::admission_request request;
  request.mWorkspace = workspace_id(aOpen.workspace());
  const admin::workspace* workspace = mView()->FindWorkspace(request.mWorkspace);
  request.mWeight = workspace != nullptr && workspace->weight() > 0 ? workspace->weight() : 1.0;
  request.mPromptTokens = token_count(aOpen.prompt_tokens());
  request.mOutputTokens = token_count(aOpen.max_tokens());
  request.mPriority = aOpen.priority();
  if (const auto state = Engine()) {
    request.mFirstTokenAfterStart = state->mPrefillTimePerToken * aOpen.prompt_tokens() + state->mStepTime;
  }
  if (aOpen.deadline_ms() > 0) {
    request.mFirstTokenDeadline = Now() + std::chrono::milliseconds(aOpen.deadline_ms());
  }
  // Only the first stage queues requests; if another one is full, the preceding stage chooses another sidecar.
  const bool mayWait = aOpen.first_layer() == 0;
  return mGate->Enter(request, mayWait, [aStream](bool aIsExpired) { aStream->OnAdmitted(aIsExpired); });
}

policy::start_verdict pipeline_stage::CheckSuspect(const link::open_attempt& aOpen)
{
  std::lock_guard lock(mSuspectMutex);
  return mSuspects.Check(request_digest(aOpen.digest()), aOpen.suspect(), Now());
}

void pipeline_stage::Started(request_digest aDigest)
{
  std::lock_guard lock(mSuspectMutex);
  mSuspects.Started(aDigest, Now());
}

void pipeline_stage::Finished(request_digest aDigest, bool aIsComplete)
{
  std::lock_guard lock(mSuspectMutex);
  mSuspects.Finished(aDigest, aIsComplete);
}

void pipeline_stage::EngineFailed()
{
  mMonitor->MarkDown();
  std::lock_guard lock(mSuspectMutex);
  mSuspects.BackendCrashed(Now());
}

std::vector<policy::route_candidate> pipeline_stage::SuccessorCandidates(
  const std::vector<ref<link::provider>>& aProviders,
  const link::open_attempt& aOpen,
  const std::set<std::string>& aExcluded) const
{
  const instant now = Now();
  std::vector<policy::route_candidate> candidates;
  for (const auto& successor : aProviders) {
    policy::route_candidate candidate = successor->Candidate(now);
    const std::string& name = successor->Instance().Str();
    const bool isAvoided = std::count(aOpen.avoid().begin(), aOpen.avoid().end(), name) > 0;
    const bool isOtherModel = successor->Report().model() != aOpen.model();
    candidate.mAvoid = isAvoided || isOtherModel || aExcluded.contains(name);
    candidate.mPreferred = std::count(aOpen.prefer().begin(), aOpen.prefer().end(), name) > 0;
    candidates.push_back(std::move(candidate));
  }
  return candidates;
}

ref<link::provider> pipeline_stage::ChooseSuccessor(const link::open_attempt& aOpen,
                                                    const std::set<std::string>& aExcluded)
{
  const auto providers = mSuccessors->OfPool(mOptions.mPool);
  const auto candidates = SuccessorCandidates(providers, aOpen, aExcluded);
  const policy::route_request request{ layer_index(aOpen.first_layer()),
                                       token_count(aOpen.prompt_tokens()),
                                       static_cast<double>(aOpen.max_tokens()) };
  const auto chosen = policy::ChooseRoute(candidates, request, { RandomNumber(), RandomNumber() });
  return chosen ? providers[*chosen] : nullptr;
}

void pipeline_stage::StartRun(ref<stage_stream> aStream, engine::run_request aRequest)
{
  boost::asio::co_spawn(
    mContext,
    [self = ref<pipeline_stage>(this), aStream, aRequest = std::move(aRequest)]() -> boost::asio::awaitable<void> {
      co_await self->RunAtEngine(aStream, aRequest);
    },
    boost::asio::detached);
}

boost::asio::awaitable<void> pipeline_stage::RunAtEngine(ref<stage_stream> aStream, engine::run_request aRequest)
{
  const auto reply = co_await mEngine->Run(aRequest, mOptions.mEngineTimeout);
  aStream->OnRunDone(aRequest, reply);
}

void pipeline_stage::CancelAtEngine(const request_id& aRequest)
{
  boost::asio::co_spawn(
    mContext,
    [self = ref<pipeline_stage>(this), aRequest]() -> boost::asio::awaitable<void> {
      co_await self->mEngine->Cancel(aRequest, kCancelTimeout);
    },
    boost::asio::detached);
}

duration pipeline_stage::StallAllowance(bool aIsPrefill, std::uint32_t aPromptTokens) const
{
  const auto state = Engine();
  if (!state) {
    return mOptions.mStallFloor;
  }
  const duration prefill = aIsPrefill ? state->mPrefillTimePerToken * aPromptTokens : duration(0);
  return mOptions.mStallFloor + kStallSteps * state->mStepTime + 2 * prefill;
}

void pipeline_stage::FillReport(link::load_report& aReport) const
{
  const auto state = Engine();
  if (!state) {
    return;
  }
  aReport.set_model(state->mModel.Str());
  aReport.set_first_layer(state->mFirstLayer);
  aReport.set_last_layer(state->mLastLayer);
  aReport.set_queued(aReport.queued() + state->mQueued);
  aReport.set_step_us(static_cast<std::uint32_t>(state->mStepTime.count()));
  aReport.set_prefill_us_per_token(static_cast<std::uint32_t>(state->mPrefillTimePerToken.count()));
  aReport.set_accelerator(state->mAccelerator);
  aReport.set_age_us(static_cast<std::uint64_t>(mMonitor->Age().count()));
  std::vector<policy::route_candidate> successors;
  for (const auto& successor : mSuccessors->OfPool(mOptions.mPool)) {
    policy::route_candidate candidate = successor->Candidate(Now());
    candidate.mAvoid = successor->Report().model() != state->mModel.Str();
    successors.push_back(std::move(candidate));
  }
  const policy::stage_load own{ layer_index(state->mLastLayer),
                                state->mLayerCount,
                                aReport.queued(),
                                aReport.running(),
                                aReport.slots(),
                                state->mStepTime };
  if (const auto cost = policy::CostToGo(own, successors)) {
    aReport.set_cost_to_go_us(static_cast<std::uint32_t>(cost->count()));
  }
}

} // namespace chervilpulley::sidecar
