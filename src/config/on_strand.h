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
  std::optional<T> answer;
  // Results have no default value, which co_spawn asks for; so the answer goes into this frame.
  auto run = [](std::optional<T>& aAnswer, boost::asio::awaitable<T> aInner) -> boost::asio::awaitable<void> {
    aAnswer.emplace(co_await std::move(aInner));
  };
  co_await boost::asio::co_spawn(
    boost::asio::make_strand(aContext), run(answer, std::move(aCall)), boost::asio::use_awaitable);
  co_return std::move(*answer);
}

} // namespace chervilpulley::config
