#include "link/frames.h"

#include <catch2/catch.hpp>

#include <vector>

using namespace chervilpulley;

namespace {

struct link_frames_fixture
{
  /// Bytes that HTTP allows in a header's value and in a path, and that are not UTF-8.
  const std::string mLatin = "caf\xe9";

  static link::frame Call()
  {
    link::frame call = link::AttemptFrame(request_id("r-1"), { attempt_number(1), 7 });
    call.mutable_call()->set_method("POST");
    call.mutable_call()->set_path("/reserve");
    return call;
  }

  static void CheckArrives(const link::frame& aSent)
  {
    link::frame read;
    REQUIRE(link::ParseFrame(aSent.SerializeAsString(), read));
    CHECK(read.SerializeAsString() == aSent.SerializeAsString());
  }
};

} // namespace

TEST_CASE_METHOD(link_frames_fixture, "link_frame_is_read_as_it_was_written")
{
  CheckArrives(Call());
  link::frame read;
  REQUIRE(link::ParseFrame(Call().SerializeAsString(), read));
  CHECK(link::AttemptOf(read) == policy::attempt_key{ attempt_number(1), 7 });
}

TEST_CASE_METHOD(link_frames_fixture, "link_frame_without_body_or_cut_is_refused")
{
  link::frame read;
  CHECK_FALSE(link::ParseFrame("", read));
  CHECK_FALSE(link::ParseFrame("\xff\xff", read));
  CHECK_FALSE(link::ParseFrame(link::AttemptFrame(request_id("r-1"), {}).SerializeAsString(), read));
  const std::string whole = Call().SerializeAsString();
  CHECK_FALSE(link::ParseFrame(whole.substr(0, whole.size() - 1), read));
}

// A receiver closes the link on what is not a frame, so one caller would cut all others' work off.
TEST_CASE_METHOD(link_frames_fixture, "link_frame_with_a_callers_header_that_is_not_utf8_arrives")
{
  link::frame call = Call();
  link::header* header = call.mutable_call()->add_headers();
  header->set_name("X-Place");
  header->set_value(mLatin);
  CheckArrives(call);
}

TEST_CASE_METHOD(link_frames_fixture, "link_frame_with_a_callers_path_or_key_that_is_not_utf8_arrives")
{
  link::frame path = Call();
  path.mutable_call()->set_path("/reserve/" + mLatin);
  CheckArrives(path);
  link::frame key = Call();
  key.mutable_call()->set_idempotency_key(mLatin);
  CheckArrives(key);
}

TEST_CASE_METHOD(link_frames_fixture, "link_frame_with_a_services_header_that_is_not_utf8_arrives")
{
  link::frame reply = link::AttemptFrame(request_id("r-1"), { attempt_number(1), 7 });
  link::header* header = reply.mutable_reply()->add_headers();
  header->set_name("Content-Disposition");
  header->set_value("attachment; filename=" + mLatin);
  CheckArrives(reply);
}
