#include <catch2/catch.hpp>

#include "support/scripted_engines.h"

using namespace chervilpulley;
using namespace chervilpulley::gateway;
using namespace chervilpulley::testing;

namespace {

/// A request and how the engines answer it.
struct answered_request
{
  const char* mName;
  request_kind mKind;
  std::string mHeaders;
  engine_response mAnswer;
};

engine_response InPieces(engine_response aResponse, std::size_t aSize)
{
  aResponse.mPieceSize = aSize;
  return aResponse;
}

const std::string kStamped = kStreamHead + "X-Response-Stamp: s\r\n";
const std::string kSuccess = "HTTP/1.1 200 OK\r\nX-Attempt-Id: mine\r\nX-Response-Stamp: s\r\n";
const std::string kFailure = "HTTP/1.1 500 Failed\r\nX-Attempt-Id: mine\r\nX-Response-Stamp: s\r\n";
const std::string kRejection = "HTTP/1.1 503 Busy\r\nX-Attempt-Id: mine\r\nX-Not-Executed: 1\r\n";
const std::string kHasAllEvents = "Last-Event-Id: 5\r\n";
/// Steps of the event loop after which each of these requests has ended, or only waits for its next send.
constexpr unsigned kMaxSteps = 60;

const std::vector<answered_request> kRequests{
  { "stream", request_kind::Stream, "", Frame(kStamped, Events(0, kEvents), framing::Chunked) },
  { "stream in pieces", request_kind::Stream, "", InPieces(Frame(kStamped, Events(0, kEvents), framing::Chunked), 9) },
  { "stream that ends with its connection",
    request_kind::Stream,
    "",
    InPieces(Frame(kStamped, Events(0, kEvents), framing::None), 30) },
  { "resumed stream without more events", request_kind::Stream, kHasAllEvents, Frame(kStamped, "", framing::Chunked) },
  { "the same with a length", request_kind::Stream, kHasAllEvents, Frame(kStamped, "", framing::Length) },
  { "stream that is out of order",
    request_kind::Stream,
    "",
    Frame(kStamped, Event(1) + Event(3) + Event(2), framing::Length) },
  { "failed stream", request_kind::Stream, "", Frame(kFailure, "failed", framing::Length) },
  { "call", request_kind::AtMostOnce, "", InPieces(Frame(kSuccess, "body", framing::Length), 20) },
  { "failed call", request_kind::AtMostOnce, "", Frame(kFailure, "failed", framing::Length) },
  { "rejected call", request_kind::AtMostOnce, "", Frame(kRejection, "", framing::Length) },
  { "repeatable failed call", request_kind::Idempotent, "", Frame(kFailure, "failed", framing::Chunked) },
};

} // namespace

// A session that reported the loss of its caller from within a write released the request that was writing, which ended
// the gateway.
TEST_CASE("request_whose_caller_resets_its_connection_at_any_step_of_the_response_ends_alone")
{
  for (const answered_request& each : kRequests) {
    bool hadEnded = false;
    for (unsigned steps = 1; !hadEnded && steps <= kMaxSteps; ++steps) {
      INFO(each.mName << ", reset after " << steps << " steps");
      scripted_engines_fixture fixture;
      fixture.mKind = each.mKind;
      fixture.mDeadline = std::chrono::milliseconds(100);
      fixture.mEngines.AnswerAllOthers(each.mAnswer);
      hadEnded = fixture.CallAndReset(steps, each.mHeaders);
    }
  }
}
