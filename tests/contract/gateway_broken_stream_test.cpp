#include <catch2/catch.hpp>

#include "support/scripted_engines.h"

/// Streams that break off and continue at engines that answer with errors or with other invalid responses. Callers and
/// engines are real sockets.
using namespace chervilpulley;
using namespace chervilpulley::gateway;
using namespace chervilpulley::testing;

namespace {

/// Deadline of a stream for which no engine gives a valid response.
constexpr auto kShortDeadline = std::chrono::milliseconds(100);
/// Events that the first engine sends before its connection breaks.
constexpr unsigned kEventsBeforeBreak = 3;

/// A response that is cut off after these events and bytes.
engine_response BrokenResponse(const std::string& aBody)
{
  engine_response response;
  response.mBytes = fmt::format("{}X-Response-Stamp: first\r\nTransfer-Encoding: chunked\r\n\r\n", kStreamHead);
  if (!aBody.empty()) {
    response.mBytes += fmt::format("{:x}\r\n{}\r\n", aBody.size(), aBody);
  }
  response.mCloses = true;
  return response;
}

/// A response that does not continue the stream.
struct invalid_response
{
  const char* mName;
  std::string mHead;
  std::string mBody;
};

const std::string kOtherEvents = Events(kEventsBeforeBreak, kEvents + 2);
const std::string kErrorHead = "X-Attempt-Id: mine\r\nX-Response-Stamp: other\r\n";

const std::vector<invalid_response> kErrors{
  { "503", "HTTP/1.1 503 Service Unavailable\r\n" + kErrorHead, "overloaded" },
  { "503 that says not run", "HTTP/1.1 503 Service Unavailable\r\nX-Not-Executed: 1\r\n" + kErrorHead, "overloaded" },
  { "500", "HTTP/1.1 500 Internal Server Error\r\n" + kErrorHead, "failed" },
  { "500 with events", "HTTP/1.1 500 Internal Server Error\r\n" + kErrorHead, kOtherEvents },
  { "500 without a body", "HTTP/1.1 500 Internal Server Error\r\n" + kErrorHead, "" },
  { "500 that is said to be a stream",
    "HTTP/1.1 500 Internal Server Error\r\nContent-Type: text/event-stream\r\n" + kErrorHead,
    kOtherEvents },
  { "400", "HTTP/1.1 400 Bad Request\r\n" + kErrorHead, "bad" },
  { "400 that says not run", "HTTP/1.1 400 Bad Request\r\nX-Not-Executed: 1\r\n" + kErrorHead, "bad" },
  { "421", "HTTP/1.1 421 Misdirected Request\r\n" + kErrorHead, "other server" },
  { "421 that says not run", "HTTP/1.1 421 Misdirected Request\r\nX-Not-Executed: 1\r\n" + kErrorHead, "other server" },
  { "200 without a stamp", kStreamHead, kOtherEvents },
  { "200 without a stamp and body", kStreamHead, "" },
  { "200 of another type without a stamp", "HTTP/1.1 200 OK\r\nContent-Type: text/html\r\n", kOtherEvents },
  { "200 with an encoding", kStreamHead + "X-Response-Stamp: other\r\nContent-Encoding: gzip\r\n", kOtherEvents },
  { "200 with an error's text", kStreamHead + "X-Response-Stamp: other\r\n", "{\"error\":\"failed\"}" },
  { "200 with an error's text as an event", kStreamHead + "X-Response-Stamp: other\r\n", "data: failed\n\n" },
  { "200 with a later event", kStreamHead + "X-Response-Stamp: other\r\n", Event(kEvents) },
  { "200 that ends inside an event", kStreamHead + "X-Response-Stamp: other\r\n", "id: 4\ndata: to" },
  { "200 of another type with events", "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\n" + kErrorHead, kOtherEvents },
  { "200 of another type without a body", "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n" + kErrorHead, "" },
  { "206 with events", "HTTP/1.1 206 Partial Content\r\n" + kErrorHead, kOtherEvents },
  { "302", "HTTP/1.1 302 Found\r\nLocation: /\r\n" + kErrorHead, "moved" },
};

const std::string kOtherStream = kStreamHead + "X-Response-Stamp: other\r\n";

/// Responses of a resumed stream that have no new event and do not show that there is none.
const std::vector<std::pair<invalid_response, framing>> kRunsWithoutNewEvent{
  { { "nothing", kOtherStream, "" }, framing::None },
  { { "all events again", kOtherStream, Events(0, kEventsBeforeBreak) }, framing::None },
  { { "the last event again", kOtherStream, Event(kEventsBeforeBreak) }, framing::None },
  { { "the first event again", kOtherStream, Event(1) }, framing::None },
  { { "the first event again", kOtherStream, Event(1) }, framing::Length },
  { { "the first event again", kOtherStream, Event(1) }, framing::Chunked },
};

/// Checks that a stream continues past an invalid response and is complete.
void CheckContinuesPast(const engine_response& aResponse, const std::string& aName)
{
  scripted_engines_fixture fixture;
  fixture.mEngines.Answer(BrokenResponse(Events(0, kEventsBeforeBreak) + "id: 4\nda"));
  fixture.mEngines.Answer(aResponse);
  fixture.Call();
  INFO(aName << "; received: " << fixture.mReceived);
  REQUIRE(fixture.mEngines.Requests() == 3);
  REQUIRE(fixture.CompleteBody() == Events(0, kEvents));
  fixture.CheckHeadOfFirstEngine();
}

/// Checks that a stream whose further engines all give an invalid response breaks off visibly.
void CheckBreaksOff(const invalid_response& aResponse, const std::pair<const char*, framing>& aFraming)
{
  scripted_engines_fixture fixture;
  fixture.mDeadline = kShortDeadline;
  fixture.mEngines.Answer(BrokenResponse(Events(0, kEventsBeforeBreak) + "id: 4\nda"));
  fixture.mEngines.AnswerAllOthers(Frame(aResponse.mHead, aResponse.mBody, aFraming.second));
  fixture.Call();
  INFO(aResponse.mName << ' ' << aFraming.first << "; received: " << fixture.mReceived);
  CHECK(fixture.CompleteBody() == std::nullopt);
  CHECK(fixture.BodySoFar() == Events(0, kEventsBeforeBreak));
  fixture.CheckHeadOfFirstEngine();
}

} // namespace

