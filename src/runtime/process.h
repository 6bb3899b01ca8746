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

/// What every process of the system does alike: threads, signals, timers, the listening line, health.
namespace chervilpulley::runtime {

/// Addresses that a process listens on; empty ones are left out of the line.
struct listening_addresses
{
  std::string mHttp;
  std::string mLink;
  std::string mPeer;
  std::string mAdmin;
};

/// Prints the line that tells a supervisor where the process listens (see docs/PROTOCOLS.md).
void PrintListening(const settings::settings& aSettings,
                    const std::string& aRole,
                    const listening_addresses& aAddresses);

/// Calls aFunction each aInterval until the context stops.
void Every(boost::asio::io_context& aContext, duration aInterval, std::function<void()> aFunction);

/// Calls aOnLeave once, at the first SIGTERM or SIGINT; later ones change nothing, so that nothing is cut off.
void OnTerminate(boost::asio::io_context& aContext, std::function<void()> aOnLeave);

/// Runs the context on so many threads, this one included, until it stops.
void RunThreads(boost::asio::io_context& aContext, unsigned aThreads);

/// Health of a process, for /healthz and /readyz.
struct health
{
  std::atomic<bool> mReady{ false };
  std::atomic<bool> mLeaving{ false };
};

/// The reply to /metrics; nothing for another target.
std::optional<net::http_reply> MetricsReply(const net::http_request& aRequest,
                                            const metrics::process_metrics& aMetrics);

/// The reply to /healthz and /readyz; nothing when the target is neither.
std::optional<net::http_reply> HealthReply(const net::http_request& aRequest, const health& aHealth);

} // namespace chervilpulley::runtime
