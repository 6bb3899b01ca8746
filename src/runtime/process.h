#pragma once

#include <boost/asio/io_context.hpp>

#include <atomic>
#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "base/ref_counted.h"
#include "chervilpulley/units.h"
#include "generated/settings.pb.h"
#include "metrics/metrics.h"
#include "net/endpoint.h"
#include "net/http_server.h"
#include "platform/live_list.h"

/// Functions that every process needs: threads, signals, timers, the listening line, metrics and health endpoints.
namespace chervilpulley::runtime {

/// Addresses that a process listens on; empty ones are omitted from the listening line.
struct listening_addresses
{
  std::string mHttp;
  std::string mLink;
  std::string mPeer;
  std::string mAdmin;
};

/// Prints the line from which a supervisor learns the process's addresses (see docs/PROTOCOLS.md).
void PrintListening(const settings::settings& aSettings,
                    const std::string& aRole,
                    const listening_addresses& aAddresses);

/// Calls aFunction once per aInterval until the context stops.
void Every(boost::asio::io_context& aContext, duration aInterval, std::function<void()> aFunction);

/// Calls aOnLeave once, at the first SIGTERM or SIGINT. Later ones, SIGHUP and SIGPIPE are ignored, so that no running
/// request is interrupted.
void OnTerminate(boost::asio::io_context& aContext, std::function<void()> aOnLeave);

/// Runs the context on aThreads threads, including the calling one, until it stops.
void RunThreads(boost::asio::io_context& aContext, unsigned aThreads);

/// State of a process as reported by /readyz.
struct health
{
  std::atomic<bool> mReady{ false };
  std::atomic<bool> mLeaving{ false };
};

/// The reply to a request for /metrics; nothing for any other target.
std::optional<net::http_reply> MetricsReply(const net::http_request& aRequest,
                                            const metrics::process_metrics& aMetrics);

/// The reply to a request for /healthz or /readyz; nothing for any other target.
std::optional<net::http_reply> HealthReply(const net::http_request& aRequest, const health& aHealth);

} // namespace chervilpulley::runtime