TEST_CASE("broken_stream_whose_next_engine_answers_with_an_error_continues_at_another_one")
{
  for (const invalid_response& response : kErrors) {
    for (const auto& [name, framing] : kFramings) {
      engine_response answer = Frame(response.mHead, response.mBody, framing);
      CheckContinuesPast(answer, fmt::format("{} {}", response.mName, name));
      answer.mPieceSize = 1;
      CheckContinuesPast(answer, fmt::format("{} {}, byte by byte", response.mName, name));
    }
  }
}

TEST_CASE("broken_stream_whose_next_engine_answers_with_an_error_in_two_pieces_continues_at_another_one")
{
  for (const invalid_response& response : kErrors) {
    if (std::string_view(response.mName).find("with events") == std::string_view::npos) {
      continue;
    }
    for (const auto& [name, framing] : kFramings) {
      engine_response answer = Frame(response.mHead, response.mBody, framing);
      for (answer.mSplitAt = 1; answer.mSplitAt < answer.mBytes.size(); ++answer.mSplitAt) {
        CheckContinuesPast(answer, fmt::format("{} {}, split at {}", response.mName, name, answer.mSplitAt));
      }
    }
  }
}

TEST_CASE("broken_stream_whose_other_engines_all_answer_with_errors_breaks_off_without_their_text")
{
  for (const invalid_response& response : kErrors) {
    for (const auto& framing : kFramings) {
      CheckBreaksOff(response, framing);
    }
  }
}

