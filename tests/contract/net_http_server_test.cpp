#include "net/http_client.h"
#include "net/http_server.h"

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <catch2/catch.hpp>

#include <arpa/inet.h>
#include <sys/socket.h>
#include <unistd.h>

#include <atomic>
#include <future>
#include <thread>
#include <vector>

#include "base/clock.h"

using namespace chervilpulley;

namespace {

constexpr auto kWaitTimeout = std::chrono::seconds(20);
constexpr auto kConnectTimeout = std::chrono::milliseconds(50);

/// A server whose handler counts hang-ups and responds after a short delay, 200 ms for /slow.
struct http_server_fixture
{
  http_server_fixture()
  {
    net::http_limits limits;
    limits.mMaxBodyBytes = 100;
    auto started = net::http_server::Start(
      mContext, { "127.0.0.1", 0 }, [this](net::http_exchange& aExchange) { return Handle(aExchange); }, limits);
    mServer = started.value();
    for (int i = 0; i < 3; ++i) {
      mThreads.emplace_back([this] { mContext.run(); });
    }
  }
  ~http_server_fixture()
  {
    mContext.stop();
    for (auto& thread : mThreads) {
      thread.join();
    }
  }

  boost::asio::awaitable<void> Handle(net::http_exchange& aExchange)
  {
    aExchange.OnHangUp([this] {
      if (mHangUps.fetch_add(1) == 0) {
        mFirstHangUp.set_value();
      }
    });
    boost::asio::steady_timer timer(aExchange.Executor());
    timer.expires_after(aExchange.Request().mTarget == "/slow" ? std::chrono::milliseconds(200)
                                                               : std::chrono::milliseconds(1));
    co_await timer.async_wait(boost::asio::use_awaitable);
    net::http_reply reply = net::JsonReply(200, aExchange.Request().mBody);
    co_await aExchange.Reply(std::move(reply));
  }

  net::net_result<net::http_reply> Post(const std::string& aBody)
  {
    net::http_request request;
    request.mMethod = "POST";
    request.mBody = aBody;
    return net::FetchBlocking(mServer->LocalEndpoint(), request, kWaitTimeout);
  }

  int ConnectRaw() const
  {
    const int caller = socket(AF_INET, SOCK_STREAM, 0);
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(mServer->LocalEndpoint().mPort);
    inet_pton(AF_INET, "127.0.0.1", &address.sin_addr);
    REQUIRE(connect(caller, reinterpret_cast<sockaddr*>(&address), sizeof address) == 0);
    return caller;
  }
  static void SendRaw(int aCaller, const std::string& aText)
  {
    REQUIRE(send(aCaller, aText.data(), aText.size(), MSG_NOSIGNAL) == static_cast<ssize_t>(aText.size()));
  }

  boost::asio::io_context mContext;
  boost::asio::executor_work_guard<boost::asio::io_context::executor_type> mGuard{ mContext.get_executor() };
  ref<net::http_server> mServer;
  std::atomic<int> mHangUps{ 0 };
  std::promise<void> mFirstHangUp;
  std::vector<std::thread> mThreads;
};

} // namespace

TEST_CASE_METHOD(http_server_fixture, "http_server_waiting_callers_are_never_reported_as_hung_up")
{
  constexpr int kCallers = 8;
  constexpr int kCalls = 200;
  std::atomic<int> completeCount{ 0 };
  std::vector<std::thread> callers;
  callers.reserve(kCallers);
  for (int i = 0; i < kCallers; ++i) {
    callers.emplace_back([&] {
      for (int call = 0; call < kCalls; ++call) {
        const auto reply = Post("body");
        completeCount += reply.has_value() && reply.value().mBody == "body" ? 1 : 0;
      }
    });
  }
  for (auto& caller : callers) {
    caller.join();
  }
  REQUIRE(completeCount == kCallers * kCalls);
  REQUIRE(mHangUps == 0);
}

