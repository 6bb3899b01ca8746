#pragma once

#include <boost/asio/awaitable.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/strand.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <optional>
#include <utility>

namespace chervilpulley::config {

/// Runs a call on a strand of its own and gives its result to the caller, whatever that one runs on.
template<class T>
boost::asio::awaitable<T> RunOnStrand(boost::asio::io_context& aContext, boost::asio::awaitable<T> aCall)
{
  std::optional<T> result;
  // Results have no default value, which co_spawn asks for; so the result goes into this frame.
  auto run = [](std::optional<T>& aResult, boost::asio::awaitable<T> aInner) -> boost::asio::awaitable<void> {
    aResult.emplace(co_await std::move(aInner));
  };
  co_await boost::asio::co_spawn(
    boost::asio::make_strand(aContext), run(result, std::move(aCall)), boost::asio::use_awaitable);
  co_return std::move(*result);
}

} // namespace chervilpulley::config
