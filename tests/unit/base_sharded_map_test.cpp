#include "base/sharded_map.h"
#include "chervilpulley/ids.h"

#include <catch2/catch.hpp>

using namespace chervilpulley;

namespace {

struct sharded_map_fixture
{
  sharded_map<request_id, int> mMap;
  request_id mKey{ "r-1" };
};

} // namespace

TEST_CASE_METHOD(sharded_map_fixture, "sharded_map_insert_of_known_key_keeps_first_value")
{
  REQUIRE(mMap.Insert(mKey, 1));
  REQUIRE_FALSE(mMap.Insert(mKey, 2));
  REQUIRE(mMap.Find(mKey) == 1);
}

TEST_CASE_METHOD(sharded_map_fixture, "sharded_map_erase_of_known_key_empties_it")
{
  mMap.Insert(mKey, 1);
  REQUIRE(mMap.Erase(mKey));
  REQUIRE(mMap.Size() == 0);
}
