#include <google/protobuf/stubs/logging.h>

#include "fuzz/fuzz_target.h"
#include "link/frames.h"

using namespace chervilpulley;

namespace {

link::frame Frame()
{
  return link::AttemptFrame(request_id("r-1"), { attempt_number(3), 7 });
}

} // namespace

std::vector<std::string> fuzz::SeedInputs()
{
  link::frame open = Frame();
  open.mutable_open()->set_workspace("tegid");
  open.mutable_open()->set_prompt("one two");
  link::frame token = Frame();
  token.mutable_token();
  link::frame call = Frame();
  call.mutable_call()->set_method("POST");
  call.mutable_call()->set_body("winch");
  link::frame refused = Frame();
  refused.mutable_refused()->set_reason(link::REFUSAL_LEAVING);
  link::frame hello;
  hello.mutable_hello()->set_instance("a");
  return { open.SerializeAsString(),
           token.SerializeAsString(),
           call.SerializeAsString(),
           refused.SerializeAsString(),
           hello.SerializeAsString() };
}

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* aData, std::size_t aSize)
{
  const google::protobuf::LogSilencer silencer; // it writes a line for each text that is not UTF-8
  link::frame frame;
  if (!link::ParseFrame(fuzz::TextOf(aData, aSize), frame)) {
    return 0;
  }
  fuzz::Require(frame.body_case() != link::frame::BODY_NOT_SET, "a frame has a body");
  const policy::attempt_key attempt = link::AttemptOf(frame);
  const link::frame again = link::AttemptFrame(request_id(frame.request()), attempt);
  fuzz::Require(link::AttemptOf(again) == attempt && again.request() == frame.request(), "an attempt is kept whole");
  link::frame copy;
  fuzz::Require(link::ParseFrame(frame.SerializeAsString(), copy), "a frame that was read is written as one");
  fuzz::Require(copy.body_case() == frame.body_case(), "a frame keeps its kind");
  return 0;
}
