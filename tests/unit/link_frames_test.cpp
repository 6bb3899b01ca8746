#include "link/frames.h"

#include <catch2/catch.hpp>

#include <vector>

using namespace chervilpulley;

namespace {

struct link_frames_fixture
{
  /// Not valid UTF-8, but allowed by HTTP in header values and paths.
  const std::string mLatin1Text = "caf\xe9";

  static link::frame Call()
  {
    link::frame call = link::AttemptFrame(request_id("r-1"), { attempt_number(1), 7 });
    call.mutable_call()->set_method("POST");
    call.mutable_call()->set_path("/reserve");
    return call;
  }

  static void CheckRoundTrip(const link::frame& aSent)
  {
    link::frame read;
    REQUIRE(link::ParseFrame(aSent.SerializeAsString(), read));
    CHECK(read.SerializeAsString() == aSent.SerializeAsString());
  }
};

} // namespace

TEST_CASE_METHOD(link_frames_fixture, "link_frame_round_trip_is_unchanged")
{
  CheckRoundTrip(Call());
  link::frame read;
  REQUIRE(link::ParseFrame(Call().SerializeAsString(), read));
  CHECK(link::AttemptOf(read) == policy::attempt_key{ attempt_number(1), 7 });
}

TEST_CASE_METHOD(link_frames_fixture, "link_frame_without_body_or_truncated_is_rejected")
{
  link::frame read;
  CHECK_FALSE(link::ParseFrame("", read));
  CHECK_FALSE(link::ParseFrame("\xff\xff", read));
  CHECK_FALSE(link::ParseFrame(link::AttemptFrame(request_id("r-1"), {}).SerializeAsString(), read));
  const std::string complete = Call().SerializeAsString();
  CHECK_FALSE(link::ParseFrame(complete.substr(0, complete.size() - 1), read));
}

// A receiver closes the link on a malformed frame, so one such request would interrupt the requests of all others.
TEST_CASE_METHOD(link_frames_fixture, "link_frame_with_non_utf8_request_header_is_unchanged")
{
  link::frame call = Call();
  link::header* header = call.mutable_call()->add_headers();
  header->set_name("X-Place");
  header->set_value(mLatin1Text);
  CheckRoundTrip(call);
}

TEST_CASE_METHOD(link_frames_fixture, "link_frame_with_non_utf8_path_or_key_is_unchanged")
{
  link::frame path = Call();
  path.mutable_call()->set_path("/reserve/" + mLatin1Text);
  CheckRoundTrip(path);
  link::frame key = Call();
  key.mutable_call()->set_idempotency_key(mLatin1Text);
  CheckRoundTrip(key);
}

TEST_CASE_METHOD(link_frames_fixture, "link_frame_with_non_utf8_response_header_is_unchanged")
{
  link::frame reply = link::AttemptFrame(request_id("r-1"), { attempt_number(1), 7 });
  link::header* header = reply.mutable_reply()->add_headers();
  header->set_name("Content-Disposition");
  header->set_value("attachment; filename=" + mLatin1Text);
  CheckRoundTrip(reply);
}
