#include "net/http_client.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/streambuf.hpp>
#include <boost/asio/write.hpp>
#include <catch2/catch.hpp>

#include <thread>

using namespace chervilpulley;
using tcp = boost::asio::ip::tcp;

namespace {

constexpr auto kLimit = std::chrono::seconds(5);
const std::string kSound = "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nsound";

/// Server whose connections carry a sound response first, if that is asked for, and then some bytes before they close.
class cutting_server
{
public:
  cutting_server(bool aIsKept, std::string aBytes, bool aResets)
    : mThread([this, aIsKept, bytes = std::move(aBytes), aResets] {
      tcp::socket socket(mContext);
      mAcceptor.accept(socket);
      boost::asio::streambuf request;
      if (aIsKept) {
        request.consume(boost::asio::read_until(socket, request, "\r\n\r\n"));
        boost::asio::write(socket, boost::asio::buffer(kSound));
      }
      boost::asio::read_until(socket, request, "\r\n\r\n");
      boost::asio::write(socket, boost::asio::buffer(bytes));
      if (aResets) {
        socket.set_option(boost::asio::socket_base::linger(true, 0));
      }
    })
  {
  }
  ~cutting_server() { mThread.join(); }
  cutting_server(const cutting_server&) = delete;
  cutting_server& operator=(const cutting_server&) = delete;
  net::endpoint Address() const { return { "127.0.0.1", mAcceptor.local_endpoint().port() }; }

private:
  boost::asio::io_context mContext;
  tcp::acceptor mAcceptor{ mContext, tcp::endpoint(boost::asio::ip::address_v4::loopback(), 0) };
  std::thread mThread;
};

/// Whether a response that is cut off there is taken for whole.
bool IsTakenForWhole(const std::string& aBytes, bool aIsKept, bool aResets, bool aIsStreamed)
{
  const cutting_server server(aIsKept, aBytes, aResets);
  boost::asio::io_context context(1);
  auto client = net::http_client::Create(context);
  bool isWhole = false;
  boost::asio::co_spawn(
    context,
    [&]() -> boost::asio::awaitable<void> {
      const net::http_request request{ "GET", "/", {}, "" };
      if (aIsKept) {
        auto sound = co_await client->Fetch(server.Address(), request, kLimit);
        REQUIRE(sound);
      }
      if (aIsStreamed) {
        auto reply = co_await client->Stream(server.Address(), request, kLimit, [](std::string_view) { return true; });
        isWhole = reply.has_value();
      } else {
        auto reply = co_await client->Fetch(server.Address(), request, kLimit);
        isWhole = reply.has_value();
      }
    },
    boost::asio::detached);
  context.run();
  return isWhole;
}

} // namespace

TEST_CASE("http_client_with_a_response_cut_at_any_byte_does_not_take_it_for_whole")
{
  const std::vector<std::pair<std::string, bool>> responses{
    { "HTTP/1.1 200 OK\r\nX-A: b\r\nContent-Length: 5\r\n\r\nwhole", true },
    { "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2;x=y\r\nab\r\n3\r\ncde\r\n0\r\nT: r\r\n\r\n", true },
    { "HTTP/1.1 200 OK\r\nX-A: b\r\n\r\n", false }, // the rest has no length
  };
  for (const auto& [whole, isBounded] : responses) {
    for (std::size_t size = 0; size < whole.size(); ++size) {
      for (const bool isKept : { false, true }) {
        for (const bool isStreamed : { false, true }) {
          INFO(whole << " cut at " << size << (isKept ? ", kept" : "") << (isStreamed ? ", streamed" : ""));
          CHECK_FALSE(IsTakenForWhole(whole.substr(0, size), isKept, size % 2 == 1, isStreamed));
        }
      }
    }
    CHECK(IsTakenForWhole(whole, false, false, false));
  }
}