TEST_CASE("broken_stream_whose_next_engine_ends_before_a_new_event_continues_at_another_one")
{
  for (const auto& [response, framing] : kRunsWithoutNewEvent) {
    engine_response answer = Frame(response.mHead, response.mBody, framing);
    CheckContinuesPast(answer, response.mName);
    answer.mPieceSize = 1;
    CheckContinuesPast(answer, response.mName);
  }
}

TEST_CASE("broken_stream_whose_other_engines_all_end_before_a_new_event_breaks_off")
{
  for (const auto& [response, framing] : kRunsWithoutNewEvent) {
    CheckBreaksOff(response, { "", framing });
  }
}

TEST_CASE("stream_that_breaks_off_after_its_last_event_is_complete_when_the_next_engine_says_so")
{
  for (const framing framing : { framing::Length, framing::Chunked }) {
    for (const std::string& body : { std::string(), Event(kEvents), Events(0, kEvents) }) {
      scripted_engines_fixture fixture;
      fixture.mEngines.Answer(BrokenResponse(Events(0, kEvents)));
      fixture.mEngines.Answer(Frame(kOtherStream, body, framing));
      fixture.Call();
      INFO("response \"" << body << "\"; received: " << fixture.mReceived);
      CHECK(fixture.mEngines.Requests() == 2);
      CHECK(fixture.CompleteBody() == Events(0, kEvents));
      fixture.CheckHeadOfFirstEngine();
    }
  }
}

TEST_CASE("stream_that_its_caller_resumes_after_the_last_event_is_complete_when_the_engine_says_so")
{
  for (const framing framing : { framing::Length, framing::Chunked }) {
    scripted_engines_fixture fixture;
    fixture.mEngines.AnswerAllOthers(Frame(kOtherStream, "", framing));
    fixture.Call("Last-Event-Id: 5\r\n");
    INFO(fixture.mReceived);
    CHECK(fixture.mEngines.Requests() == 1);
    CHECK(fixture.CompleteBody() == "");
    CHECK(fixture.Count("HTTP/1.1 200") == 1);
    CHECK(fixture.Count("X-Response-Stamp: other") == 1);
  }
}

TEST_CASE("stream_whose_engines_all_end_before_the_first_event_has_no_success")
{
  for (const char* const lastEvent : { "", "Last-Event-Id: 5\r\n" }) {
    for (const auto& [name, framing] : kFramings) {
      if (*lastEvent != 0 && framing != framing::None) {
        continue;
      }
      scripted_engines_fixture fixture;
      fixture.mEngines.AnswerAllOthers(Frame(kOtherStream, "", framing));
      fixture.Call(lastEvent);
      INFO(name << "; received: " << fixture.mReceived);
      CHECK(fixture.Count("HTTP/1.1 502") == 1);
      CHECK(fixture.Count("X-Response-Stamp") == 0);
    }
  }
}

TEST_CASE("stream_whose_type_is_written_in_another_way_or_not_given_reaches_the_caller")
{
  for (const char* const type : { "Content-Type: Text/Event-Stream; charset=utf-8\r\n",
                                  "Content-Type:  text/event-stream \r\n",
                                  "Content-Type: text/event-stream;charset=utf-8\r\n",
                                  "" }) {
    scripted_engines_fixture fixture;
    const std::string head = "HTTP/1.1 200 OK\r\nX-Response-Stamp: first\r\n";
    fixture.mEngines.AnswerAllOthers(Frame(head + type, Events(0, kEvents), framing::Chunked));
    fixture.Call();
    INFO(type << "; received: " << fixture.mReceived);
    CHECK(fixture.CompleteBody() == Events(0, kEvents));
  }
}

