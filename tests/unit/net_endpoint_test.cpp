#include "net/endpoint.h"

#include <catch2/catch.hpp>

using namespace chervilpulley;

TEST_CASE("endpoint_with_bytes_after_a_zero_byte_of_its_address_is_rejected")
{
  using namespace std::string_literals;
  CHECK(net::ParseEndpoint("10.0.0.9:80"));
  CHECK(net::ParseEndpoint("[::1]:80"));
  for (const std::string& text : { "10.0.0.9\0:80"s, "10.0.0.9\0\r\nX-Other: y:80"s, "[::1\0x]:80"s, "\0:80"s }) {
    CHECK(!net::ParseEndpoint(text));
  }
}
