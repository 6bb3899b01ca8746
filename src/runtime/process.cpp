#include "runtime/process.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/json.hpp>

#include <unistd.h>

#include <csignal>
#include <cstdio>
#include <thread>

#include "base/log.h"

namespace chervilpulley::runtime {

namespace {

constexpr part_log kLog("process");

boost::asio::awaitable<void> RepeatEvery(boost::asio::io_context& aContext,
                                         duration aInterval,
                                         std::function<void()> aFunction)
{
  boost::asio::steady_timer timer(aContext);
  while (true) {
    timer.expires_after(aInterval);
    co_await timer.async_wait(boost::asio::use_awaitable);
    aFunction();
  }
}

boost::asio::awaitable<void> WaitForSignals(boost::asio::io_context& aContext, std::function<void()> aOnLeave)
{
  boost::asio::signal_set signals(aContext, SIGTERM, SIGINT, SIGHUP);
  bool isLeaving = false;
  while (true) {
    const int number = co_await signals.async_wait(boost::asio::use_awaitable);
    if (number == SIGHUP) {
      kLog.Info("Received SIGHUP; changed settings take effect at the next start.");
      continue;
    }
    kLog.Info("Received signal {}.", number);
    if (!std::exchange(isLeaving, true)) {
      aOnLeave();
    }
  }
}

void SetUnlessEmpty(boost::json::object& aLine, std::string_view aName, const std::string& aValue)
{
  if (!aValue.empty()) {
    aLine[aName] = aValue;
  }
}

} // namespace

void PrintListening(const settings::settings& aSettings,
                    const std::string& aRole,
                    const listening_addresses& aAddresses)
{
  boost::json::object line;
  line["instance"] = aSettings.instance().id();
  line["role"] = aRole;
  line["failure_domain"] = aSettings.instance().failure_domain();
  line["pool"] = aSettings.backend().pool();
  line["pid"] = getpid();
  SetUnlessEmpty(line, "http", aAddresses.mHttp);
  SetUnlessEmpty(line, "link", aAddresses.mLink);
  SetUnlessEmpty(line, "peer", aAddresses.mPeer);
  SetUnlessEmpty(line, "admin", aAddresses.mAdmin);
  const std::string text = boost::json::serialize(boost::json::object{ { "listening", line } });
  std::printf("%s\n", text.c_str());
  std::fflush(stdout);
}

void Every(boost::asio::io_context& aContext, duration aInterval, std::function<void()> aFunction)
{
  boost::asio::co_spawn(aContext, RepeatEvery(aContext, aInterval, std::move(aFunction)), boost::asio::detached);
}

void OnTerminate(boost::asio::io_context& aContext, std::function<void()> aOnLeave)
{
  // A write to a closed connection or log reader fails instead of ending the process.
  std::signal(SIGPIPE, SIG_IGN);
  boost::asio::co_spawn(aContext, WaitForSignals(aContext, std::move(aOnLeave)), boost::asio::detached);
}

void RunThreads(boost::asio::io_context& aContext, unsigned aThreads)
{
  std::vector<std::jthread> threads;
  for (unsigned i = 1; i < aThreads; ++i) {
    threads.emplace_back([&aContext] { aContext.run(); });
  }
  aContext.run();
}

std::optional<net::http_reply> MetricsReply(const net::http_request& aRequest, const metrics::process_metrics& aMetrics)
{
  if (net::PathOf(aRequest.mTarget) != "/metrics") {
    return std::nullopt;
  }
  net::http_reply reply;
  reply.mHeaders.Set("Content-Type", "text/plain; version=0.0.4");
  reply.mBody = aMetrics.Text();
  return reply;
}

std::optional<net::http_reply> HealthReply(const net::http_request& aRequest, const health& aHealth)
{
  const std::string_view path = net::PathOf(aRequest.mTarget);
  if (path == "/healthz") {
    return net::JsonReply(200, R"({"status":"ok"})");
  }
  if (path != "/readyz") {
    return std::nullopt;
  }
  if (aHealth.mReady && !aHealth.mLeaving) {
    return net::JsonReply(200, R"({"status":"ready"})");
  }
  return net::JsonReply(503, R"({"status":"not ready"})");
}

} // namespace chervilpulley::runtime
