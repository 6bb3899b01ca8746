#pragma once

#include <boost/asio/awaitable.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/strand.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <optional>
#include <utility>

/// Runs coroutines on a strand of their own, for calls that must run on a strand but come from any executor.
namespace chervilpulley::config {

/// Runs aCall on a new strand and returns its result on the caller's executor.
template<class T>
boost::asio::awaitable<T> RunOnStrand(boost::asio::io_context& aContext, boost::asio::awaitable<T> aCall)
{
  std::optional<T> result;
  // co_spawn needs a default-constructible result, which result types are not; so the result is stored in this frame.
  auto run = [](std::optional<T>& aResult, boost::asio::awaitable<T> aInner) -> boost::asio::awaitable<void> {
    aResult.emplace(co_await std::move(aInner));
  };
  co_await boost::asio::co_spawn(
    boost::asio::make_strand(aContext), run(result, std::move(aCall)), boost::asio::use_awaitable);
  co_return std::move(*result);
}

} // namespace chervilpulley::config
