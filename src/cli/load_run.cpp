#include "cli/load_run.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/json.hpp>
#include <fmt/format.h>

#include <ostream>

#include "base/clock.h"
#include "base/random.h"
#include "cli/load_response.h"
#include "cli/load_stream.h"
#include "net/http_client.h"

namespace chervilpulley::cli {

namespace {

namespace asio = boost::asio;
namespace json = boost::json;

/// Maximum number of times that one call is sent or its stream resumed.
constexpr int kMaxAttempts = 4;
constexpr duration kRetryDelay = std::chrono::milliseconds(200);
constexpr std::size_t kRequestIdBytes = 8;
/// Maximum number of body bytes that are kept in case the response is an error.
constexpr std::size_t kMaxErrorBytes = 64U << 10U;
constexpr unsigned kOk = 200;
constexpr unsigned kFirstRedirect = 300;

/// One load run; runs on the thread that calls Run().
class load_run
{
public:
  load_run(const load_options& aOptions, const load_target& aTarget, load_results& aResults, std::ostream* aProgress)
    : mOptions(aOptions)
    , mTarget(aTarget)
    , mResults(aResults)
    , mProgress(aProgress)
    , mClient(net::http_client::Create(mContext))
  {
  }

  void Run()
  {
    mStart = Now();
    asio::co_spawn(mContext, SendAll(), asio::detached);
    if (mProgress != nullptr) {
      asio::co_spawn(mContext, ShowProgress(), asio::detached);
    }
    mContext.run();
  }

private:
  asio::awaitable<void> Pause(duration aTime)
  {
    asio::steady_timer timer(mContext, aTime);
    co_await timer.async_wait(asio::use_awaitable);
  }

  asio::awaitable<void> SendAll()
  {
    load_plan plan(mOptions);
    while (auto call = plan.Next()) {
      const duration wait = std::chrono::duration_cast<duration>(mStart + call->mAt - Now());
      if (wait.count() > 0) {
        co_await Pause(wait);
      }
      ++mOpen;
      ++mSent;
      asio::co_spawn(mContext, RunCall(std::move(*call)), asio::detached);
    }
    mIsAllSent = true;
  }

  asio::awaitable<void> RunCall(planned_call aCall)
  {
    call_record record;
    record.mKind = aCall.mKind;
    record.mWorkspace = aCall.mWorkspace;
    record.mRequestedTokens = aCall.mMaxTokens;
    // Times are measured from the planned time, so that a delayed send counts as latency.
    const instant start = mStart + aCall.mAt;
    record.mStart = aCall.mAt;
    if (aCall.mKind == call_kind::Stream) {
      co_await SendStream(aCall, record);
    } else if (aCall.mKind == call_kind::Plain) {
      co_await SendPlain(aCall, record);
    } else {
      co_await SendServiceCall(aCall, record);
    }
    record.mTotal = Now() - start;
    mResults.Add(record);
    --mOpen;
  }

  const net::endpoint& EntryOf(const planned_call& aCall, int aAttempt) const
  {
    return mTarget.mEntries[(aCall.mEntry + static_cast<std::size_t>(aAttempt)) % mTarget.mEntries.size()];
  }

  net::http_request RequestOf(const planned_call& aCall, const std::string& aId) const
  {
    net::http_request request;
    request.mMethod = aCall.mKind == call_kind::Lookup ? "GET" : "POST";
    request.mHeaders.Set("Authorization", "Bearer " + mTarget.mKeys[aCall.mWorkspace]);
    request.mHeaders.Set("X-Request-Id", aId);
    const auto deadline = std::chrono::duration_cast<std::chrono::milliseconds>(mTarget.mTimeout);
    request.mHeaders.Set("X-Deadline-Ms", std::to_string(deadline.count()));
    if (request.mMethod == "POST") {
      request.mHeaders.Set("Content-Type", "application/json");
    }
    return request;
  }

  net::http_request CompletionRequest(const planned_call& aCall, const std::string& aId) const
  {
    net::http_request request = RequestOf(aCall, aId);
    request.mTarget = "/v1/completions";
    json::object body;
    body["model"] = mTarget.mModel;
    body["prompt"] = aCall.mPrompt;
    body["max_tokens"] = aCall.mMaxTokens;
    body["stream"] = aCall.mKind == call_kind::Stream;
    request.mBody = json::serialize(body);
    return request;
  }