TEST_CASE_METHOD(http_server_fixture, "http_server_caller_that_closes_is_reported_as_hung_up")
{
  const int caller = ConnectRaw();
  SendRaw(caller, "GET /slow HTTP/1.1\r\nHost: x\r\n\r\n");
  close(caller);
  REQUIRE(mFirstHangUp.get_future().wait_for(kWaitTimeout) == std::future_status::ready);
}

TEST_CASE_METHOD(http_server_fixture, "http_server_stopping_serves_connected_caller")
{
  const int caller = ConnectRaw();
  const instant limit = Now() + kWaitTimeout;
  while (mServer->OpenExchanges() == 0 && Now() < limit) {
    std::this_thread::yield();
  }
  mServer->StopAccepting();
  SendRaw(caller, "GET / HTTP/1.1\r\nHost: x\r\n\r\n");
  char answer[12] = {};
  REQUIRE(recv(caller, answer, sizeof answer, MSG_WAITALL) == sizeof answer);
  REQUIRE(std::string(answer, sizeof answer) == "HTTP/1.1 200");
  close(caller);
}

TEST_CASE("http_server_stopping_serves_callers_not_accepted_yet")
{
  boost::asio::io_context context;
  const auto answer = [](net::http_exchange& aExchange) -> boost::asio::awaitable<void> {
    co_await aExchange.Reply(net::JsonReply(200, "{}"));
  };
  const auto server = net::http_server::Start(context, { "127.0.0.1", 0 }, answer, {}).value();
  // The kernel establishes the connections while the server's event loop is not running.
  std::vector<std::future<unsigned>> callers;
  std::atomic<std::size_t> connected{ 0 };
  callers.reserve(8);
  for (int i = 0; i < 8; ++i) {
    callers.push_back(std::async(std::launch::async, [&] {
      boost::asio::io_context callerContext;
      boost::asio::ip::tcp::socket socket(callerContext);
      socket.connect({ boost::asio::ip::make_address("127.0.0.1"), server->LocalEndpoint().mPort });
      boost::asio::write(socket, boost::asio::buffer(std::string("GET / HTTP/1.1\r\nHost: h\r\n\r\n")));
      ++connected;
      std::string text;
      boost::system::error_code error;
      boost::asio::read_until(socket, boost::asio::dynamic_buffer(text), "\r\n", error);
      return error ? 0U : static_cast<unsigned>(std::stoul(text.substr(text.find(' ') + 1)));
    }));
  }
  while (connected < callers.size()) {
    std::this_thread::yield();
  }
  server->StopAccepting();
  // If this were 0, the process would exit and reset the eight connections.
  CHECK(server->OpenExchanges() > 0);
  std::thread loop([&] { context.run(); });
  for (auto& caller : callers) {
    CHECK(caller.get() == 200);
  }
  loop.join();
  CHECK(server->OpenExchanges() == 0);
}

TEST_CASE("http_server_stopping_closes_silent_caller_after_timeout")
{
  boost::asio::io_context context;
  const auto answer = [](net::http_exchange&) -> boost::asio::awaitable<void> { co_return; };
  const auto server = net::http_server::Start(context, { "127.0.0.1", 0 }, answer, {}).value();
  // Connected before the server stops, accepted afterwards.
  boost::asio::io_context callerContext;
  boost::asio::ip::tcp::socket silent(callerContext);
  silent.connect({ boost::asio::ip::make_address("127.0.0.1"), server->LocalEndpoint().mPort });
  server->StopAccepting();
  std::thread loop([&] { context.run(); });
  const instant limit = Now() + kWaitTimeout;
  while (server->OpenExchanges() > 0 && Now() < limit) {
    std::this_thread::yield();
  }
  CHECK(server->OpenExchanges() == 0);
  silent.close();
  loop.join();
}

