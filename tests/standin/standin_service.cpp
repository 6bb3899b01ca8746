#include "standin_service.h"

#include <boost/json/object.hpp>

#include <charconv>
#include <unistd.h>

#include "base/random.h"
#include "json_body.h"

namespace chervilpulley::standin {

namespace asio = boost::asio;

namespace {

constexpr std::uint64_t kStock = 42;
constexpr int kCrashStatus = 70;
constexpr duration kStallPoll = std::chrono::seconds(3600);

/// The time in milliseconds that the query asks the service to take; 0 by default.
duration RequestedDelay(const net::http_request& aRequest)
{
  const std::string text = net::QueryValue(aRequest.mTarget, "ms").value_or("0");
  std::uint64_t ms = 0;
  std::from_chars(text.data(), text.data() + text.size(), ms);
  return std::chrono::milliseconds(ms);
}

} // namespace

service::service(const std::string& aRecordsFile)
  : mLog(aRecordsFile)
{
}

asio::awaitable<void> service::Handle(net::http_exchange& aExchange)
{
  const net::http_request& request = aExchange.Request();
  const std::string_view path = net::PathOf(request.mTarget);
  if (path == "/records") {
    co_await aExchange.Reply(LinesReply(mLog.Text()));
  } else if (path == "/control") {
    co_await aExchange.Reply(Control(request));
  } else if (path == "/healthz" || request.mMethod == "OPTIONS") {
    co_await aExchange.Reply(ObjectReply(200, {}));
  } else {
    net::http_reply reply = co_await Run(request);
    co_await aExchange.Reply(std::move(reply));
  }
}

asio::awaitable<net::http_reply> service::Run(const net::http_request& aRequest)
{
  const std::string path(net::PathOf(aRequest.mTarget));
  mLog.Append({ { "key", aRequest.mHeaders.Get("Idempotency-Key") },
                { "path", path },
                { "body_sha256", Sha256Hex(aRequest.mBody) },
                { "method", aRequest.mMethod },
                { "request", aRequest.mHeaders.Get("X-Request-Id") } });
  if (path == "/crash") {
    _exit(kCrashStatus);
  }
  while (mStalled) {
    co_await mChanged.WaitUntil(Now() + kStallPoll);
  }
  co_await SleepFor(mDelay);
  if (path == "/reserve" && aRequest.mMethod == "POST") {
    const std::string name = "R-" + std::to_string(getpid()) + "-" + std::to_string(++mReservations);
    co_return ObjectReply(201, { { "reservation", name } });
  }
  if (path == "/rope" && aRequest.mMethod == "GET") {
    co_return ObjectReply(200, { { "stock", kStock } });
  }
  if (path == "/slow") {
    co_await SleepFor(RequestedDelay(aRequest));
    co_return ObjectReply(200, { { "slept", true } });
  }
  if (path == "/echo") {
    co_return ObjectReply(
      200, { { "method", aRequest.mMethod }, { "target", aRequest.mTarget }, { "body", aRequest.mBody } });
  }
  if (path == "/fail") {
    co_return ErrorReply(500, "the service failed as it was asked to");
  }
  co_return ErrorReply(404, "no such path: " + path);
}

net::http_reply service::Control(const net::http_request& aRequest)
{
  json_body body(aRequest.mBody);
  const bool stalled = body.Flag("stall", mStalled);
  const std::uint64_t delayMs =
    body.Number("slow_ms", std::chrono::duration_cast<std::chrono::milliseconds>(mDelay).count());
  if (!body.Error().empty()) {
    return ErrorReply(400, body.Error());
  }
  mStalled = stalled;
  mDelay = std::chrono::milliseconds(delayMs);
  mChanged.NotifyAll();
  return ObjectReply(200, {});
}

} // namespace chervilpulley::standin
