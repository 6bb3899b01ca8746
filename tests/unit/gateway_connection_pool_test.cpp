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

  bool IsQuiet() const { return mIsOpen; }
};

struct connection_pool_fixture
{
  const instant mBegin = instant() + std::chrono::hours(1);
  connection_pool<fake_connection> mKept;

  static net::endpoint Server(unsigned short aPort) { return { "127.0.0.1", aPort }; }
};

} // namespace

TEST_CASE_METHOD(connection_pool_fixture, "kept_connections_gives_back_the_one_that_was_idle_for_the_shortest_time")
{
  mKept.Keep(Server(1), { 1 }, milliseconds(900), mBegin);
  mKept.Keep(Server(1), { 2 }, milliseconds(900), mBegin + milliseconds(100));
  CHECK(mKept.Take(Server(1), mBegin + milliseconds(200))->mNumber == 2);
  CHECK(!mKept.Take(Server(2), mBegin + milliseconds(200)));
}

TEST_CASE_METHOD(connection_pool_fixture, "kept_connections_that_are_too_old_or_closed_are_not_used")
{
  mKept.Keep(Server(1), { 1 }, milliseconds(900), mBegin);
  mKept.Keep(Server(1), { 2, false }, milliseconds(900), mBegin);
  CHECK(mKept.Take(Server(1), mBegin + milliseconds(500))->mNumber == 1);
  mKept.Keep(Server(1), { 3 }, milliseconds(900), mBegin);
  CHECK(!mKept.Take(Server(1), mBegin + milliseconds(901)));
}

TEST_CASE_METHOD(connection_pool_fixture, "kept_connections_to_servers_that_are_gone_are_closed")
{
  for (unsigned short port = 1; port <= 300; ++port) {
    mKept.Keep(Server(port), { port }, milliseconds(900), mBegin);
  }
  mKept.Keep(Server(1000), { 1000 }, milliseconds(900), mBegin + milliseconds(2000));
  CHECK(mKept.Size() == 1);
}