TEST_CASE("http_server_stopping_serves_unread_request_on_idle_connection")
{
  boost::asio::io_context context;
  const auto answer = [](net::http_exchange& aExchange) -> boost::asio::awaitable<void> {
    co_await aExchange.Reply(net::JsonReply(200, "{}"));
  };
  const auto server = net::http_server::Start(context, { "127.0.0.1", 0 }, answer, {}).value();
  boost::asio::io_context callerContext;
  boost::asio::ip::tcp::socket socket(callerContext);
  socket.connect({ boost::asio::ip::make_address("127.0.0.1"), server->LocalEndpoint().mPort });
  const std::string request = "GET / HTTP/1.1\r\nHost: h\r\n\r\n";
  const auto send = [&] { boost::asio::write(socket, boost::asio::buffer(request)); };
  send();
  std::string text;
  while (text.find("{}") == std::string::npos) {
    context.poll();
    context.restart();
    char chunk[512];
    boost::system::error_code none;
    if (socket.available(none) > 0) {
      text.append(chunk, socket.read_some(boost::asio::buffer(chunk)));
    }
  }
  // The second request arrives while the server's event loop is not running.
  send();
  server->StopAccepting();
  std::thread loop([&] { context.run(); });
  text.clear();
  boost::system::error_code error;
  boost::asio::read(socket, boost::asio::dynamic_buffer(text), error);
  CHECK(error == boost::asio::error::eof);
  CHECK(text.substr(0, 12) == "HTTP/1.1 200");
  loop.join();
}