TEST_CASE("stream_that_breaks_off_at_any_byte_and_is_resumed_or_repeated_reaches_the_caller_once")
{
  const std::string all = Events(0, kEvents);
  for (std::size_t size = 1; size <= all.size(); ++size) {
    for (const bool isRepeated : { false, true }) {
      scripted_engines_fixture fixture;
      fixture.mEngines.Answer(BrokenResponse(all.substr(0, size)));
      if (isRepeated) {
        // An engine that ignores the last event sends all events again.
        fixture.mEngines.Answer(Frame(kStreamHead + "X-Response-Stamp: second\r\n", all, framing::Chunked));
      }
      fixture.Call();
      INFO("broken at " << size << ", " << (isRepeated ? "repeated" : "resumed")
                        << "; received: " << fixture.mReceived);
      REQUIRE(fixture.CompleteBody() == all);
      CHECK(fixture.Count("HTTP/1.1") == 1);
      CHECK(fixture.Count("X-Response-Stamp: ") == 1);
    }
  }
}

TEST_CASE_METHOD(scripted_engines_fixture, "request_with_an_empty_chunked_body_sent_byte_by_byte_is_served")
{
  Call("Transfer-Encoding: chunked\r\n", "0\r\n\r\n");
  INFO(mReceived);
  CHECK(CompleteBody() == Events(0, kEvents));
}

TEST_CASE("stream_whose_response_is_cut_at_any_byte_reaches_the_caller_whole_by_another_engine")
{
  const std::string head = kStreamHead + "X-Response-Stamp: first\r\n";
  for (const auto& [name, framing] : kFramings) {
    const engine_response whole = Frame(head, Events(0, kEvents), framing);
    // Without a length or chunks only the head, or an event that is not whole, shows that something is missing.
    const std::size_t headEnd = whole.mBytes.find("\r\n\r\n") + 4;
    const std::size_t end = framing == framing::None ? headEnd + 5 : whole.mBytes.size();
    for (std::size_t size = 0; size < end; ++size) {
      scripted_engines_fixture fixture;
      fixture.mEngines.Answer({ whole.mBytes.substr(0, size), std::string::npos, std::string::npos, true });
      fixture.Call();
      INFO(name << ", cut at " << size << "; received: " << fixture.mReceived);
      REQUIRE(fixture.CompleteBody() == Events(0, kEvents));
      CHECK(fixture.Count("HTTP/1.1") == 1);
    }
  }
}

TEST_CASE("call_whose_response_is_cut_at_any_byte_is_never_served_with_less")
{
  const std::string head = "HTTP/1.1 200 OK\r\nX-Attempt-Id: mine\r\nX-Response-Stamp: first\r\n";
  const std::string body = "the whole answer";
  for (const request_kind kind : { request_kind::Idempotent, request_kind::AtMostOnce }) {
    for (const auto& [name, framing] : kFramings) {
      const engine_response whole = Frame(head, body, framing);
      const std::size_t headEnd = whole.mBytes.find("\r\n\r\n") + 4;
      const std::size_t end = framing == framing::None ? headEnd : whole.mBytes.size();
      for (std::size_t size = 0; size < end; ++size) {
        for (const bool isSplit : { false, true }) {
          scripted_engines_fixture fixture;
          fixture.mKind = kind;
          const std::size_t split = isSplit && size > 0 ? size - 1 : std::string::npos;
          fixture.mEngines.Answer({ whole.mBytes.substr(0, size), std::string::npos, split, true });
          fixture.mEngines.AnswerAllOthers(Frame(head, body, framing::Length));
          fixture.Call();
          INFO(name << ", cut at " << size << "; received: " << fixture.mReceived);
          if (kind == request_kind::Idempotent) {
            CHECK(fixture.CompleteBody() == body);
            CHECK(fixture.mReceived.starts_with("HTTP/1.1 200 "));
          } else {
            CHECK(fixture.mReceived.starts_with("HTTP/1.1 502 "));
            CHECK(fixture.Count("X-Response-Stamp: ") == 0);
            CHECK(fixture.mEngines.Requests() == 1);
          }
        }
      }
    }
  }
}
