#include "cli/load_run.h"

#include <boost/asio/io_context.hpp>
#include <boost/json.hpp>
#include <catch2/catch.hpp>

#include <map>
#include <thread>

#include "net/http_server.h"

using namespace chervilpulley;
using namespace chervilpulley::cli;

namespace {

namespace asio = boost::asio;
namespace json = boost::json;

/// Faults that the entry of this test can be made to have.
enum class entry_fault
{
  None,
  DropToken,
  DoubleToken,
  OtherRequest,
  NoDone,
  ErrorEvent,
  CloseOnce,
  CloseAlways,
  TwoBookings,
  Refuse
};

std::string Chunk(const std::string& aId, std::uint64_t aPosition, std::uint64_t aCount)
{
  json::object choice{ { "index", 0 }, { "text", "t" + std::to_string(aPosition) } };
  choice["finish_reason"] = aPosition + 1 == aCount ? json::value("length") : json::value(nullptr);
  const json::object chunk{ { "id", aId }, { "choices", json::array{ choice } } };
  return "id: r~" + std::to_string(aPosition + 1) + "~s1~w~0\ndata: " + json::serialize(chunk) + "\n\n";
}

/// An entry that responds according to the API except for one fault.
class faulty_entry
{
public:
  explicit faulty_entry(entry_fault aFault)
    : mFault(aFault)
  {
    const auto handler = [this](net::http_exchange& aExchange) { return Respond(aExchange); };
    mServer = net::http_server::Start(mContext, { "127.0.0.1", 0 }, handler, {}).value();
    mThread = std::thread([this] { mContext.run(); });
  }
  faulty_entry(const faulty_entry&) = delete;
  faulty_entry& operator=(const faulty_entry&) = delete;
  ~faulty_entry()
  {
    mServer->StopAccepting();
    mThread.join();
  }
  net::endpoint Endpoint() const { return mServer->LocalEndpoint(); }

private:
  asio::awaitable<void> Respond(net::http_exchange& aExchange)
  {
    const bool isClosingEarly = mFault == entry_fault::CloseAlways || (mFault == entry_fault::CloseOnce && !mHasClosed);
    mHasClosed = true;
    if (mFault == entry_fault::Refuse) {
      net::http_reply refusal = net::JsonReply(503, "{\"error\":{\"message\":\"busy\",\"outcome\":\"not_run\"}}");
      co_await aExchange.Reply(std::move(refusal));
    } else if (aExchange.Request().mTarget != "/v1/completions") {
      co_await RespondService(aExchange, isClosingEarly);
    } else {
      co_await RespondCompletion(aExchange, isClosingEarly);
    }
  }

  asio::awaitable<void> RespondService(net::http_exchange& aExchange, bool aIsClosingEarly)
  {
    if (aIsClosingEarly) {
      co_return;
    }
    const std::string key(aExchange.Request().mHeaders.Get("Idempotency-Key"));
    const bool isSecond = ++mCallsByKey[key] > 1 && mFault == entry_fault::TwoBookings;
    net::http_reply reply = net::JsonReply(201, isSecond ? "second" : "first");
    reply.mHeaders.Set("X-Request-Id", aExchange.Request().mHeaders.Get("X-Request-Id"));
    co_await aExchange.Reply(std::move(reply));
  }

  asio::awaitable<void> RespondCompletion(net::http_exchange& aExchange, bool aIsClosingEarly)
  {
    const json::value body = json::parse(aExchange.Request().mBody);
    const auto count = json::value_to<std::uint64_t>(body.at("max_tokens"));
    const std::string requestId(aExchange.Request().mHeaders.Get("X-Request-Id"));
    const std::string id = mFault == entry_fault::OtherRequest ? "another" : requestId;
    if (body.at("stream").as_bool()) {
      co_await Stream(aExchange, id, count, aIsClosingEarly);
      co_return;
    }
    if (aIsClosingEarly) {
      co_return;
    }
    const auto tokenCount = mFault == entry_fault::DropToken ? count - 1 : count;
    const json::object choice{ { "text", "" }, { "finish_reason", "length" } };
    const json::object usage{ { "completion_tokens", tokenCount } };
    const json::object response{ { "id", id }, { "choices", json::array{ choice } }, { "usage", usage } };
    net::http_reply reply = net::JsonReply(200, json::serialize(response));
    co_await aExchange.Reply(std::move(reply));
  }

