#include "gateway/connection_pool.h"

#include <catch2/catch.hpp>

using namespace chervilpulley;
using namespace chervilpulley::gateway;
using std::chrono::milliseconds;

namespace {

struct fake_connection
{
  int mNumber = 0;
  bool mIsOpen = true;

  bool IsReusable() const { return mIsOpen; }
};

struct connection_pool_fixture
{
  const instant mBegin = instant() + std::chrono::hours(1);
  connection_pool<fake_connection> mPool;

  static net::endpoint Server(unsigned short aPort) { return { "127.0.0.1", aPort }; }
};

} // namespace

TEST_CASE_METHOD(connection_pool_fixture, "connection_pool_take_returns_the_connection_idle_for_the_shortest_time")
{
  mPool.Put(Server(1), { 1 }, milliseconds(900), mBegin);
  mPool.Put(Server(1), { 2 }, milliseconds(900), mBegin + milliseconds(100));
  CHECK(mPool.Take(Server(1), mBegin + milliseconds(200))->mNumber == 2);
  CHECK(!mPool.Take(Server(2), mBegin + milliseconds(200)));
}

TEST_CASE_METHOD(connection_pool_fixture, "connection_pool_with_expired_or_closed_connections_does_not_return_them")
{
  mPool.Put(Server(1), { 1 }, milliseconds(900), mBegin);
  mPool.Put(Server(1), { 2, false }, milliseconds(900), mBegin);
  CHECK(mPool.Take(Server(1), mBegin + milliseconds(500))->mNumber == 1);
  mPool.Put(Server(1), { 3 }, milliseconds(900), mBegin);
  CHECK(!mPool.Take(Server(1), mBegin + milliseconds(901)));
}

TEST_CASE_METHOD(connection_pool_fixture, "connection_pool_with_expired_connections_to_unused_servers_closes_them")
{
  for (unsigned short port = 1; port <= 300; ++port) {
    mPool.Put(Server(port), { port }, milliseconds(900), mBegin);
  }
  mPool.Put(Server(1000), { 1000 }, milliseconds(900), mBegin + milliseconds(2000));
  CHECK(mPool.Size() == 1);
}
