/// Fuzzes the parser of frames on the links between entries and sidecars.

#include <google/protobuf/stubs/logging.h>

#include "fuzz/fuzz_target.h"
#include "link/frames.h"

using namespace chervilpulley;

namespace {

link::frame MakeFrame()
{
  return link::AttemptFrame(request_id("r-1"), { attempt_number(3), 7 });
}

} // namespace

std::vector<std::string> fuzz::SeedInputs()
{
  link::frame open = MakeFrame();
  open.mutable_open()->set_workspace("tegid");
  open.mutable_open()->set_prompt("one two");
  link::frame token = MakeFrame();
  token.mutable_token();
  link::frame bookingCall = MakeFrame();
  bookingCall.mutable_call()->set_method("POST");
  bookingCall.mutable_call()->set_body("winch");
  link::frame refused = MakeFrame();
  refused.mutable_refused()->set_reason(link::REFUSAL_LEAVING);
  link::frame hello;
  hello.mutable_hello()->set_instance("a");
  return { open.SerializeAsString(),
           token.SerializeAsString(),
           bookingCall.SerializeAsString(),
           refused.SerializeAsString(),
           hello.SerializeAsString() };
}

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* aData, std::size_t aSize)
{
  const google::protobuf::LogSilencer silencer; // protobuf logs a line for each string that is not UTF-8
  link::frame frame;
  if (!link::ParseFrame(fuzz::ToText(aData, aSize), frame)) {
    return 0;
  }
  fuzz::Require(frame.body_case() != link::frame::BODY_NOT_SET, "a frame has a body");
  const policy::attempt_key attempt = link::AttemptOf(frame);
  const link::frame reencoded = link::AttemptFrame(request_id(frame.request()), attempt);
  fuzz::Require(link::AttemptOf(reencoded) == attempt && reencoded.request() == frame.request(),
                "an attempt survives a round trip");
  link::frame reparsed;
  fuzz::Require(link::ParseFrame(frame.SerializeAsString(), reparsed),
                "a parsed frame can be written and parsed again");
  fuzz::Require(reparsed.body_case() == frame.body_case(), "a frame keeps its type");
  return 0;
}