  asio::awaitable<void> SendStream(const planned_call& aCall, call_record& aRecord)
  {
    const std::string id = RandomHex(kRequestIdBytes);
    stream_checker checker(id, aCall.mMaxTokens);
    const instant start = mStart + aCall.mAt;
    instant lastTokenAt = start;
    for (int attempt = 0; attempt < kMaxAttempts; ++attempt) {
      net::http_request request = CompletionRequest(aCall, id);
      if (!checker.LastEventId().empty()) {
        request.mHeaders.Set("Last-Event-ID", checker.LastEventId());
      }
      sse_reader reader;
      std::string raw;
      const auto handle = [&](const sse_event& aEvent) {
        if (!checker.Handle(aEvent)) {
          return;
        }
        const instant now = Now();
        if (checker.Tokens() == 1) {
          aRecord.mFirstToken = now - start;
        } else {
          mResults.AddGap(now - lastTokenAt);
        }
        lastTokenAt = now;
      };
      net::body_sink sink = [&](std::string_view aPiece) {
        raw += aPiece.substr(0, kMaxErrorBytes - std::min(kMaxErrorBytes, raw.size()));
        reader.Handle(aPiece, handle);
        return true;
      };
      const auto reply =
        co_await mClient->Stream(EntryOf(aCall, attempt), std::move(request), mTarget.mTimeout, std::move(sink));
      if (reply.has_value() && reply.value().mStatus != kOk) {
        aRecord.mOutcome = checker.Tokens() > 0 ? call_outcome::Incomplete : OutcomeOfError(raw);
        break;
      }
      if (checker.IsDone() || !checker.Error().empty()) {
        aRecord.mOutcome = checker.IsComplete() ? call_outcome::Complete : call_outcome::Incomplete;
        break;
      }
      // The connection broke: resume the stream, or retry the request, at the next entry.
      aRecord.mOutcome = checker.Tokens() > 0 ? call_outcome::Incomplete : call_outcome::Lost;
      co_await CountBrokenConnection(checker.Tokens() > 0);
    }
    RecordStream(aCall, checker, aRecord);
  }

  asio::awaitable<void> CountBrokenConnection(bool aIsResumable)
  {
    if (aIsResumable) {
      mResults.AddResumed();
    } else {
      mResults.AddRetried();
    }
    co_await Pause(kRetryDelay);
  }

  void RecordStream(const planned_call& aCall, const stream_checker& aChecker, call_record& aRecord)
  {
    aRecord.mTokens = aChecker.Tokens();
    if (aChecker.Duplicates() > 0) {
      mResults.AddDuplicates(aChecker.Duplicates(), fmt::format("{} tokens came twice", aChecker.Duplicates()));
    }
    if (!aChecker.Mismatch().empty()) {
      mResults.AddMismatch(aChecker.Mismatch());
    }
    if (aRecord.mOutcome == call_outcome::Incomplete) {
      mResults.AddExample(
        fmt::format("a stream ended after {} tokens: {}",
                    aChecker.Tokens(),
                    aChecker.Error().empty() ? "no [DONE], or tokens are missing" : aChecker.Error()));
    }
    mResults.AddOutput(aCall.mPrompt, aChecker.Text());
  }

  /// Sends a request whose response is not streamed; retries it at the next entry when the connection breaks. Only for
  /// calls that may be retried: completions, lookups, and bookings with a key.
  asio::awaitable<std::optional<net::http_reply>> Fetch(const planned_call& aCall, net::http_request aRequest)
  {
    for (int attempt = 0; attempt < kMaxAttempts; ++attempt) {
      net::http_request request = aRequest;
      const auto reply = co_await mClient->Fetch(EntryOf(aCall, attempt), std::move(request), mTarget.mTimeout);
      if (reply.has_value()) {
        co_return reply.value();
      }
      if (reply.error().mCode == net::net_errc::Timeout) {
        mResults.AddExample("a call was not answered in time");
        break;
      }
      co_await CountBrokenConnection(false);
    }
    co_return std::nullopt;
  }

  void CheckRequestId(const net::http_reply& aReply, const std::string& aId)
  {
    if (aReply.mHeaders.Has("X-Request-Id") && aReply.mHeaders.Get("X-Request-Id") != aId) {
      mResults.AddMismatch(
        fmt::format("request \"{}\" got the answer of \"{}\"", aId, aReply.mHeaders.Get("X-Request-Id")));
    }
  }

