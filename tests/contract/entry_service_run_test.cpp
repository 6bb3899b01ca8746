#include "entry/service_run.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/strand.hpp>
#include <boost/asio/use_future.hpp>
#include <catch2/catch.hpp>

#include <atomic>
#include <thread>

#include "base/clock.h"

using namespace chervilpulley;

namespace {

/// How a sidecar of the test reacts to a call.
enum class reaction
{
  Reply,
  RepeatRefusalsThenReply, ///< the refusal of the attempt before comes once more, and that of another request
  CloseLink,
  RefuseNotRun,  ///< any other sidecar may accept the call
  RefuseForGood, ///< the platform is down: no sidecar accepts the call
  RefuseAsUnknown
};

/// Three sidecars that share one list of reactions: each call gets the next one, over whichever link it arrives.
struct service_run_fixture
{
  service_run_fixture()
  {
    link::provider_events events;
    events.mOnFrame = [this](const ref<link::provider>& aProvider, link::frame aFrame) {
      mRouter->OnFrame(aProvider, std::move(aFrame));
    };
    events.mOnLost = [this](const ref<link::provider>& aProvider) {
      if (mReportsLoss) {
        mRouter->OnProviderLost(aProvider);
      }
    };
    events.mOnRevision = [](const auto&, const auto&, revision_number) {};
    mLinks = MakeRef<link::provider_links>(mContext, mOptions, link::hello(), mBoard, std::move(events));
    mRouter->SetLinks(mLinks);
    mThread = std::thread([this] { mContext.run(); });
    std::vector<platform::live_instance> listed;
    for (const char* name : { "sidecar-1", "sidecar-2", "sidecar-3" }) {
      listed.push_back(StartSidecar(name));
    }
    mLinks->SetWanted(listed, Now());
    WaitForLinks(listed.size());
  }
  ~service_run_fixture()
  {
    mContext.stop();
    mThread.join();
  }

  platform::live_instance StartSidecar(const std::string& aName)
  {
    auto started = link::server::Start(mContext, { "127.0.0.1", 0 }, mOptions, [this](ref<link::connection> aLink) {
      link::events events;
      events.mOnMessage = [this, aLink](link::connection&, const std::string& aMessage) { React(aLink, aMessage); };
      events.mOnClosed = [](link::connection&) {};
      return events;
    });
    mServers.push_back(started.value());
    platform::live_instance listed;
    listed.mInstance = instance_id(aName);
    listed.mPool = pool_name("services");
    listed.mLink = mServers.back()->LocalEndpoint();
    return listed;
  }

  void WaitForLinks(std::size_t aCount)
  {
    const instant deadline = Now() + std::chrono::seconds(20);
    const auto countUsable = [&] {
      std::size_t count = 0;
      for (const auto& each : mLinks->All()) {
        count += each->Candidate(Now()).mBackendUp ? 1 : 0;
      }
      return count;
    };
    while (countUsable() < aCount && Now() < deadline) {
      std::this_thread::yield();
    }
    REQUIRE(countUsable() == aCount);
  }

  void React(const ref<link::connection>& aLink, const std::string& aMessage)
  {
    link::frame call;
    link::ParseFrame(aMessage, call);
    if (call.has_hello()) {
      link::frame report;
      report.mutable_load()->set_backend_up(true);
      link::SendFrame(aLink.get(), *mBoard, report);
    }
    if (!call.has_call()) {
      return;
    }
    const reaction nextReaction = mReactions.at(mCalls++);
    link::frame response = link::AttemptFrame(request_id(call.request()), link::AttemptOf(call));
    response.mutable_refused()->set_outcome(nextReaction == reaction::RefuseAsUnknown ? link::OUTCOME_UNKNOWN
                                                                                      : link::OUTCOME_NOT_RUN);
    if (nextReaction == reaction::CloseLink) {
      aLink->Close();
      return;
    }
    if (nextReaction == reaction::RepeatRefusalsThenReply) {
      link::SendFrame(aLink.get(), *mBoard, mLastRefusal);
      link::frame other = response;
      other.set_request("r-0");
      link::SendFrame(aLink.get(), *mBoard, other);
    }
    if (nextReaction == reaction::Reply || nextReaction == reaction::RepeatRefusalsThenReply) {
      response.mutable_reply()->set_status(201);
    } else if (nextReaction == reaction::RefuseForGood) {
      response.mutable_refused()->set_reason(link::REFUSAL_PLATFORM_DOWN);
    } else {
      response.mutable_refused()->set_reason(link::REFUSAL_LEAVING);
      mLastRefusal = response;
    }
    link::SendFrame(aLink.get(), *mBoard, response);
  }