TEST_CASE_METHOD(http_server_fixture, "http_server_body_over_limit_is_413")
{
  for (const std::size_t size : { 101UL, 100'000UL, 20'000'000UL }) {
    const auto reply = Post(std::string(size, 'x'));
    REQUIRE(reply.has_value());
    REQUIRE(reply.value().mStatus == 413);
  }
}

TEST_CASE("http_server_stopping_in_a_burst_of_new_callers_responds_to_each_that_is_connected")
{
  std::atomic<int> lost{ 0 };
  std::atomic<int> served{ 0 };
  for (int round = 0; round < 60; ++round) {
    boost::asio::io_context context;
    const auto answer = [](net::http_exchange& aExchange) -> boost::asio::awaitable<void> {
      co_await aExchange.Reply(net::JsonReply(200, "{}"));
    };
    const auto server = net::http_server::Start(context, { "127.0.0.1", 0 }, answer, {}).value();
    const boost::asio::ip::tcp::endpoint address(boost::asio::ip::make_address("127.0.0.1"),
                                                 server->LocalEndpoint().mPort);
    std::vector<std::thread> loops;
    loops.reserve(2);
    for (int i = 0; i < 2; ++i) {
      loops.emplace_back([&] { context.run(); });
    }
    std::atomic<int> responses{ 0 };
    std::vector<std::thread> callers;
    callers.reserve(4);
    for (int i = 0; i < 4; ++i) {
      callers.emplace_back([&] {
        while (true) {
          boost::asio::io_context callerContext;
          boost::asio::ip::tcp::socket socket(callerContext);
          boost::system::error_code error = boost::asio::error::would_block;
          socket.async_connect(address, [&](const boost::system::error_code& aError) { error = aError; });
          callerContext.run_for(kConnectTimeout);
          if (error) {
            return;
          }
          boost::asio::write(socket, boost::asio::buffer(std::string("GET / HTTP/1.1\r\nHost: h\r\n\r\n")), error);
          std::string text;
          boost::asio::read_until(socket, boost::asio::dynamic_buffer(text), "\r\n", error);
          (error ? lost : served) += 1;
          ++responses;
        }
      });
    }
    while (responses < 20) {
      std::this_thread::yield();
    }
    server->StopAccepting();
    for (auto& caller : callers) {
      caller.join();
    }
    context.stop();
    for (auto& loop : loops) {
      loop.join();
    }
  }
  INFO(served << " served");
  CHECK(lost == 0);
}

namespace {

/// Sends a request to a server with this handler and returns all bytes until the connection ends.
std::string ReceiveAll(const std::string& aRequest, net::http_handler aHandler)
{
  boost::asio::io_context context;
  const auto server = net::http_server::Start(context, { "127.0.0.1", 0 }, std::move(aHandler), {}).value();
  boost::asio::io_context callerContext;
  boost::asio::ip::tcp::socket socket(callerContext);
  socket.connect({ boost::asio::ip::make_address("127.0.0.1"), server->LocalEndpoint().mPort });
  boost::asio::write(socket, boost::asio::buffer(aRequest));
  std::thread loop([&] { context.run(); });
  std::string text;
  boost::system::error_code error;
  boost::asio::read(socket, boost::asio::dynamic_buffer(text), error);
  socket.close();
  server->StopAccepting();
  loop.join();
  return text;
}

const std::string kGet = "GET / HTTP/1.1\r\nHost: h\r\n\r\n";
const std::string kGetAndClose = "GET / HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n";

boost::asio::awaitable<void> Begin(net::http_exchange& aExchange)
{
  net::http_reply head;
  co_await aExchange.Begin(std::move(head));
}

boost::asio::awaitable<void> Write(net::http_exchange& aExchange, std::string aText)
{
  co_await aExchange.Write(std::move(aText));
}

boost::asio::awaitable<void> Reply(net::http_exchange& aExchange, unsigned aStatus, std::string aText)
{
  net::http_reply reply = net::JsonReply(aStatus, std::move(aText));
  co_await aExchange.Reply(std::move(reply));
}

} // namespace

TEST_CASE("http_server_with_output_that_does_not_fit_its_response_closes_the_connection_without_it")
{
  const std::string replyAfterBegin =
    ReceiveAll(kGet, [](net::http_exchange& aExchange) -> boost::asio::awaitable<void> {
      co_await Begin(aExchange);
      co_await Write(aExchange, std::string("begun"));
      co_await Reply(aExchange, 500, std::string("error"));
    });
  CHECK(replyAfterBegin.ends_with("\r\n\r\n5\r\nbegun\r\n"));
  CHECK(replyAfterBegin.find("HTTP/1.1", 1) == std::string::npos);
  const std::string twoReplies = ReceiveAll(kGet, [](net::http_exchange& aExchange) -> boost::asio::awaitable<void> {
    co_await Reply(aExchange, 200, std::string("first"));
    co_await Reply(aExchange, 500, std::string("second"));
  });
  CHECK(twoReplies.ends_with("\r\n\r\nfirst"));
  const std::string writeAfterEnd = ReceiveAll(kGet, [](net::http_exchange& aExchange) -> boost::asio::awaitable<void> {
    co_await Begin(aExchange);
    co_await Write(aExchange, std::string("begun"));
    co_await aExchange.End();
    co_await Write(aExchange, std::string("more"));
    co_await aExchange.End();
  });
  CHECK(writeAfterEnd.ends_with("\r\n\r\n5\r\nbegun\r\n0\r\n\r\n"));
  const std::string noHead = ReceiveAll(kGet, [](net::http_exchange& aExchange) -> boost::asio::awaitable<void> {
    co_await Write(aExchange, std::string("begun"));
    co_await aExchange.End();
  });
  CHECK(noHead.empty());
}

TEST_CASE("http_server_with_an_empty_piece_of_a_response_does_not_end_the_response")
{
  const std::string received =
    ReceiveAll(kGetAndClose, [](net::http_exchange& aExchange) -> boost::asio::awaitable<void> {
      co_await Begin(aExchange);
      co_await Write(aExchange, std::string(""));
      co_await Write(aExchange, std::string("begun"));
      co_await aExchange.End();
    });
  CHECK(received.ends_with("\r\n\r\n5\r\nbegun\r\n0\r\n\r\n"));
}

TEST_CASE("http_server_that_begins_a_response_to_HEAD_sends_no_body")
{
  const std::string request = "HEAD / HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n";
  const std::string received = ReceiveAll(request, [](net::http_exchange& aExchange) -> boost::asio::awaitable<void> {
    co_await Begin(aExchange);
    co_await Write(aExchange, std::string("begun"));
    co_await aExchange.End();
  });
  CHECK(received.starts_with("HTTP/1.1 200"));
  CHECK(received.find("\r\n\r\n") == received.size() - 4);
}