  asio::awaitable<void> SendPlain(const planned_call& aCall, call_record& aRecord)
  {
    const std::string id = RandomHex(kRequestIdBytes);
    net::http_request request = CompletionRequest(aCall, id);
    const auto reply = co_await Fetch(aCall, std::move(request));
    if (!reply) {
      aRecord.mOutcome = call_outcome::Lost;
      co_return;
    }
    if (reply->mStatus != kOk) {
      aRecord.mOutcome = OutcomeOfError(reply->mBody);
      co_return;
    }
    CheckRequestId(*reply, id);
    CheckCompletion(aCall, id, reply->mBody, aRecord);
  }

  void CheckCompletion(const planned_call& aCall,
                       const std::string& aId,
                       const std::string& aBody,
                       call_record& aRecord)
  {
    const auto completion = ParseCompletion(aBody);
    if (!completion) {
      aRecord.mOutcome = call_outcome::Incomplete;
      mResults.AddExample("a whole answer is not what the interface says");
      return;
    }
    aRecord.mTokens = completion->mTokens;
    const bool hasAllTokens = completion->mFinishReason == "length" ? completion->mTokens == aCall.mMaxTokens
                                                                    : completion->mTokens <= aCall.mMaxTokens;
    aRecord.mOutcome = hasAllTokens ? call_outcome::Complete : call_outcome::Incomplete;
    if (!hasAllTokens) {
      mResults.AddExample(fmt::format("an answer has {} tokens of {}", completion->mTokens, aCall.mMaxTokens));
    }
    if (completion->mId != aId) {
      mResults.AddMismatch(fmt::format("request \"{}\" got the answer of \"{}\"", aId, completion->mId));
    }
    mResults.AddOutput(aCall.mPrompt, completion->mText);
  }

  asio::awaitable<void> SendServiceCall(const planned_call& aCall, call_record& aRecord)
  {
    const std::string id = RandomHex(kRequestIdBytes);
    net::http_request request = RequestOf(aCall, id);
    const bool isBooking = aCall.mKind == call_kind::Booking;
    request.mTarget = isBooking ? mTarget.mBookingPath : mTarget.mLookupPath;
    if (isBooking) {
      request.mHeaders.Set("Idempotency-Key", aCall.mKey);
      request.mBody = json::serialize(json::object{ { "booking", aCall.mKey } });
    }
    const auto reply = co_await Fetch(aCall, std::move(request));
    if (!reply) {
      aRecord.mOutcome = call_outcome::Lost;
      co_return;
    }
    CheckRequestId(*reply, id);
    const bool isSuccess = reply->mStatus >= kOk && reply->mStatus < kFirstRedirect;
    aRecord.mOutcome = isSuccess ? call_outcome::Complete : OutcomeOfError(reply->mBody);
    if (isSuccess && isBooking) {
      mResults.AddBooking(aCall.mKey, reply->mBody);
    }
  }

  asio::awaitable<void> ShowProgress()
  {
    constexpr duration kInterval = std::chrono::seconds(1);
    while (!mIsAllSent || mOpen > 0) {
      co_await Pause(kInterval);
      const auto passed = std::chrono::duration_cast<std::chrono::seconds>(Now() - mStart);
      *mProgress << fmt::format(
                      "load: {} s, sent {}, open {}, whole {}, not run {}, unknown {}, failed {}, broken {}\n",
                      passed.count(),
                      mSent,
                      mOpen,
                      mResults.Count(call_outcome::Complete),
                      mResults.Count(call_outcome::NotRun),
                      mResults.Count(call_outcome::Unknown),
                      mResults.Count(call_outcome::Failed),
                      mResults.Violations().Total())
                 << std::flush;
    }
  }

  const load_options& mOptions;
  const load_target& mTarget;
  load_results& mResults;
  std::ostream* mProgress;
  asio::io_context mContext{ 1 };
  ref<net::http_client> mClient;
  instant mStart{};
  std::uint64_t mSent = 0;
  std::uint64_t mOpen = 0;
  bool mIsAllSent = false;
};

} // namespace

void RunLoad(const load_options& aOptions, const load_target& aTarget, load_results& aResults, std::ostream* aProgress)
{
  load_run(aOptions, aTarget, aResults, aProgress).Run();
}

} // namespace chervilpulley::cli
