#include "sidecar/stage_stream.h"

#include <catch2/catch.hpp>

#include "support/recording_link.h"

using namespace chervilpulley;
using namespace chervilpulley::sidecar;

namespace {

/// A host whose engine has loaded layers 0 to 7 and has free slots.
class fake_host : public stage_host
{
public:
  const instance_id& Instance() const override { return mInstance; }
  const link::local_revision& LocalRevision() const override { return *mLocalRevision; }
  bool IsLeaving() const override { return mIsLeaving; }
  std::optional<engine::engine_state> Engine() const override
  {
    engine::engine_state state;
    state.mModel = model_name("demo");
    state.mLayerCount = 8;
    state.mLastLayer = 7;
    return state;
  }
  gate_response Enter(const ref<stage_stream>&, const link::open_attempt&) override
  {
    ++mEntered;
    return gate_started{};
  }
  void ReleaseSlot() override {}
  bool CancelWaiting(policy::admission_ticket) override { return false; }
  policy::start_verdict CheckSuspect(const link::open_attempt&) override { return policy::start_verdict::Start; }
  void Started(request_digest) override {}
  void Finished(request_digest, bool) override {}
  ref<link::provider> ChooseSuccessor(const link::open_attempt&, const std::set<std::string>&) override { return {}; }
  void Probe(const ref<link::provider>&) override {}
  void StartRun(ref<stage_stream>, engine::run_request) override {}
  void CancelAtEngine(const request_id&) override {}
  void EngineFailed() override {}
  duration StallAllowance(bool, std::uint32_t) const override { return std::chrono::seconds(10); }
  duration StreamGrace() const override { return std::chrono::seconds(10); }
  duration StallFloor() const override { return std::chrono::seconds(10); }

  instance_id mInstance{ "sidecar-1" };
  ref<link::local_revision> mLocalRevision = MakeRef<link::local_revision>();
  bool mIsLeaving = false;
  std::size_t mEntered = 0;
};

struct stage_stream_fixture
{
  void Open(std::uint64_t aAttempt)
  {
    link::open_attempt open;
    open.set_model("demo");
    open.set_layer_count(8);
    mStream->OnOpen(mLink, { attempt_number(aAttempt) }, open);
  }

  fake_host mHost;
  ref<test::recording_link> mLink = MakeRef<test::recording_link>();
  ref<stage_stream> mStream = MakeRef<stage_stream>(mHost, request_id("r1"));
};

} // namespace

TEST_CASE_METHOD(stage_stream_fixture, "stage_stream_at_a_sidecar_that_is_leaving_is_refused_as_not_run")
{
  mHost.mIsLeaving = true;
  Open(1);
  REQUIRE(mLink->mFrames.size() == 1);
  const link::frame& refused = mLink->mFrames.front();
  REQUIRE(refused.has_refused());
  CHECK(refused.refused().reason() == link::REFUSAL_LEAVING);
  CHECK(refused.refused().outcome() == link::OUTCOME_NOT_RUN);
  CHECK(mHost.mEntered == 0);
}

TEST_CASE_METHOD(stage_stream_fixture, "stage_stream_at_a_sidecar_that_is_leaving_continues_with_its_next_attempt")
{
  Open(1);
  CHECK(mHost.mEntered == 1);
  mHost.mIsLeaving = true;
  Open(2);
  for (const link::frame& frame : mLink->mFrames) {
    CHECK_FALSE(frame.has_refused());
  }
}
