#include <catch2/catch.hpp>

#include "support/scripted_engines.h"

using namespace chervilpulley;
using namespace chervilpulley::gateway;
using namespace chervilpulley::testing;

namespace {

const std::string kFailure = "HTTP/1.1 500 Failed\r\nX-Attempt-Id: mine\r\nX-Response-Stamp: s\r\n";
const std::string kBody = "out of memory";
const std::vector<std::pair<const char*, request_kind>> kKinds{ { "call that may run once", request_kind::AtMostOnce },
                                                                { "call that may be repeated",
                                                                  request_kind::Idempotent },
                                                                { "stream", request_kind::Stream } };

/// The response that the caller gets when all servers answer with aAnswer.
std::string ReceivedBy(request_kind aKind, const engine_response& aAnswer)
{
  scripted_engines_fixture fixture;
  fixture.mKind = aKind;
  fixture.mMaxAttempts = 1;
  fixture.mDeadline = std::chrono::milliseconds(300);
  fixture.mEngines.AnswerAllOthers(aAnswer);
  fixture.Call();
  CHECK(fixture.CompleteBody());
  return fixture.mReceived;
}

} // namespace

// The bytes of a failure response that had arrived before it broke off were passed on with a length of their own.
TEST_CASE("failure_response_that_breaks_off_in_its_body_is_not_passed_on_as_a_whole_one")
{
  for (const auto& [name, kind] : kKinds) {
    for (const framing framing : { framing::Length, framing::Chunked }) {
      engine_response answer = Frame(kFailure, kBody, framing);
      const std::size_t head = answer.mBytes.find("\r\n\r\n") + 4;
      answer.mCloses = true;
      const std::string whole = answer.mBytes;
      for (std::size_t size = head; size < whole.size(); size += 3) {
        answer.mBytes = whole.substr(0, size);
        const std::string received = ReceivedBy(kind, answer);
        INFO(name << ", " << size - head << " bytes of the body; received: " << received);
        CHECK(received.starts_with("HTTP/1.1 502 "));
        CHECK(received.find("X-Response-Stamp") == std::string::npos);
        CHECK(received.find("out") == std::string::npos);
      }
    }
  }
}

// What an earlier server said of the request must not be taken for the word of the next one.
TEST_CASE("call_that_was_rejected_and_then_got_bytes_that_are_no_response_is_not_sent_again")
{
  for (const char* const bytes : { "HTTP/1.1 000 \r\n\r\n", "HTTP/1.1 200 OK\r\nContent-Le", "no response" }) {
    scripted_engines_fixture fixture;
    fixture.mKind = request_kind::AtMostOnce;
    fixture.mEngines.Answer(
      Frame("HTTP/1.1 503 Busy\r\nX-Attempt-Id: mine\r\nX-Not-Executed: 1\r\n", "", framing::Length));
    engine_response other;
    other.mBytes = bytes;
    other.mCloses = true;
    fixture.mEngines.AnswerAllOthers(other);
    fixture.Call();
    INFO(bytes << "; received: " << fixture.mReceived);
    CHECK(fixture.mEngines.Requests() == 2);
    CHECK(fixture.mReceived.starts_with("HTTP/1.1 502 "));
  }
}

TEST_CASE("failure_response_that_is_whole_is_passed_on_with_its_stamp")
{
  for (const auto& [name, kind] : kKinds) {
    for (const auto& [framingName, framing] : kFramings) {
      const std::string received = ReceivedBy(kind, Frame(kFailure, kBody, framing));
      INFO(name << ", " << framingName << "; received: " << received);
      CHECK(received.starts_with("HTTP/1.1 500 "));
      CHECK(received.find("X-Response-Stamp: s") != std::string::npos);
      CHECK(received.ends_with(kBody));
    }
  }
}
