#pragma once

#include <boost/asio/awaitable.hpp>

#include <cstdint>
#include <string>

#include "net/http_server.h"
#include "record_log.h"
#include "signal.h"

/// Stands in for a plain service: records each call that it executes, and can be slowed, stalled or crashed.
namespace chervilpulley::standin {

/// A plain service with an unsafe call (a reservation) and a safe one (the stock), and calls that wait, fail or crash.
class service
{
public:
  explicit service(const std::string& aRecordsFile);

  boost::asio::awaitable<void> Handle(net::http_exchange& aExchange);

private:
  boost::asio::awaitable<net::http_reply> Run(const net::http_request& aRequest);
  net::http_reply Control(const net::http_request& aRequest);

  record_log mLog;
  duration mDelay{ 0 };
  bool mStalled = false;
  std::uint64_t mReservations = 0;
  signal mChanged;
};

} // namespace chervilpulley::standin
