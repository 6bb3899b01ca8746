#include "link/frames.h"
#include "link/link.h"
#include "link/provider_links.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/use_future.hpp>
#include <catch2/catch.hpp>

#include <condition_variable>
#include <map>
#include <thread>

#include "base/clock.h"

using namespace chervilpulley;

namespace {

constexpr auto kWaitTimeout = std::chrono::seconds(20);

/// Collects the messages of a link and lets a test wait for them.
class message_box
{
public:
  void Add(std::string aMessage)
  {
    std::lock_guard lock(mMutex);
    mMessages.push_back(std::move(aMessage));
    mChanged.notify_all();
  }
  void Close()
  {
    std::lock_guard lock(mMutex);
    mIsClosed = true;
    mChanged.notify_all();
  }
  bool WaitForCount(std::size_t aCount)
  {
    std::unique_lock lock(mMutex);
    return mChanged.wait_for(lock, kWaitTimeout, [&] { return mMessages.size() >= aCount; });
  }
  bool WaitForClose()
  {
    std::unique_lock lock(mMutex);
    return mChanged.wait_for(lock, kWaitTimeout, [&] { return mIsClosed; });
  }
  std::vector<std::string> Messages()
  {
    std::lock_guard lock(mMutex);
    return mMessages;
  }

private:
  std::mutex mMutex;
  std::condition_variable mChanged;
  std::vector<std::string> mMessages;
  bool mIsClosed = false;
};

link::events EventsOf(message_box& aBox)
{
  link::events events;
  events.mOnMessage = [&aBox](link::connection&, std::string aMessage) { aBox.Add(std::move(aMessage)); };
  events.mOnClosed = [&aBox](link::connection&) { aBox.Close(); };
  return events;
}

struct link_fixture
{
  link_fixture()
  {
    mOptions.mClusterKey = "right";
    auto started = link::server::Start(mContext, { "127.0.0.1", 0 }, mOptions, [this](ref<link::connection> aLink) {
      mAccepted = std::move(aLink);
      return EventsOf(mAtServer);
    });
    mServer = started.value();
    for (int i = 0; i < 2; ++i) {
      mThreads.emplace_back([this] { mContext.run(); });
    }
  }
  ~link_fixture()
  {
    mContext.stop();
    for (auto& thread : mThreads) {
      thread.join();
    }
  }

  net::net_result<ref<link::connection>> Connect(const std::string& aKey)
  {
    link::link_options options = mOptions;
    options.mClusterKey = aKey;
    auto task = [&]() -> boost::asio::awaitable<void> {
      mConnected.emplace(co_await link::Connect(mContext, mServer->LocalEndpoint(), options, EventsOf(mAtClient)));
    };
    boost::asio::co_spawn(mContext, task, boost::asio::use_future).get();
    return *mConnected;
  }

  boost::asio::io_context mContext;
  boost::asio::executor_work_guard<boost::asio::io_context::executor_type> mGuard{ mContext.get_executor() };
  link::link_options mOptions;
  message_box mAtServer;
  message_box mAtClient;
  ref<link::server> mServer;
  ref<link::connection> mAccepted;
  std::optional<net::net_result<ref<link::connection>>> mConnected;
  std::vector<std::thread> mThreads;
};

} // namespace

TEST_CASE_METHOD(link_fixture, "link_concurrent_sends_arrive_intact_and_in_order_per_thread")
{
  const auto connection = Connect("right").value();
  constexpr std::size_t kPerThread = 500;
  std::vector<std::thread> senders;
  for (char name : { 'a', 'b', 'c' }) {
    senders.emplace_back([&, name] {
      for (std::size_t i = 0; i < kPerThread; ++i) {
        connection->Send(std::string(1, name) + std::to_string(i));
      }
    });
  }
  for (auto& sender : senders) {
    sender.join();
  }
  REQUIRE(mAtServer.WaitForCount(3 * kPerThread));
  std::map<char, std::size_t> next;
  bool inOrder = true;
  for (const auto& message : mAtServer.Messages()) {
    inOrder = inOrder && message.substr(1) == std::to_string(next[message[0]]++);
  }
  REQUIRE(inOrder);
}

TEST_CASE_METHOD(link_fixture, "link_with_wrong_key_is_refused")
{
  const auto refused = Connect("wrong");
  REQUIRE(refused.has_error());
  REQUIRE(refused.error().mCode == net::net_errc::Unauthorized);
}

TEST_CASE_METHOD(link_fixture, "link_closed_by_one_end_is_closed_at_the_other")
{
  const auto connection = Connect("right").value();
  connection->Close();
  REQUIRE(mAtServer.WaitForClose());
  REQUIRE(mAtClient.WaitForClose());
  REQUIRE_FALSE(connection->Send("late"));
}

TEST_CASE_METHOD(link_fixture, "link_to_closed_port_is_refused")
{
  std::optional<net::net_result<ref<link::connection>>> connected;
  const net::endpoint closedPort{ "127.0.0.1", 1 };
  auto task = [&]() -> boost::asio::awaitable<void> {
    connected.emplace(co_await link::Connect(mContext, closedPort, mOptions, EventsOf(mAtClient)));
  };
  boost::asio::co_spawn(mContext, task, boost::asio::use_future).get();
  REQUIRE(connected->has_error());
  REQUIRE(connected->error().mCode == net::net_errc::Refused);
}

TEST_CASE("link_message_without_frame_or_body_is_rejected")
{
  link::frame read;
  REQUIRE_FALSE(link::ParseFrame("\xff\xff\xff", read));
  REQUIRE_FALSE(link::ParseFrame(link::AttemptFrame(request_id("r"), {}).SerializeAsString(), read));
}
