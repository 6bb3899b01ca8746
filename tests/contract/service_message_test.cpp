#include "sidecar/service_message.h"

#include <catch2/catch.hpp>

using namespace chervilpulley;
using namespace chervilpulley::sidecar;

namespace {

/// A call with headers for the sidecar, for the connection and for the service.
struct service_message_fixture
{
  service_message_fixture()
  {
    mCall.set_method("POST");
    mCall.set_path("/reserve?winch=3");
    mCall.set_body("{}");
    mCall.set_idempotency_key("key");
    Add("Authorization", "Bearer secret");
    Add("idempotency-key", "key");
    Add("connection", "close");
    Add("Accept-Language", "cy");
  }

  void Add(const std::string& aName, const std::string& aValue)
  {
    auto* header = mCall.add_headers();
    header->set_name(aName);
    header->set_value(aValue);
  }

  link::service_call mCall;
  request_id mRequest{ "r-7" };
};

} // namespace

TEST_CASE_METHOD(service_message_fixture, "service_request_drops_headers_not_meant_for_the_service")
{
  const auto request = MakeServiceRequest(mCall, mRequest, false);
  REQUIRE(request.mMethod == "POST");
  REQUIRE(request.mTarget == "/reserve?winch=3");
  REQUIRE(request.mBody == "{}");
  REQUIRE(request.mHeaders.All().size() == 2);
  REQUIRE(request.mHeaders.Get("Accept-Language") == "cy");
  REQUIRE(request.mHeaders.Get("X-Request-Id") == "r-7");
}

TEST_CASE_METHOD(service_message_fixture, "service_request_forwards_the_key_where_the_pool_honours_it")
{
  REQUIRE(MakeServiceRequest(mCall, mRequest, true).mHeaders.Get("Idempotency-Key") == "key");
}

TEST_CASE("service_response_survives_the_journal_whole")
{
  net::http_reply reply;
  reply.mStatus = 409;
  reply.mHeaders.Set("Content-Type", "text/plain");
  reply.mHeaders.Set("Transfer-Encoding", "chunked");
  reply.mBody = std::string("a\0b", 3);
  const auto replay = MakeReplay(MakeStoredResponse(MakeServiceReply(reply)));
  REQUIRE(replay.status() == 409);
  REQUIRE(replay.body() == reply.mBody);
  REQUIRE(replay.headers_size() == 1);
  REQUIRE(replay.replayed());
}