  asio::awaitable<void> Stream(net::http_exchange& aExchange,
                               std::string aId,
                               std::uint64_t aCount,
                               bool aIsClosingEarly)
  {
    net::http_reply head;
    head.mHeaders.Set("Content-Type", "text/event-stream");
    co_await aExchange.Begin(std::move(head));
    const std::string last(aExchange.Request().mHeaders.Get("Last-Event-ID"));
    const std::uint64_t first = last.empty() ? 0 : std::stoull(last.substr(2));
    for (std::uint64_t position = first; position < aCount; ++position) {
      const bool isSecond = position == 1;
      if (isSecond && (aIsClosingEarly || mFault == entry_fault::ErrorEvent)) {
        break;
      }
      if (isSecond && mFault == entry_fault::DropToken) {
        continue;
      }
      std::string piece = Chunk(aId, position, aCount);
      if (isSecond && mFault == entry_fault::DoubleToken) {
        piece += piece;
      }
      co_await aExchange.Write(std::move(piece));
    }
    if (aIsClosingEarly) {
      co_return;
    }
    std::string tail = "data: [DONE]\n\n";
    if (mFault == entry_fault::ErrorEvent) {
      tail = "data: {\"error\":{\"message\":\"a stage is gone\",\"outcome\":\"failed\"}}\n\n";
    }
    if (mFault != entry_fault::NoDone) {
      co_await aExchange.Write(std::move(tail));
    }
    co_await aExchange.End();
  }

  const entry_fault mFault;
  bool mHasClosed = false;
  std::map<std::string, int> mCallsByKey;
  asio::io_context mContext{ 1 };
  ref<net::http_server> mServer;
  std::thread mThread;
};

/// A fault of the entry and the violations that the load tool reports for it.
struct load_case
{
  std::string mName;
  entry_fault mFault;
  call_mix mMix;
  bool mIsLost;
  bool mIsDuplicated;
  bool mIsMismatched;
  bool mIsIncomplete;
};

constexpr call_mix kStreams{ 1, 0, 0, 0 };
constexpr call_mix kPlain{ 0, 1, 0, 0 };
constexpr call_mix kBookings{ 0, 0, 1, 0 };
constexpr call_mix kAllKinds{ 1, 1, 1, 1 };

struct load_fixture
{
  load_results Run(entry_fault aFault, const call_mix& aMix)
  {
    const faulty_entry entry(aFault);
    load_options options;
    options.mRate = 100;
    options.mLength = std::chrono::milliseconds(200);
    options.mMix = aMix;
    options.mMaxTokens = 6;
    options.mRetryShare = 1;
    load_target target;
    target.mEntries = { entry.Endpoint() };
    target.mKeys = { "a.s" };
    target.mBookingPath = "/services/bookings/reserve";
    target.mLookupPath = "/services/stock/rope";
    target.mTimeout = std::chrono::seconds(5);
    load_results results(true);
    RunLoad(options, target, results, nullptr);
    return results;
  }
};

} // namespace

TEST_CASE_METHOD(load_fixture, "load_against_each_fault_counts_the_violation")
{
  const std::vector<load_case> cases{
    { "none", entry_fault::None, kAllKinds, false, false, false, false },
    { "refusals", entry_fault::Refuse, kAllKinds, false, false, false, false },
    { "stream without a token", entry_fault::DropToken, kStreams, false, false, true, true },
    { "plain response that is short", entry_fault::DropToken, kPlain, false, false, false, true },
    { "stream with a token twice", entry_fault::DoubleToken, kStreams, false, true, false, false },
    { "stream of another request", entry_fault::OtherRequest, kStreams, false, false, true, false },
    { "plain response of another request", entry_fault::OtherRequest, kPlain, false, false, true, false },
    { "stream without [DONE]", entry_fault::NoDone, kStreams, false, false, false, true },
    { "stream that ends with an error", entry_fault::ErrorEvent, kStreams, false, false, false, true },
    { "stream that breaks once", entry_fault::CloseOnce, kStreams, false, false, false, false },
    { "plain call that breaks once", entry_fault::CloseOnce, kPlain, false, false, false, false },
    { "plain call that breaks always", entry_fault::CloseAlways, kPlain, true, false, false, false },
    { "booking that breaks always", entry_fault::CloseAlways, kBookings, true, false, false, false },
    { "booking with two results", entry_fault::TwoBookings, kBookings, false, true, false, false },
  };
  for (const load_case& each : cases) {
    INFO(each.mName);
    const load_results results = Run(each.mFault, each.mMix);
    CHECK(results.Records().size() > 5);
    CHECK((results.Violations().mLost > 0) == each.mIsLost);
    CHECK((results.Violations().mDuplicates > 0) == each.mIsDuplicated);
    CHECK((results.Violations().mMismatches > 0) == each.mIsMismatched);
    CHECK((results.Violations().mIncomplete > 0) == each.mIsIncomplete);
  }
}

TEST_CASE_METHOD(load_fixture, "load_against_refusals_counts_them_as_not_run")
{
  const load_results results = Run(entry_fault::Refuse, kAllKinds);
  REQUIRE(results.Count(call_outcome::NotRun) == results.Records().size());
}

TEST_CASE_METHOD(load_fixture, "load_broken_stream_is_resumed_and_complete")
{
  const load_results results = Run(entry_fault::CloseOnce, kStreams);
  REQUIRE(results.Resumed() == 1);
  REQUIRE(results.Count(call_outcome::Complete) == results.Records().size());
}