  entry::service_result Call(std::vector<reaction> aReactions, bool aIsIdempotent, const std::string& aKey)
  {
    mReactions = std::move(aReactions);
    entry::service_job job;
    job.mRequest = request_id("r-1");
    job.mPool = pool_name("services");
    job.mDeadline = Now() + std::chrono::seconds(10);
    job.mCall.set_route("bookings");
    job.mCall.set_idempotent(aIsIdempotent);
    job.mCall.set_idempotency_key(aKey);
    const auto strand = boost::asio::make_strand(mContext);
    auto mailbox = MakeRef<entry::request_mailbox>(strand);
    mRouter->Register(job.mRequest, mailbox);
    entry::service_run run(*mRouter, mailbox, job);
    std::optional<entry::service_result> callResult;
    auto task = [&]() -> boost::asio::awaitable<void> { callResult.emplace(co_await run.Run()); };
    boost::asio::co_spawn(strand, task, boost::asio::use_future).get();
    return *callResult;
  }

  boost::asio::io_context mContext;
  boost::asio::executor_work_guard<boost::asio::io_context::executor_type> mGuard{ mContext.get_executor() };
  link::link_options mOptions{ "key" };
  ref<link::local_revision> mBoard = MakeRef<link::local_revision>();
  ref<entry::request_router> mRouter = MakeRef<entry::request_router>();
  ref<link::provider_links> mLinks;
  std::vector<ref<link::server>> mServers;
  std::vector<reaction> mReactions;
  link::frame mLastRefusal;
  std::atomic<bool> mReportsLoss{ true };
  std::size_t mCalls = 0;
  std::thread mThread;
};

/// How the sidecars react, and the result that the caller must get.
struct service_row
{
  std::string mName;
  std::vector<reaction> mReactions;
  bool mIsIdempotent;
  std::string mKey;
  unsigned mStatus; ///< status of the reply; 0 for an error
  link::call_outcome mOutcome;
  std::size_t mCalls;
};

std::vector<service_row> ServiceRows()
{
  using enum reaction;
  return {
    { "reply", { Reply }, false, "", 201, link::OUTCOME_UNSPECIFIED, 1 },
    { "refused, then taken", { RefuseNotRun, Reply }, false, "", 201, link::OUTCOME_UNSPECIFIED, 2 },
    { "refused, then earlier refusals once more",
      { RefuseNotRun, RepeatRefusalsThenReply },
      false,
      "",
      201,
      link::OUTCOME_UNSPECIFIED,
      2 },
    { "lost without a key", { CloseLink }, false, "", 0, link::OUTCOME_UNKNOWN, 1 },
    { "lost with a key, then answered", { CloseLink, Reply }, false, "k", 201, link::OUTCOME_UNSPECIFIED, 2 },
    { "lost with a key, then platform down", { CloseLink, RefuseForGood }, false, "k", 0, link::OUTCOME_UNKNOWN, 2 },
    { "platform down", { RefuseForGood }, false, "k", 0, link::OUTCOME_NOT_RUN, 1 },
    { "unknown", { RefuseAsUnknown }, false, "k", 0, link::OUTCOME_UNKNOWN, 1 },
    { "lookup lost, then taken", { CloseLink, Reply }, true, "", 201, link::OUTCOME_UNSPECIFIED, 2 },
    { "lookup unknown, then refused by all",
      { RefuseAsUnknown, RefuseNotRun, RefuseNotRun },
      true,
      "",
      0,
      link::OUTCOME_UNKNOWN,
      3 },
    { "refused by all", { RefuseNotRun, RefuseNotRun, RefuseNotRun }, false, "", 0, link::OUTCOME_NOT_RUN, 3 },
  };
}

} // namespace

TEST_CASE("service_run_faults_of_sidecars_give_the_correct_outcome")
{
  for (const service_row& row : ServiceRows()) {
    service_run_fixture fixture;
    const auto callResult = fixture.Call(row.mReactions, row.mIsIdempotent, row.mKey);
    INFO(row.mName);
    CHECK((callResult.has_value() ? callResult.value().status() : 0) == row.mStatus);
    CHECK((callResult.has_error() ? callResult.error().mOutcome : link::OUTCOME_UNSPECIFIED) == row.mOutcome);
    CHECK(fixture.mCalls == row.mCalls);
  }
}

TEST_CASE_METHOD(service_run_fixture, "service_run_waits_for_a_sidecar_that_is_listed_and_not_linked_yet")
{
  // The call starts before the link to the newly listed sidecar is established.
  mLinks->SetWanted({ StartSidecar("sidecar-4") }, Now());
  const auto callResult = Call({ reaction::Reply }, false, "");
  REQUIRE(callResult);
  CHECK(callResult.value().status() == 201);
}

TEST_CASE_METHOD(service_run_fixture, "service_run_without_any_sidecar_listed_is_refused_at_once")
{
  mLinks->SetWanted({}, Now());
  const instant start = Now();
  const auto callResult = Call({}, false, "");
  REQUIRE(!callResult);
  CHECK(callResult.error().mOutcome == link::OUTCOME_NOT_RUN);
  CHECK(Now() - start < std::chrono::milliseconds(400));
}

TEST_CASE_METHOD(service_run_fixture, "service_run_link_replaced_without_notice_counts_as_lost")
{
  mReportsLoss = false;
  const auto callResult = Call({ reaction::CloseLink, reaction::Reply }, true, "");
  REQUIRE(callResult.has_value());
  REQUIRE(callResult.value().status() == 201);
}
